//! Evidence about peers as it comes in.

use super::FailureDetector;
use super::health::{PeerHealth, ProbeFailure};
use super::peer::ReceivedHeartbeat;
use crate::damping::MembershipTerm;
use rushwalk_protocol::peers::PeerHeartbeat;

impl FailureDetector {
    /// Records a peer's response to a heartbeat.
    pub fn record_response(&mut self, now_s: f64, heartbeat: PeerHeartbeat) {
        self.record_alive(now_s, heartbeat, true);
    }

    /// Records a heartbeat from a peer. The network may have delayed it for minutes, so it
    /// counts as evidence only if its sender had read the revision at which the suspicion
    /// began.
    pub fn record_heartbeat(&mut self, now_s: f64, heartbeat: PeerHeartbeat) {
        let Some(peer) = self.peers.get(&heartbeat.member) else {
            return;
        };
        let before_suspicion =
            peer.health != PeerHealth::Healthy && heartbeat.revision < peer.revision_at_change;
        let out_of_order = peer
            .last_heartbeat
            .as_ref()
            .is_some_and(|last| heartbeat.revision < last.heartbeat.revision);
        if !before_suspicion && !out_of_order {
            self.record_alive(now_s, heartbeat, false);
        }
    }

    fn record_alive(&mut self, now_s: f64, heartbeat: PeerHeartbeat, is_response: bool) {
        let timing = self.config.timing();
        let Some(peer) = self.peers.get_mut(&heartbeat.member) else {
            return;
        };
        if peer.incarnation != heartbeat.incarnation && heartbeat.incarnation != 0 {
            peer.begin_incarnation(heartbeat.incarnation);
        }
        peer.arrivals.record(now_s);
        peer.clear_probe_failures();
        let lag = heartbeat.lag_ms as f64 / 1000.0;
        // Well below the threshold again, not just below, or its shards would flap.
        if timing.is_on_time(lag) {
            peer.lagging_since_s = None;
        } else if lag >= timing.slow_threshold_s() {
            peer.lagging_since_s.get_or_insert(now_s);
        }
        if is_response && peer.health == PeerHealth::Failed {
            peer.responding_since_s.get_or_insert(now_s);
        }
        peer.last_heartbeat = Some(ReceivedHeartbeat {
            at_s: now_s,
            heartbeat,
        });
    }

    /// Records that a heartbeat to a peer got no response.
    pub fn record_probe_failure(&mut self, member: &str, failure: ProbeFailure) {
        let Some(peer) = self.peers.get_mut(member) else {
            return;
        };
        match failure {
            ProbeFailure::Refused if peer.probe_timed_out => {}
            ProbeFailure::Refused => peer.consecutive_refusals += 1,
            // It hangs: if it refuses connections next, it has more callers than it can
            // take, or no sockets left. Under an overload of all controllers, live ones
            // were declared failed for that again and again.
            ProbeFailure::TimedOut => {
                peer.consecutive_refusals = 0;
                peer.probe_timed_out = true;
            }
            ProbeFailure::ConnectionBroken => {}
        }
        peer.responding_since_s = None;
    }

    /// An entry written by a peer was seen in the log. One that was written before its
    /// end may be seen late, so it only defers a declaration of failure for a while.
    pub fn record_write(&mut self, now_s: f64, member: &str) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.last_write_s = Some(now_s);
        }
    }

    /// The store's present record of a member: its process and the time of its
    /// registration, or none.
    pub fn record_membership(&mut self, now_s: f64, member: &str, term: Option<MembershipTerm>) {
        let Some(peer) = self.peers.get_mut(member) else {
            return;
        };
        if peer.term == term {
            return;
        }
        if let Some(before) = peer.term {
            self.damping.record_departure(now_s, member, before);
        }
        peer.membership_ended = term.is_none();
        peer.term = term;
        if let Some(term) = term
            && term.incarnation != peer.incarnation
        {
            peer.begin_incarnation(term.incarnation);
            peer.clear_probe_failures();
        }
    }

    /// In a term, a member stepped down by itself, or was cut off from a shard's machines.
    pub fn record_departure(&mut self, now_s: f64, member: &str, term: MembershipTerm) {
        self.damping.record_departure(now_s, member, term);
    }
}
