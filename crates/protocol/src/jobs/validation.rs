//! Parsing and validating submissions.

use super::{JobSpec, is_job_id};

const MAX_TASKS: u32 = 100_000;

/// Upper bound of each resource amount, size and duration in a submission. It keeps sums
/// over many tasks finite.
const MAX_AMOUNT: f64 = 1e9;

/// Maximum length of the names in a submission: class, team, image, zone, machine types.
const MAX_NAME_BYTES: usize = 200;

const MAX_MACHINE_TYPES: usize = 100;

/// The reason why a submission is invalid. Its display text is a single line that is sent
/// to the user.
#[derive(Debug, thiserror::Error)]
pub enum JobSpecError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or its value has the wrong type.
    #[error("{0}")]
    Schema(#[source] serde_json::Error),
    /// A field's value is out of range or has the wrong form.
    #[error("{field}: {reason}")]
    Field {
        /// The field's name in the JSON body.
        field: &'static str,
        /// The requirement that the value doesn't meet.
        reason: String,
    },
}

fn invalid(field: &'static str, reason: impl Into<String>) -> Result<(), JobSpecError> {
    Err(JobSpecError::Field {
        field,
        reason: reason.into(),
    })
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// Returns [`JobSpecError`] for the first fault that is found.
    pub fn parse(body: &[u8]) -> Result<JobSpec, JobSpecError> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(JobSpecError::NotJson)?;
        if !value.is_object() {
            return Err(JobSpecError::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_value(value).map_err(JobSpecError::Schema)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), JobSpecError> {
        if !is_job_id(&self.id) {
            return invalid("uid", "not a job id");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return invalid("pieces", format!("must be 1 to {MAX_TASKS}"));
        }
        self.check_names()?;
        self.check_placement()?;
        self.check_amounts()
    }

    fn check_names(&self) -> Result<(), JobSpecError> {
        let names = [
            ("lane", &self.class),
            ("crew", &self.team),
            ("kit", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return invalid(field, format!("must have 1 to {MAX_NAME_BYTES} bytes"));
            }
        }
        Ok(())
    }

    fn check_placement(&self) -> Result<(), JobSpecError> {
        let is_invalid = |types: &Vec<String>| {
            types.is_empty()
                || types.len() > MAX_MACHINE_TYPES
                || types.iter().any(|name| name.len() > MAX_NAME_BYTES)
        };
        if self.types.as_ref().is_some_and(is_invalid) {
            let reason = format!("must name 1 to {MAX_MACHINE_TYPES} machine types, or be null");
            return invalid("builds", reason);
        }
        if self
            .zone
            .as_ref()
            .is_some_and(|zone| zone.len() > MAX_NAME_BYTES)
        {
            return invalid("yard", "too long");
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), JobSpecError> {
        let amounts = [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("memoryGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("guessS", self.estimate_s),
            ("waypointS", self.checkpoint_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=MAX_AMOUNT).contains(&amount) {
                return invalid(field, "out of range");
            }
        }
        Ok(())
    }
}
