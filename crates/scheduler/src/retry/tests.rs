use super::*;

/// Guards against a back-off that grows with the number of failed tasks: eight tasks of a job
/// that failed on one faulty machine delayed the other seventy tasks by a minute.
#[test]
fn failures_are_counted_per_machine_not_per_task() {
    let decide = |machines, succeeded_somewhere, since_s| {
        let failures = FailureSummary {
            machines,
            succeeded_somewhere,
            since_s,
        };
        retry_decision(failures, 1.0)
    };
    assert_eq!(
        decide(1, false, 0.0),
        RetryDecision::Normal,
        "the machine may be faulty"
    );
    assert_eq!(decide(2, false, 1.0), RetryDecision::BackOff);
    assert_eq!(decide(2, false, 5.0), RetryDecision::Normal);
    assert_eq!(decide(3, false, 7.0), RetryDecision::BackOff);
    assert_eq!(decide(3, false, 9.0), RetryDecision::SingleProbe);
    assert_eq!(decide(8, false, 60.0), RetryDecision::BackOff);
    assert_eq!(
        decide(8, false, 65.0),
        RetryDecision::SingleProbe,
        "the back-off has an upper bound"
    );
    assert_eq!(
        decide(8, true, 0.0),
        RetryDecision::Normal,
        "tasks of the job succeed on other machines"
    );
}
