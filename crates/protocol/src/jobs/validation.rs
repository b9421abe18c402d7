//! Reading and checking submissions.

use super::{JobSpec, is_job_id};

const MAX_TASKS: u32 = 100_000;

/// The largest resource amount or duration that is accepted, which keeps sums finite.
const MAX_AMOUNT: f64 = 1e9;

/// In bytes.
const MAX_NAME: usize = 200;

const MAX_TYPES: usize = 100;

/// What is wrong with a submission. Its text is one line for the user.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or has the wrong type.
    #[error("{0}")]
    Schema(#[source] serde_json::Error),
    /// A field's value is not allowed.
    #[error("{field}: {reason}")]
    Field {
        /// The field's name in the protocol.
        field: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
}

fn invalid(field: &'static str, reason: impl Into<String>) -> Result<(), Malformed> {
    Err(Malformed::Field {
        field,
        reason: reason.into(),
    })
}

impl JobSpec {
    /// Reads and checks a submission.
    ///
    /// # Errors
    ///
    /// [`Malformed`], for the first thing that is wrong.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let value: serde_json::Value = serde_json::from_slice(body).map_err(Malformed::NotJson)?;
        if !value.is_object() {
            return Err(Malformed::NotAnObject);
        }
        let spec: JobSpec = serde_json::from_value(value).map_err(Malformed::Schema)?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), Malformed> {
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

    fn check_names(&self) -> Result<(), Malformed> {
        let names = [
            ("lane", &self.class),
            ("crew", &self.team),
            ("kit", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME {
                return invalid(field, format!("must have 1 to {MAX_NAME} bytes"));
            }
        }
        Ok(())
    }

    fn check_placement(&self) -> Result<(), Malformed> {
        let bad_types = |types: &Vec<String>| {
            types.is_empty()
                || types.len() > MAX_TYPES
                || types.iter().any(|name| name.len() > MAX_NAME)
        };
        if self.types.as_ref().is_some_and(bad_types) {
            let reason = format!("must name 1 to {MAX_TYPES} machine types, or be null");
            return invalid("builds", reason);
        }
        if self.zone.as_ref().is_some_and(|z| z.len() > MAX_NAME) {
            return invalid("yard", "too long");
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), Malformed> {
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
