//! Request bodies with which users submit jobs.

use serde_json::{Value, json};

/// The properties in which simulated jobs usually differ.
#[derive(Debug, Clone, Copy)]
pub struct JobProperties<'a> {
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
    let properties = JobProperties {
        shape,
        tasks,
        gpus,
        seconds,
    };
    job_with(id, properties, json!({}))
}

/// The body of a request that submits a job. `fields` is a JSON object whose values override the
/// defaults. By default, the job's class has the name of its shape.
pub fn job_with(id: &str, properties: JobProperties, fields: Value) -> String {
    let mut job = json!({"uid": id, "lane": properties.shape, "crew": "red",
        "shape": properties.shape, "rank": "normal", "pieces": properties.tasks, "cpus": 1.0,
        "gpus": properties.gpus, "memoryGb": 1.0, "kit": "i", "sizeGb": 1.0, "together": false,
        "spread": false, "loaners": false, "guessS": properties.seconds,
        "waypointS": 0.0, "stashS": 0.0});
    for (name, value) in fields.as_object().into_iter().flatten() {
        job[name] = value.clone();
    }
    job.to_string()
}
