//! Flap damping: a member that has left gets work back only after a delay. The delay doubles
//! with each further departure, up to a maximum.

use std::collections::BTreeMap;

/// The longest delay, as a multiple of the first.
const MAX_DELAY_FACTOR: f64 = 8.0;

/// How long a departure counts, as a multiple of the first delay. This is longer than the
/// longest delay, so that a member that leaves again right after that delay still counts as
/// flapping.
const RETENTION_FACTOR: f64 = 16.0;

/// Bounds the exponent of the delay. The delay itself reaches its maximum at four departures.
const MAX_COUNTED_DEPARTURES: usize = 8;

/// One term of a member, which ends with a departure. Each term counts as one departure at most,
/// even if a member is declared failed and its lease expires afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MembershipTerm {
    /// The incarnation of the member's process; 0 for a term as the leader, which a version of the
    /// leader key identifies instead.
    pub incarnation: u64,
    /// Distinguishes the terms with the same incarnation. For a term as a registered member, the
    /// time of registration in milliseconds since the Unix epoch. Departures for other reasons use
    /// other numbers, each defined where the departure is recorded.
    pub since: u64,
}

#[derive(Debug, Clone)]
struct Departure {
    term: MembershipTerm,
    at_s: f64,
}

/// The departures of all members, and the delays that follow from them.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    first_delay_s: f64,
    departures: BTreeMap<String, Vec<Departure>>,
}

impl FlapDamping {
    /// Flap damping without departures, whose first delay lasts `first_delay_s` seconds.
    pub fn new(first_delay_s: f64) -> FlapDamping {
        FlapDamping {
            first_delay_s,
            departures: BTreeMap::new(),
        }
    }

    /// How long a departure counts, in seconds.
    fn retention_s(&self) -> f64 {
        RETENTION_FACTOR * self.first_delay_s
    }

    /// Records that a member left, was declared failed, or stepped down. Only the first
    /// departure of a term counts.
    pub fn record_departure(&mut self, now_s: f64, member: &str, term: MembershipTerm) {
        let retention_s = self.retention_s();
        let departures = self.departures.entry(member.to_string()).or_default();
        departures.retain(|departure| now_s - departure.at_s < retention_s);
        if departures.iter().all(|known| known.term != term) {
            departures.push(Departure { term, at_s: now_s });
        }
    }

    /// The number of a member's departures that still count.
    pub fn departures(&self, now_s: f64, member: &str) -> usize {
        let retention_s = self.retention_s();
        self.departures_of(member)
            .filter(|departure| now_s - departure.at_s < retention_s)
            .count()
    }

    /// How long a member must wait after its latest departure until it gets work back, in
    /// seconds; the first delay if no departure counts.
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

    /// Whether the delay after a member's latest departure is over; true without departures.
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
