//! The health states of a peer, the reasons for suspicion, and the transitions between states.

use serde::Serialize;

/// Why a heartbeat to a peer got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The connection was refused: the peer's process has ended or has no sockets left, or a
    /// packet filter rejects connections to it.
    Refused,
    /// There was no response before the time-out.
    TimedOut,
    /// The call failed before the time-out for another reason, usually because an established
    /// connection broke: the peer's process has ended, or a packet filter interrupts the
    /// connection.
    ConnectionBroken,
}

/// The health of a peer, as this controller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerHealth {
    /// There is no reason to suspect the peer.
    #[serde(rename = "trusted")]
    Healthy,
    /// There is a reason to suspect the peer, but not enough evidence to declare it failed.
    #[serde(rename = "suspect")]
    Suspected,
    /// The peer was declared failed: its work may be taken over.
    #[serde(rename = "judged")]
    Failed,
}

/// Why a peer is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionReason {
    /// The peer's port refuses connections.
    Refused,
    /// The time since the peer's last heartbeat is improbably long, given its heartbeat history.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The peer is the leader, reports event-loop lag, and finishes no scheduling rounds.
    Stalled,
    /// The peer has reported event-loop lag for several rounds.
    Slow,
    /// The peer's member lease has expired, according to the store.
    #[serde(rename = "left")]
    LeaseExpired,
}

impl SuspicionReason {
    /// Whether the process still runs, but too slowly.
    pub(super) fn is_slowness(self) -> bool {
        matches!(self, SuspicionReason::Slow | SuspicionReason::Stalled)
    }
}

/// A change of a peer's health, or of the reason for it.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthTransition {
    /// The peer's name as a member.
    pub member: String,
    /// The health before the change.
    pub from: PeerHealth,
    /// The health after the change; the same as `from` if only the reason has changed.
    pub to: PeerHealth,
    /// Why the peer is suspected or was declared failed; `None` if it is healthy.
    pub reason: Option<SuspicionReason>,
    /// How long the previous health and reason had lasted, in seconds.
    pub previous_lasted_s: f64,
    /// φ for the time since the peer's last heartbeat (see [`crate::accrual`]).
    pub phi: f64,
    /// The number of other controllers whose observations counted.
    pub witnesses: usize,
    /// The number of witnesses that agree with the suspicion.
    pub agreeing: usize,
}

/// The observer's measurements of itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalHealth {
    /// The event-loop lag of the latest samples, in seconds: rises with one sample and decays
    /// over several.
    pub recent_lag_s: f64,
    /// The mean event-loop lag over about one scheduling round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which the observer's thread is busy, 0 to 1.
    pub busy_share: f64,
    /// How long ago the latest successful read of the store was sent, in seconds.
    pub staleness_s: f64,
    /// How long ago leadership last passed from one live controller to another, in seconds;
    /// infinite if it never did.
    pub since_leadership_moved_s: f64,
    /// The newest revision of the store that the observer has seen.
    pub revision: u64,
}
