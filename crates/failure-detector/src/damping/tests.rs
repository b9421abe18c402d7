//! Tests of flap damping.

use super::*;
use proptest::prelude::*;

fn term(incarnation: u64) -> MembershipTerm {
    MembershipTerm {
        incarnation,
        since: 0,
    }
}

#[test]
fn delays_double_up_to_the_maximum_and_expire() {
    let mut damping = FlapDamping::new(5.0);
    assert!(damping.is_eligible(0.0, "a"));
    let mut delays = Vec::new();
    for index in 0..6 {
        let now = 12.0 * index as f64;
        damping.record_departure(now, "a", term(index));
        // The lease expires after the member was declared failed: still the same departure.
        damping.record_departure(now + 2.0, "a", term(index));
        delays.push(damping.delay_s(now, "a"));
    }
    assert_eq!(delays, [5.0, 10.0, 20.0, 40.0, 40.0, 40.0]);
    assert!(!damping.is_eligible(99.0, "a"));
    assert!(damping.is_eligible(101.0, "a"));
    assert_eq!(damping.delay_s(200.0, "a"), 5.0, "departures expire");
    assert!(damping.is_eligible(99.0, "b"), "others are not affected");
}

proptest! {
    /// The delay ends however often a member flaps.
    #[test]
    fn every_delay_ends(gaps in prop::collection::vec(0.1f64..100.0, 1..60)) {
        let mut damping = FlapDamping::new(5.0);
        let mut now = 0.0;
        for (index, gap) in gaps.into_iter().enumerate() {
            now += gap;
            damping.record_departure(now, "a", term(index as u64));
            prop_assert!(!damping.is_eligible(now, "a"));
        }
        prop_assert!(damping.is_eligible(now + 41.0, "a"));
    }
}
