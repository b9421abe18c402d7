//! What to try again of a job whose tasks failed.
//!
//! Failures of one job on several machines are the job's, if none of its tasks was ever
//! seen to work; failures of several jobs on one machine are the machine's. One event
//! tells neither.

/// What is known of a job's failures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailureSummary {
    /// Different machines on which its tasks failed.
    pub machines: usize,
    /// Whether a task of it finished, or is seen running.
    pub succeeded_somewhere: bool,
    /// Seconds since the latest failure.
    pub since_s: f64,
}

/// How a job with failures is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// As any other.
    Normal,
    /// One task, or one gang, where there is room now: nothing is rented for it, and no
    /// place is kept.
    SingleProbe,
    /// Not yet.
    BackOff,
}

/// On so many machines a job may fail by chance.
const CHANCE: usize = 2;
/// The pause between two tries doubles so often at most.
const DOUBLED: u32 = 6;

/// `step_s` is the pause after a failure on one machine, halved.
pub fn retry(failures: FailureSummary, step_s: f64) -> RetryDecision {
    if failures.succeeded_somewhere || failures.machines <= 1 {
        return RetryDecision::Normal;
    }
    let doubled = (failures.machines as u32).min(DOUBLED);
    if failures.since_s < step_s * f64::from(1u32 << doubled) {
        return RetryDecision::BackOff;
    }
    match failures.machines > CHANCE {
        true => RetryDecision::SingleProbe,
        false => RetryDecision::Normal,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Eight tasks of one job that failed on one faulty machine held up the other
    /// seventy for a minute.
    #[test]
    fn machines_are_counted_not_tasks() {
        let retry = |machines, works, since_s| {
            let failures = FailureSummary {
                machines,
                succeeded_somewhere: works,
                since_s,
            };
            retry(failures, 1.0)
        };
        assert_eq!(
            retry(1, false, 0.0),
            RetryDecision::Normal,
            "a faulty machine"
        );
        assert_eq!(retry(2, false, 1.0), RetryDecision::BackOff);
        assert_eq!(retry(2, false, 5.0), RetryDecision::Normal);
        assert_eq!(retry(3, false, 7.0), RetryDecision::BackOff);
        assert_eq!(retry(3, false, 9.0), RetryDecision::SingleProbe);
        assert_eq!(retry(8, false, 60.0), RetryDecision::BackOff);
        assert_eq!(
            retry(8, false, 65.0),
            RetryDecision::SingleProbe,
            "the pause has an end"
        );
        assert_eq!(
            retry(8, true, 0.0),
            RetryDecision::Normal,
            "it works elsewhere"
        );
    }
}
