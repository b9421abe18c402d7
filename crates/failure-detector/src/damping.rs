//! Flap damping: a member that left lately gets its work back after a delay, which
//! doubles with each further departure and is bounded.

use std::collections::BTreeMap;

/// Delays double up to so many times the first.
const MAX_DELAY_FACTOR: f64 = 8.0;

/// A departure counts for so many first delays. That is longer than the longest delay, so
/// that a member that leaves again right after it still counts as flapping.
const MEMORY_FACTOR: f64 = 16.0;

/// Bounds the exponent of the doubling.
const MAX_COUNTED_DEPARTURES: usize = 8;

/// One term of a member, which a departure ends. If a member is declared failed and its
/// lease expires afterwards, that is one departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MembershipTerm {
    /// The member's process.
    pub incarnation: u64,
    /// Distinguishes the terms of a process; mostly the time of its registration, in
    /// milliseconds since the Unix epoch.
    pub since: u64,
}

#[derive(Debug, Clone)]
struct Departure {
    term: MembershipTerm,
    at_s: f64,
}

/// Departures of all members, and the delays that follow from them.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    first_delay_s: f64,
    departures: BTreeMap<String, Vec<Departure>>,
}

impl FlapDamping {
    /// Damping whose first delay lasts `first_delay_s` seconds.
    pub fn new(first_delay_s: f64) -> FlapDamping {
        FlapDamping {
            first_delay_s,
            departures: BTreeMap::new(),
        }
    }

    fn memory_s(&self) -> f64 {
        MEMORY_FACTOR * self.first_delay_s
    }

    /// Records that a member left, was declared failed, or stepped down; once for each term.
    pub fn record_departure(&mut self, now_s: f64, member: &str, term: MembershipTerm) {
        let memory = self.memory_s();
        let departures = self.departures.entry(member.to_string()).or_default();
        departures.retain(|departure| now_s - departure.at_s < memory);
        if departures.iter().all(|known| known.term != term) {
            departures.push(Departure { term, at_s: now_s });
        }
    }

    /// The number of departures that still count.
    pub fn departures(&self, now_s: f64, member: &str) -> usize {
        let memory = self.memory_s();
        self.departures_of(member)
            .filter(|departure| now_s - departure.at_s < memory)
            .count()
    }

    /// For how long after its return a member does not yet get its work back, in seconds.
    pub fn delay_s(&self, now_s: f64, member: &str) -> f64 {
        let factor = match self.departures(now_s, member) {
            0 => 1.0,
            count => {
                let doublings = count.min(MAX_COUNTED_DEPARTURES) as i32 - 1;
                2f64.powi(doublings).min(MAX_DELAY_FACTOR)
            }
        };
        factor * self.first_delay_s
    }

    /// Whether the delay after its latest departure is over.
    pub fn is_eligible(&self, now_s: f64, member: &str) -> bool {
        let latest = self
            .departures_of(member)
            .map(|departure| departure.at_s)
            .fold(f64::NEG_INFINITY, f64::max);
        now_s - latest >= self.delay_s(now_s, member)
    }

    fn departures_of(&self, member: &str) -> impl Iterator<Item = &Departure> {
        self.departures.get(member).into_iter().flatten()
    }
}

#[cfg(test)]
mod tests;
