//! Decides whether and how a job whose tasks failed is retried.
//!
//! Failures of one job on several machines are attributed to the job if none of its tasks has
//! ever finished or is running. Failures of several jobs on one machine are attributed to the
//! machine. A single failure can have either cause.

#[cfg(test)]
mod tests;

/// A summary of the failures of one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureSummary {
    /// Number of different machines on which its tasks failed.
    pub machines: usize,
    /// Whether at least one of its tasks has finished or is running.
    pub succeeded_somewhere: bool,
    /// Seconds since the latest failure.
    pub since_s: f64,
}

/// How a job with failures is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The job is planned like any other.
    Normal,
    /// The job failed on several machines, and none of its tasks has finished or is running. A
    /// single task is planned, or the whole job if it is a gang, and only where it can start
    /// now. No machine is rented and no capacity is reserved for it.
    SingleProbe,
    /// The job is not planned until its back-off has elapsed.
    BackOff,
}

/// Failures on up to this many machines may be due to faulty machines instead of the job, so
/// the job is not limited to a single probe.
const MAX_FAULTY_MACHINES: usize = 2;
/// The back-off doubles with each machine on which the job failed, at most this many times.
const MAX_DOUBLINGS: u32 = 6;

/// Decides how to plan a job with `failures`. A job that failed on one machine only, or has a
/// task that finished or runs, has no back-off. For others the back-off after the latest
/// failure is `backoff_unit_s` seconds, doubled for each machine on which the job failed, at
/// most six times.
pub fn retry_decision(failures: FailureSummary, backoff_unit_s: f64) -> RetryDecision {
    if failures.succeeded_somewhere || failures.machines <= 1 {
        return RetryDecision::Normal;
    }
    let doublings = (failures.machines as u32).min(MAX_DOUBLINGS);
    if failures.since_s < backoff_unit_s * f64::from(1u32 << doublings) {
        return RetryDecision::BackOff;
    }
    if failures.machines > MAX_FAULTY_MACHINES {
        RetryDecision::SingleProbe
    } else {
        RetryDecision::Normal
    }
}
