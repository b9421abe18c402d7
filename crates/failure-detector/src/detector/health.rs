//! The states of a peer, the reasons for them, and their changes.

use serde::Serialize;

/// Why a heartbeat to a peer got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The connection was refused: its process has ended or has no sockets left, or a packet
    /// filter refuses it.
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
    /// There is no reason to suspect it.
    #[serde(rename = "trusted")]
    Healthy,
    /// There is a reason to suspect it, but not enough evidence to declare it failed.
    #[serde(rename = "suspect")]
    Suspected,
    /// Declared failed: its work may be taken over.
    #[serde(rename = "judged")]
    Failed,
}

/// Why a peer is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionReason {
    /// Its port refuses connections.
    Refused,
    /// It has sent nothing for longer than its history explains.
    #[serde(rename = "silent")]
    Unresponsive,
    /// It leads, reports that its event loop lags, and finishes no scheduling rounds.
    Stalled,
    /// It reports that its event loop lags, round after round.
    Slow,
    /// Its member lease has expired, according to the store.
    #[serde(rename = "left")]
    LeaseExpired,
}

impl SuspicionReason {
    /// Whether the process runs, but too slowly.
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
    /// Why it is suspected or was declared failed, if it is.
    pub reason: Option<SuspicionReason>,
    /// How long the state before had lasted, in seconds.
    pub previous_lasted_s: f64,
    /// φ for the time since its last heartbeat.
    pub phi: f64,
    /// Other controllers whose observations counted.
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
