//! Recording of evidence about peers.

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

    /// Records a heartbeat from a peer. The network may have delayed it for minutes. From a peer
    /// that is not healthy, it therefore counts only if the peer had read at least the store
    /// revision that this controller had read when the peer's health changed. A heartbeat with a
    /// lower revision than the previous one is out of order and ignored.
    pub fn record_heartbeat(&mut self, now_s: f64, heartbeat: PeerHeartbeat) {
        let Some(peer) = self.peers.get(&heartbeat.member) else {
            return;
        };
        let predates_health_change =
            peer.health != PeerHealth::Healthy && heartbeat.revision < peer.revision_at_change;
        let out_of_order = peer
            .last_heartbeat
            .as_ref()
            .is_some_and(|last| heartbeat.revision < last.heartbeat.revision);
        if !predates_health_change && !out_of_order {
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
        let lag_s = heartbeat.lag_ms as f64 / 1000.0;
        // The peer counts as on time again only well below the threshold: with the same
        // threshold in both directions its shards would flap.
        if timing.is_on_time(lag_s) {
            peer.lagging_since_s = None;
        } else if lag_s >= timing.slow_threshold_s() {
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
            // The peer hangs. If it refuses connections next, it has more connections than it can
            // accept, or no sockets left. When such refusals counted, live controllers were
            // declared failed repeatedly while all controllers were overloaded, so refusals
            // after a time-out are ignored.
            ProbeFailure::TimedOut => {
                peer.consecutive_refusals = 0;
                peer.probe_timed_out = true;
            }
            ProbeFailure::ConnectionBroken => {}
        }
        peer.responding_since_s = None;
    }

    /// Records that the observer saw a new write of a peer in the store: a log entry, or the peer's
    /// member record. A write may be seen only after the process that made it has ended, so it only
    /// defers a declaration of failure for a limited time.
    pub fn record_write(&mut self, now_s: f64, member: &str) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.last_write_s = Some(now_s);
        }
    }

    /// Records the current term of a member according to the store; `None` if the member is
    /// not registered.
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

    /// Records that a member relinquished leadership, or was found to be cut off from a shard's
    /// machines. Several departures with the same `term` count once.
    pub fn record_departure(&mut self, now_s: f64, member: &str, term: MembershipTerm) {
        self.damping.record_departure(now_s, member, term);
    }
}
