//! Who left lately gets its work back step by step, with growing pauses that end.

use std::collections::BTreeMap;

/// Pauses double up to this many times the first.
const MOST: f64 = 8.0;

/// A departure counts for so many first pauses: longer than the longest pause, so
/// that one who leaves again as soon as it may is still known.
const REMEMBERED: f64 = 16.0;

/// One term of a member: what ended when it left. The end of its lease and a verdict
/// on it before are one departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MembershipTerm {
    pub incarnation: u64,
    pub since: u64,
}

#[derive(Debug, Clone)]
pub struct FlapDamping {
    /// The first pause, in seconds.
    first_s: f64,
    left: BTreeMap<String, Vec<(MembershipTerm, f64)>>,
}

impl FlapDamping {
    pub fn new(first_s: f64) -> FlapDamping {
        FlapDamping {
            first_s,
            left: BTreeMap::new(),
        }
    }

    /// A member left, was judged, or laid down its work.
    pub fn record_departure(&mut self, now_s: f64, member: &str, term: MembershipTerm) {
        let span = REMEMBERED * self.first_s;
        let left = self.left.entry(member.to_string()).or_default();
        left.retain(|(_, at)| now_s - at < span);
        if left.iter().all(|(known, _)| *known != term) {
            left.push((term, now_s));
        }
    }

    /// Departures that still count.
    pub fn departures(&self, now_s: f64, member: &str) -> usize {
        let span = REMEMBERED * self.first_s;
        let left = self.left.get(member).into_iter().flatten();
        left.filter(|(_, at)| now_s - at < span).count()
    }

    /// For how long after its return a member is not yet given what it had, in seconds.
    pub fn pause_s(&self, now_s: f64, member: &str) -> f64 {
        let times = match self.departures(now_s, member) {
            0 => 1.0,
            n => 2f64.powi(n.min(8) as i32 - 1).min(MOST),
        };
        times * self.first_s
    }

    /// Whether the pause after its latest departure is over.
    pub fn is_eligible(&self, now_s: f64, member: &str) -> bool {
        let left = self.left.get(member).into_iter().flatten();
        let last = left.map(|(_, at)| *at).fold(f64::NEG_INFINITY, f64::max);
        now_s - last >= self.pause_s(now_s, member)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn term(n: u64) -> MembershipTerm {
        MembershipTerm {
            incarnation: n,
            since: 0,
        }
    }

    #[test]
    fn pauses_double_and_end() {
        let mut damping = FlapDamping::new(5.0);
        assert!(damping.is_eligible(0.0, "a"));
        let mut pauses = Vec::new();
        for n in 0..6 {
            let now = 12.0 * n as f64;
            damping.record_departure(now, "a", term(n));
            // Its lease ends after the verdict on it: the same departure.
            damping.record_departure(now + 2.0, "a", term(n));
            pauses.push(damping.pause_s(now, "a"));
        }
        assert_eq!(pauses, [5.0, 10.0, 20.0, 40.0, 40.0, 40.0]);
        assert!(!damping.is_eligible(99.0, "a"));
        assert!(damping.is_eligible(101.0, "a"));
        assert_eq!(damping.pause_s(200.0, "a"), 5.0, "forgiven");
        assert!(damping.is_eligible(99.0, "b"), "others are not concerned");
    }

    proptest! {
        /// However often somebody comes and goes, its pause ends.
        #[test]
        fn every_pause_ends(gaps in prop::collection::vec(0.1f64..100.0, 1..60)) {
            let mut damping = FlapDamping::new(5.0);
            let mut now = 0.0;
            for (n, gap) in gaps.into_iter().enumerate() {
                now += gap;
                damping.record_departure(now, "a", term(n as u64));
                prop_assert!(!damping.is_eligible(now, "a"));
            }
            prop_assert!(damping.is_eligible(now + 41.0, "a"));
        }
    }
}
