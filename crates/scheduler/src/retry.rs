//! Whether a job whose tasks failed is tried again.
//!
//! Failures of one job on several machines are attributed to the job, if none of its tasks
//! was ever seen to work; failures of several jobs on one machine to the machine. A single
//! failure shows neither.

#[cfg(test)]
mod tests;

/// What is known of a job's failures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureSummary {
    /// Number of different machines on which its tasks failed.
    pub machines: usize,
    /// Whether one of its tasks finished or is running.
    pub succeeded_somewhere: bool,
    /// Seconds since the latest failure.
    pub since_s: f64,
}

/// How a job with failures is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// As any other job.
    Normal,
    /// One task, or one gang, where it can start now: no machine is rented and no capacity
    /// is reserved for it.
    SingleProbe,
    /// Not planned until its back-off is over.
    BackOff,
}

/// A job may fail on this many machines by coincidence.
const COINCIDENTAL_MACHINES: usize = 2;
/// The back-off doubles with each machine, at most this many times.
const MAX_DOUBLINGS: u32 = 6;

/// Decides how to plan a job with `failures`; `step_s` is the back-off in seconds after a
/// failure on one machine, halved.
pub fn retry_decision(failures: FailureSummary, step_s: f64) -> RetryDecision {
    if failures.succeeded_somewhere || failures.machines <= 1 {
        return RetryDecision::Normal;
    }
    let doublings = (failures.machines as u32).min(MAX_DOUBLINGS);
    if failures.since_s < step_s * f64::from(1u32 << doublings) {
        return RetryDecision::BackOff;
    }
    if failures.machines > COINCIDENTAL_MACHINES {
        RetryDecision::SingleProbe
    } else {
        RetryDecision::Normal
    }
}
