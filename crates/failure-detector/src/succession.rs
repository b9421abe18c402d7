//! Who leads next, and when a controller should step down by itself.

use crate::timing::DetectorTiming;

/// A controller that could lead, as an observer sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCandidate<'a> {
    /// Its name as a member.
    pub name: &'a str,
    /// Neither suspected nor failed, and a heartbeat of it came lately.
    pub trusted: bool,
    /// The delay after its latest departure is over.
    pub eligible: bool,
    /// Its event-loop lag in the mean of a round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which its thread is busy, 0 to 1.
    pub busy_share: f64,
    /// How old its last read of the store is, in seconds.
    pub staleness_s: f64,
}

impl LeaderCandidate<'_> {
    /// Whether it has read the store within two rounds.
    fn reaches_store(&self, timing: DetectorTiming) -> bool {
        self.staleness_s <= 2.0 * timing.round_s
    }
}

/// What puts one candidate before another; fields in the order of their weight, the
/// smaller the better. The name comes last, so that controllers with the same observations
/// agree on the order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    ineligible: bool,
    stale: bool,
    /// Lag in whole heartbeat intervals.
    lag_heartbeats: u64,
    name: &'a str,
}

fn rank<'a>(candidate: &LeaderCandidate<'a>, timing: DetectorTiming) -> Rank<'a> {
    let lag = (candidate.mean_lag_s / timing.heartbeat_s).floor().max(0.0);
    Rank {
        ineligible: !candidate.eligible,
        stale: !candidate.reaches_store(timing),
        lag_heartbeats: lag as u64,
        name: candidate.name,
    }
}

/// How many trusted candidates rank before `me`. Nothing relies on all controllers agreeing
/// on it: the store lets only one of them win.
pub fn election_rank(
    me: &LeaderCandidate,
    others: &[LeaderCandidate],
    timing: DetectorTiming,
) -> usize {
    let mine = rank(me, timing);
    let before = |other: &&LeaderCandidate| other.trusted && rank(other, timing) < mine;
    others.iter().filter(before).count()
}

/// Whether this controller has been too slow for its work for long enough to step down.
#[derive(Debug, Clone, Default)]
pub struct SlownessTracker {
    slow_since_s: Option<f64>,
}

impl SlownessTracker {
    /// Records the mean event-loop lag, in seconds. A controller is slow once it has lagged for
    /// `rounds` rounds; a single long iteration of its loop does not count.
    pub fn observe(&mut self, now_s: f64, lag_s: f64, timing: DetectorTiming, rounds: f64) -> bool {
        if lag_s < timing.slow_threshold_s() {
            self.slow_since_s = None;
            return false;
        }
        let since = *self.slow_since_s.get_or_insert(now_s);
        now_s - since >= rounds * timing.round_s
    }
}

/// The best candidate to take over from a controller that lags: trusted, eligible, in
/// reach of the store, and with headroom. If all are equally slow there is none, so
/// that leadership does not circulate.
pub fn preferred_successor<'a>(
    others: &[LeaderCandidate<'a>],
    timing: DetectorTiming,
) -> Option<&'a str> {
    let able = |candidate: &&LeaderCandidate| {
        candidate.trusted
            && candidate.eligible
            && candidate.reaches_store(timing)
            && timing.has_headroom(candidate.mean_lag_s, candidate.busy_share)
    };
    others
        .iter()
        .filter(able)
        .min_by(|a, b| rank(a, timing).cmp(&rank(b, timing)))
        .map(|candidate| candidate.name)
}

#[cfg(test)]
mod tests;
