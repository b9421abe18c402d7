//! Which controller should lead next, and when a controller should step down by itself.

use crate::timing::DetectorTiming;

/// A candidate for leadership, as an observer sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCandidate<'a> {
    /// The candidate's name as a member.
    pub name: &'a str,
    /// Whether the candidate is a registered member, neither suspected nor failed, and has sent
    /// a heartbeat recently.
    pub trusted: bool,
    /// Whether the flap-damping delay after the candidate's latest departure is over.
    pub eligible: bool,
    /// The candidate's mean event-loop lag over about one scheduling round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which the candidate's thread is busy, 0 to 1.
    pub busy_share: f64,
    /// The age of the candidate's last successful read of the store, in seconds.
    pub staleness_s: f64,
}

impl LeaderCandidate<'_> {
    /// Whether the candidate has read the store within the last two rounds.
    fn reaches_store(&self, timing: DetectorTiming) -> bool {
        self.staleness_s <= 2.0 * timing.round_s
    }
}

/// The sort key of a candidate: the smallest is best, and earlier fields take precedence. The
/// name comes last, so that controllers with the same observations agree on the order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    ineligible: bool,
    stale: bool,
    /// The mean event-loop lag in whole heartbeat intervals.
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

/// How many trusted candidates rank before `me`. Controllers need not agree on the ranks: the
/// store lets only one of them win an election.
pub fn election_rank(
    me: &LeaderCandidate,
    others: &[LeaderCandidate],
    timing: DetectorTiming,
) -> usize {
    let mine = rank(me, timing);
    let before = |other: &&LeaderCandidate| other.trusted && rank(other, timing) < mine;
    others.iter().filter(before).count()
}

/// Tracks whether this controller has been too slow for long enough to step down.
#[derive(Debug, Clone, Default)]
pub struct SlownessTracker {
    /// When the mean lag reached the threshold, in seconds of the observer's clock; `None` while it
    /// is below.
    slow_since_s: Option<f64>,
}

impl SlownessTracker {
    /// Records the mean event-loop lag in seconds; returns whether it has stayed at or above the
    /// threshold for `rounds` scheduling rounds. A single long iteration of the event loop
    /// does not count.
    pub fn observe(&mut self, now_s: f64, lag_s: f64, timing: DetectorTiming, rounds: f64) -> bool {
        if lag_s < timing.slow_threshold_s() {
            self.slow_since_s = None;
            return false;
        }
        let since = *self.slow_since_s.get_or_insert(now_s);
        now_s - since >= rounds * timing.round_s
    }
}

/// The best candidate to take over from a controller that lags: it is trusted and eligible, reaches
/// the store, and has headroom. `None` if there is no such candidate, so leadership does not
/// circulate while all controllers are slow.
pub fn preferred_successor<'a>(
    others: &[LeaderCandidate<'a>],
    timing: DetectorTiming,
) -> Option<&'a str> {
    let is_suitable = |candidate: &&LeaderCandidate| {
        candidate.trusted
            && candidate.eligible
            && candidate.reaches_store(timing)
            && timing.has_headroom(candidate.mean_lag_s, candidate.busy_share)
    };
    others
        .iter()
        .filter(is_suitable)
        .min_by(|a, b| rank(a, timing).cmp(&rank(b, timing)))
        .map(|candidate| candidate.name)
}

#[cfg(test)]
mod tests;
