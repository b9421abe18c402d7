//! The states of a peer, the reasons for them, and their changes.

use serde::Serialize;

/// Why a heartbeat that we sent was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Its host answered that nobody listens there. That is a dead process, or one
    /// without sockets, or a packet filter.
    Refused,
    /// No response in time.
    TimedOut,
    /// The connection broke: that may be the process's end, or a packet filter.
    ConnectionBroken,
}

/// A peer's state of health, as this controller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerHealth {
    /// Nothing speaks against it.
    #[serde(rename = "trusted")]
    Healthy,
    /// Something speaks against it, and more is needed to declare it failed.
    #[serde(rename = "suspect")]
    Suspected,
    /// Declared failed: its work may be taken over.
    #[serde(rename = "judged")]
    Failed,
}

/// What speaks against a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionReason {
    /// Its port refuses connections.
    Refused,
    /// It is silent for longer than its history explains.
    #[serde(rename = "silent")]
    Unresponsive,
    /// It leads, reports that its event loop lags, and finishes no scheduling rounds.
    Stalled,
    /// It reports that its event loop lags, round after round.
    Slow,
    /// Its member lease has expired, as the store says.
    #[serde(rename = "left")]
    LeaseExpired,
}

impl SuspicionReason {
    /// Whether it is about a process that lives, but too slowly.
    pub(super) fn is_slowness(self) -> bool {
        matches!(self, SuspicionReason::Slow | SuspicionReason::Stalled)
    }
}

/// A change of a peer's health, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthTransition {
    /// The peer's name as a member.
    pub member: String,
    /// Its health before.
    pub from: PeerHealth,
    /// Its health now.
    pub to: PeerHealth,
    /// What speaks against it now.
    pub reason: Option<SuspicionReason>,
    /// How long the state before had lasted, in seconds.
    pub previous_lasted_s: f64,
    /// The φ of its silence.
    pub phi: f64,
    /// Controllers that could be asked.
    pub witnesses: usize,
    /// Those of them that had the same suspicion.
    pub agreeing: usize,
}

/// What the observer knows of itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalHealth {
    /// Its event-loop lag of late, in seconds.
    pub recent_lag_s: f64,
    /// Its event-loop lag in the mean of a round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which its thread is busy, 0 to 1.
    pub busy_share: f64,
    /// How long ago its last answered read of the store was sent, in seconds.
    pub staleness_s: f64,
    /// How long ago leadership last passed from a live controller to another, in seconds.
    pub since_leadership_moved_s: f64,
    /// The newest revision of the store that it has seen.
    pub revision: u64,
}
