//! The search for violations by random combinations of faults.

use clap::ValueEnum;
use rushwalk_simulator::fault_search::{self, FaultKind, FaultSchedule};
use rushwalk_simulator::virtual_time::run_on_virtual_time;

/// Some seeds of the search; `rushwalk-simulator search` runs others.
#[test]
fn random_fault_combinations_violate_no_invariant() {
    for seed in 1..=36 {
        let schedule = FaultSchedule::draw(seed, 3, FaultKind::value_variants());
        let outcome = run_on_virtual_time(fault_search::run(&schedule)).unwrap();
        assert!(outcome.violations.is_empty(), "{outcome:#?}");
    }
}

/// A violation must be reproducible from its seed.
#[test]
fn equal_seeds_give_equal_events() {
    for seed in [3, 4] {
        let schedule = FaultSchedule::draw(seed, 3, FaultKind::value_variants());
        let run = || run_on_virtual_time(fault_search::run_with_events(&schedule, true)).unwrap();
        let (first, second) = (run(), run());
        let (before, after) = (&first.events, &second.events);
        assert!(before.len() > 1000, "{} events", before.len());
        let differ = before.iter().zip(after).find(|(a, b)| a != b);
        assert_eq!(differ, None, "seed {seed}");
        assert_eq!(before.len(), after.len());
        assert_eq!(
            format!("{:?}", first.outcome),
            format!("{:?}", second.outcome)
        );
    }
}
