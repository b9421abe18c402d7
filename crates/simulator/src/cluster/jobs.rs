//! Request bodies with which users submit jobs.

use serde_json::{Value, json};

/// The properties in which simulated jobs usually differ.
#[derive(Debug, Clone, Copy)]
pub struct JobShape<'a> {
    /// The protocol's name of the shape: `sweep` (array), `gang` or `standing` (service).
    pub shape: &'a str,
    /// Number of tasks of the job, at least 1.
    pub tasks: u32,
    /// GPUs of each task.
    pub gpus: f64,
    /// Estimated run time of each task, in seconds. Tasks of services run until they are stopped,
    /// whatever the estimate.
    pub seconds: f64,
}

/// The body of a request that submits a job with default values for all other fields.
pub fn job(id: &str, shape: &str, tasks: u32, gpus: f64, seconds: f64) -> String {
    let shape = JobShape {
        shape,
        tasks,
        gpus,
        seconds,
    };
    job_with(id, shape, json!({}))
}

/// The body of a request that submits a job. `fields` is a JSON object whose values override the
/// defaults. By default, the job's class has the name of its shape.
pub fn job_with(id: &str, shape: JobShape, fields: Value) -> String {
    let mut job = json!({"uid": id, "lane": shape.shape, "crew": "red", "shape": shape.shape,
        "rank": "normal", "pieces": shape.tasks, "cpus": 1.0, "gpus": shape.gpus,
        "memoryGb": 1.0, "kit": "i", "sizeGb": 1.0, "together": false, "spread": false,
        "loaners": false, "guessS": shape.seconds, "waypointS": 0.0, "stashS": 0.0});
    for (name, value) in fields.as_object().into_iter().flatten() {
        job[name] = value.clone();
    }
    job.to_string()
}
