//! Runs of the search for random combinations of faults that violate an invariant.

use clap::ValueEnum;
use rushwalk_simulator::fault_search::{self, FaultEvent, FaultKind, FaultSchedule};
use rushwalk_simulator::virtual_time::run_on_virtual_time;

/// Runs seeds 1 to 36; `rushwalk-simulator search` runs other seeds.
#[test]
fn random_fault_combinations_violate_no_invariant() {
    for seed in 1..=36 {
        let schedule = FaultSchedule::draw(seed, 3, FaultKind::value_variants());
        let outcome = run_on_virtual_time(fault_search::run(&schedule)).unwrap();
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// With values of 1 KB, nearly all mutations with a list are split. Parts that are left out, or that
/// have another effect than the whole, let the states of controllers differ after a restart.
#[test]
fn fault_combinations_with_small_values_violate_no_invariant() {
    for seed in 301..=312 {
        let schedule = FaultSchedule {
            value_kb: 1.0,
            ..FaultSchedule::draw(seed, 4, FaultKind::value_variants())
        };
        let outcome = run_on_virtual_time(fault_search::run(&schedule)).unwrap();
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// Copies of answered calls to workers arrive during two other faults.
#[test]
fn command_copies_during_other_faults_violate_no_invariant() {
    let copies = FaultEvent {
        kind: FaultKind::CommandsDuplicated,
        at_s: 40.0,
        duration_s: 100.0,
        target: 0,
    };
    for seed in 2_001..=2_036 {
        let mut schedule = FaultSchedule::draw(seed, 2, FaultKind::value_variants());
        schedule.events.push(copies);
        let outcome = run_on_virtual_time(fault_search::run(&schedule)).unwrap();
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// Seed 50380 with 5 faults, drawn from all kinds but copies of calls: in an outage of the store of 100 s, users who ask about unfinished jobs
/// get no answer for longer than 90 s, while those who ask about finished jobs do.
#[test]
fn no_job_is_forgotten_in_an_outage_of_100_s() {
    let mut kinds = FaultKind::value_variants().to_vec();
    kinds.retain(|kind| *kind != FaultKind::CommandsDuplicated);
    let schedule = FaultSchedule::draw(50_380, 5, &kinds);
    let outcome = run_on_virtual_time(fault_search::run(&schedule)).unwrap();
    assert!(outcome.violations.is_empty(), "{outcome:#?}");
}

/// Two runs with the same seed must record the same events, so that a violation can be
/// reproduced from its seed.
#[test]
fn runs_with_the_same_seed_record_the_same_events() {
    for seed in [3, 4] {
        let schedule = FaultSchedule::draw(seed, 3, FaultKind::value_variants());
        let run = || run_on_virtual_time(fault_search::run_with_events(&schedule, true)).unwrap();
        let (first, second) = (run(), run());
        let (first_events, second_events) = (&first.events, &second.events);
        assert!(
            first_events.len() > 1000,
            "only {} events",
            first_events.len()
        );
        let first_difference = first_events
            .iter()
            .zip(second_events)
            .find(|(first, second)| first != second);
        assert_eq!(first_difference, None, "seed {seed}");
        assert_eq!(first_events.len(), second_events.len());
        assert_eq!(
            format!("{:?}", first.outcome),
            format!("{:?}", second.outcome)
        );
    }
}
