//! The users' interface: submitting, asking about and cancelling jobs.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, the most urgent first, so that the derived order sorts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    #[serde(rename = "waypointS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stashS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

pub const MAX_TASKS: u32 = 100_000;
/// No real job asks for more than this of anything; it keeps sums finite.
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME: usize = 200;

impl JobSpec {
    /// Reads and checks a submission. The error is one line for its sender.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
        if !value.is_object() {
            return Err("not an object".into());
        }
        let spec: JobSpec = serde_json::from_value(value).map_err(|e| e.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !is_job_id(&self.id) {
            return Err("uid: not a job id".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        let names = [
            ("lane", &self.class),
            ("crew", &self.team),
            ("kit", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME {
                return Err(format!("{field}: must have 1 to {MAX_NAME} bytes"));
            }
        }
        if let Some(types) = &self.types
            && (types.is_empty() || types.len() > 100 || types.iter().any(|t| t.len() > MAX_NAME))
        {
            return Err("builds: must name 1 to 100 machine types, or be null".into());
        }
        if self.zone.as_ref().is_some_and(|z| z.len() > MAX_NAME) {
            return Err("yard: too long".into());
        }
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
                return Err(format!("{field}: out of range"));
            }
        }
        Ok(())
    }
}

/// Job ids are `j-` and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Writes a task's name, such as `j-000412/3`.
pub fn task_name(uid: &str, index: u32) -> String {
    format!("{uid}/{index}")
}

/// Takes a task's name apart.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (uid, index) = name.split_once('/')?;
    Some((uid, index.parse().ok()?))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusPhase {
    Queued,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to every question about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "uid")]
    pub job: String,
    #[serde(rename = "stance")]
    pub phase: StatusPhase,
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = r#"{"uid":"j-000412","lane":"train","crew":"vision","shape":"gang",
        "rank":"urgent","pieces":16,"cpus":8.0,"gpus":1.0,"memoryGb":64.0,"kit":"img-07",
        "sizeGb":6.2,"builds":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
        "guessS":240.0,"waypointS":30.0,"stashS":4.0,"dueS":900.0,"later":1}"#;

    #[test]
    fn the_protocols_example_is_read() {
        let spec = JobSpec::parse(EXAMPLE.as_bytes()).unwrap();
        assert_eq!(spec.shape, Shape::Gang);
        assert_eq!(spec.priority, Priority::High);
        assert_eq!(spec.tasks, 16);
        assert_eq!(spec.zone, None);
        let again = JobSpec::parse(&serde_json::to_vec(&spec).unwrap()).unwrap();
        assert_eq!(again, spec);
    }

    #[test]
    fn bad_submissions_are_refused_by_field() {
        for (from, to, field) in [
            ("\"pieces\":16", "\"pieces\":0", "pieces"),
            ("\"pieces\":16", "\"pieces\":100001", "pieces"),
            ("\"pieces\":16", "\"pieces\":-1", "-1"),
            ("\"cpus\":8.0", "\"cpus\":-8.0", "cpus"),
            ("\"cpus\":8.0", "\"cpus\":1e300", "cpus"),
            ("\"crew\":\"vision\",", "", "crew"),
            ("j-000412", "job 7", "uid"),
            ("\"gang\"", "\"heap\"", "heap"),
        ] {
            let body = EXAMPLE.replace(from, to);
            assert_ne!(body, EXAMPLE);
            let error = JobSpec::parse(body.as_bytes()).unwrap_err();
            assert!(error.contains(field), "{error}");
        }
        assert!(JobSpec::parse(b"[]").is_err());
        assert!(JobSpec::parse(b"{").is_err());
    }
}
