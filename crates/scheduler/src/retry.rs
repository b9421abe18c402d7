//! What to try again of a job whose tasks failed.
//!
//! Failures of one job on several machines are the job's, if none of its tasks was ever
//! seen to work; failures of several jobs on one machine are the machine's. One event
//! tells neither.

/// What is known of a job's failures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Failures {
    /// Different machines on which its tasks failed.
    pub machines: usize,
    /// Whether a task of it finished, or is seen running.
    pub works: bool,
    /// Seconds since the latest failure.
    pub since_s: f64,
}

/// How a job with failures is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// As any other.
    All,
    /// One task, or one gang, where there is room now: nothing is rented for it, and no
    /// place is kept.
    One,
    /// Not yet.
    Later,
}

/// On so many machines a job may fail by chance.
const CHANCE: usize = 2;
/// The pause between two tries doubles so often at most.
const DOUBLED: u32 = 6;

/// `step_s` is the pause after a failure on one machine, halved.
pub fn retry(failures: Failures, step_s: f64) -> Retry {
    if failures.works || failures.machines <= 1 {
        return Retry::All;
    }
    let doubled = (failures.machines as u32).min(DOUBLED);
    if failures.since_s < step_s * f64::from(1u32 << doubled) {
        return Retry::Later;
    }
    match failures.machines > CHANCE {
        true => Retry::One,
        false => Retry::All,
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
            let failures = Failures {
                machines,
                works,
                since_s,
            };
            retry(failures, 1.0)
        };
        assert_eq!(retry(1, false, 0.0), Retry::All, "a faulty machine");
        assert_eq!(retry(2, false, 1.0), Retry::Later);
        assert_eq!(retry(2, false, 5.0), Retry::All);
        assert_eq!(retry(3, false, 7.0), Retry::Later);
        assert_eq!(retry(3, false, 9.0), Retry::One);
        assert_eq!(retry(8, false, 60.0), Retry::Later);
        assert_eq!(retry(8, false, 65.0), Retry::One, "the pause has an end");
        assert_eq!(retry(8, true, 0.0), Retry::All, "it works elsewhere");
    }
}
