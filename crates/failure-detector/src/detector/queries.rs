//! Queries about the health and the heartbeats of peers.

use super::FailureDetector;
use super::health::{PeerHealth, SuspicionReason};
use super::peer::{PeerState, ReceivedHeartbeat};
use crate::succession::LeaderCandidate;
use rushwalk_protocol::peers::{PeerHeartbeat, PeerObservation};

/// A peer counts as reachable if its last heartbeat is younger than this many scheduling
/// rounds.
const RECENT_ROUNDS: f64 = 2.0;

/// A peer's latest heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct AgedHeartbeat<'a> {
    /// How long ago it arrived, in seconds.
    pub age_s: f64,
    /// The heartbeat as the peer sent it.
    pub heartbeat: &'a PeerHeartbeat,
}

impl AgedHeartbeat<'_> {
    fn new(received: &ReceivedHeartbeat, now_s: f64) -> AgedHeartbeat<'_> {
        AgedHeartbeat {
            age_s: now_s - received.at_s,
            heartbeat: &received.heartbeat,
        }
    }

    /// The age of the sender's last successful read of the store, in seconds.
    pub fn staleness_s(&self) -> f64 {
        self.age_s + self.heartbeat.staleness_ms as f64 / 1000.0
    }
}

impl FailureDetector {
    /// A member's health. A member that is not a known peer counts as healthy.
    pub fn health(&self, member: &str) -> PeerHealth {
        self.peers
            .get(member)
            .map_or(PeerHealth::Healthy, |peer| peer.health)
    }

    /// Whether a member has failed, or is suspected and most witnesses agree. No new work should
    /// be assigned to such a member. A suspicion that only this controller has does not count:
    /// if a packet filter separates the controllers, all suspect each other though each still
    /// works.
    pub fn is_suspected_by_majority(&self, member: &str) -> bool {
        self.peers
            .get(member)
            .is_some_and(|peer| match peer.health {
                PeerHealth::Healthy => false,
                PeerHealth::Suspected => peer.majority_agrees,
                PeerHealth::Failed => true,
            })
    }

    /// Whether a process has lost its shards because it was declared failed. A stalled leader
    /// loses only leadership.
    pub fn has_lost_shards(&self, member: &str, incarnation: u64) -> bool {
        self.failed_peer(member, incarnation)
            .is_some_and(|peer| peer.reason != Some(SuspicionReason::Stalled))
    }

    /// Whether a process was declared failed because its port refuses connections.
    pub fn failed_by_refusal(&self, member: &str, incarnation: u64) -> bool {
        self.failed_peer(member, incarnation)
            .is_some_and(|peer| peer.reason == Some(SuspicionReason::Refused))
    }

    /// Whether this process of a member was declared failed. A new process of the same member
    /// was not.
    pub fn is_failed(&self, member: &str, incarnation: u64) -> bool {
        self.failed_peer(member, incarnation).is_some()
    }

    /// The peer if it has failed and was registered with `incarnation` when it was declared
    /// failed. `None` for a peer that failed because its member lease expired: at that time it
    /// was not registered.
    fn failed_peer(&self, member: &str, incarnation: u64) -> Option<&PeerState> {
        let peer = self.peers.get(member)?;
        let same_process = peer.term_at_change?.incarnation == incarnation;
        (peer.health == PeerHealth::Failed && same_process).then_some(peer)
    }

    /// Whether a process whose member lease expired less than `grace_s` ago still sends
    /// heartbeats: then it still runs and is only partitioned from the store.
    pub fn is_alive_after_expiry(
        &self,
        member: &str,
        incarnation: u64,
        now_s: f64,
        grace_s: f64,
    ) -> bool {
        let recent_s = RECENT_ROUNDS * self.config.round_s;
        self.peers.get(member).is_some_and(|peer| {
            peer.incarnation == incarnation
                && peer.reason == Some(SuspicionReason::LeaseExpired)
                && now_s - peer.health_since_s < grace_s
                && peer
                    .contact_age_s(now_s)
                    .is_some_and(|age_s| age_s < recent_s)
                && peer.consecutive_refusals == 0
        })
    }

    /// Whether a member is suspected as slow, or suspected or declared failed as a stalled leader.
    pub fn is_slow(&self, member: &str) -> bool {
        let reason = self.peers.get(member).and_then(|peer| peer.reason);
        reason.is_some_and(SuspicionReason::is_slowness)
    }

    /// The latest heartbeat of a member; `None` if none has arrived.
    pub fn last_heartbeat(&self, member: &str, now_s: f64) -> Option<AgedHeartbeat<'_>> {
        let received = self.peers.get(member)?.last_heartbeat.as_ref()?;
        Some(AgedHeartbeat::new(received, now_s))
    }

    /// The latest heartbeats of all peers that have sent one, in the order of their names.
    pub fn last_heartbeats(&self, now_s: f64) -> impl Iterator<Item = AgedHeartbeat<'_>> {
        let received = self
            .peers
            .values()
            .filter_map(|p| p.last_heartbeat.as_ref());
        received.map(move |received| AgedHeartbeat::new(received, now_s))
    }

    /// This controller's observations of its peers, which its own heartbeats carry. Leaves out
    /// peers of which no process is known.
    pub fn observations(&self, now_s: f64) -> Vec<PeerObservation> {
        let known = self.peers.iter().filter(|(_, peer)| peer.incarnation != 0);
        let observation = |(member, peer): (&String, &PeerState)| PeerObservation {
            member: member.clone(),
            incarnation: peer.incarnation,
            contact_age_ms: peer
                .contact_age_s(now_s)
                .map(|age_s| (age_s * 1000.0).max(0.0) as u64),
            refused: peer.refuses(self.config.refusal_threshold),
        };
        known.map(observation).collect()
    }

    /// All peers that have sent a heartbeat, as candidates for leadership, in the order of
    /// their names.
    pub fn candidates(&self, now_s: f64) -> Vec<LeaderCandidate<'_>> {
        self.peers
            .iter()
            .filter_map(|(member, peer)| self.candidate(member, peer, now_s))
            .collect()
    }

    fn candidate<'a>(
        &self,
        member: &'a str,
        peer: &'a PeerState,
        now_s: f64,
    ) -> Option<LeaderCandidate<'a>> {
        let last = AgedHeartbeat::new(peer.last_heartbeat.as_ref()?, now_s);
        let recent = last.age_s < RECENT_ROUNDS * self.config.round_s;
        Some(LeaderCandidate {
            name: member,
            trusted: peer.health == PeerHealth::Healthy && peer.term.is_some() && recent,
            eligible: self.damping.is_eligible(now_s, member),
            mean_lag_s: last.heartbeat.lag_ms as f64 / 1000.0,
            busy_share: f64::from(last.heartbeat.busy_permille) / 1000.0,
            staleness_s: last.staleness_s(),
        })
    }
}
