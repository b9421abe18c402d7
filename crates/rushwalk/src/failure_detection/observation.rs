//! Passes observations of other controllers from the store to the failure detector, and acts on
//! the detector's health transitions.

use super::local_health::LocalHealthSource;
use crate::context::Context;
use crate::leadership::leader::{Leadership, leadership_term};
use crate::peers::PeerMonitor;
use crate::store::{Membership, Replica};
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_failure_detector::{HealthTransition, PeerHealth};
use rushwalk_state::records::MemberRecord;
use rushwalk_state::{ClusterState, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::{Instant, sleep};

/// The number of heartbeat intervals without a heartbeat after which a peer counts as out of
/// contact.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;

/// The loop that observes and evaluates the other controllers.
pub(crate) struct FailureDetection {
    context: Arc<Context>,
    replica: Arc<Replica>,
    membership: Arc<Membership>,
    leadership: Arc<Leadership>,
    peers: Arc<PeerMonitor>,
    local_health: LocalHealthSource,
    observed: ObservedState,
    busy: BusyShare,
}

/// The state of the store at the last observation.
#[derive(Default)]
struct ObservedState {
    /// Revision of the newest write of each controller.
    last_writes: BTreeMap<String, Revision>,
    leader: Option<ObservedLeader>,
    /// When a new write of this controller was last observed.
    own_write_seen: Option<Instant>,
}

#[derive(Clone)]
struct ObservedLeader {
    /// Version of the leader key, which identifies the leadership term.
    version: Revision,
    member: String,
}

/// The share of time in which this controller's thread is busy.
struct BusyShare {
    /// When the latest measurement was made.
    measured_at: Instant,
    /// Busy seconds since the start of the process, at that time.
    busy_s: f64,
    /// Moving average from 0 to 1, in which each measurement has a weight of a quarter.
    share: f64,
}

fn term_of(member: &MemberRecord) -> MembershipTerm {
    MembershipTerm {
        incarnation: member.incarnation,
        since: member.registered_ms,
    }
}

fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

impl FailureDetection {
    /// A loop without observations, which takes this controller to be fully busy until the first
    /// measurement.
    pub(crate) fn new(
        context: Arc<Context>,
        membership: Arc<Membership>,
        local_health: LocalHealthSource,
    ) -> FailureDetection {
        FailureDetection {
            replica: local_health.replica.clone(),
            leadership: local_health.leadership.clone(),
            peers: local_health.peers.clone(),
            context,
            membership,
            local_health,
            observed: ObservedState::default(),
            busy: BusyShare {
                measured_at: Instant::now(),
                busy_s: 0.0,
                share: 1.0,
            },
        }
    }

    /// Observes and evaluates twice per peer heartbeat interval, until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            sleep(self.context.timing.peer_heartbeat / 2).await;
            self.measure_busy_share();
            let local_health = self.local_health.now();
            self.observe();
            let now_s = self.context.uptime_s();
            let transitions = self.peers.detector().evaluate(now_s, local_health);
            for transition in transitions {
                self.handle(&transition);
            }
            self.prove_liveness().await;
        }
    }

    /// Updates the busy share, at most once per scheduling round.
    fn measure_busy_share(&mut self) {
        let busy = &mut self.busy;
        let elapsed_s = busy.measured_at.elapsed().as_secs_f64();
        if elapsed_s < self.context.timing.round.as_secs_f64() {
            return;
        }
        let busy_s = self.context.process_times().busy_s;
        let share = ((busy_s - busy.busy_s) / elapsed_s).clamp(0.0, 1.0);
        busy.share += (share - busy.share) / 4.0;
        busy.measured_at = Instant::now();
        busy.busy_s = busy_s;
        self.peers.set_busy_share(busy.share);
    }

    /// Passes the members and the leader in the store to the failure detector. Does nothing
    /// before the first read of the store.
    fn observe(&mut self) {
        let replica = self.replica.clone();
        let state = replica.state();
        if !replica.has_been_read() {
            return;
        }
        self.observe_members(&state);
        self.observe_leader(&state);
    }

    /// Records the registrations of all peers, and the members that have written since the last
    /// observation.
    fn observe_members(&mut self, state: &ClusterState) {
        let now_s = self.context.uptime_s();
        let mut detector = self.peers.detector();
        for peer in &self.context.settings.peers {
            let member = state.members.get(&peer.member);
            detector.record_membership(now_s, &peer.member, member.map(term_of));
        }
        for (name, revision) in &state.last_writes {
            let known = self.observed.last_writes.insert(name.clone(), *revision);
            if known == Some(*revision) {
                continue;
            }
            if name == self.context.member() {
                self.observed.own_write_seen = Some(Instant::now());
            } else {
                detector.record_write(now_s, name);
            }
        }
    }

    /// Records a transfer if the previous leader is still a member but no longer leads. If there is
    /// no new leader yet, the previous one relinquished leadership, which also counts as its
    /// departure.
    fn observe_leader(&mut self, state: &ClusterState) {
        let leader = state.leader.as_ref().map(|leader| ObservedLeader {
            version: leader.version,
            member: leader.value.member.clone(),
        });
        let member = leader.as_ref().map(|leader| &leader.member);
        if let Some(previous) = &self.observed.leader
            && member != Some(&previous.member)
            && state.members.contains_key(&previous.member)
        {
            if member.is_none() {
                let term = leadership_term(previous.version);
                let now_s = self.context.uptime_s();
                self.peers
                    .detector()
                    .record_departure(now_s, &previous.member, term);
            }
            self.leadership.record_transfer();
        }
        self.observed.leader = leader;
    }

    /// Logs a transition, requests a read of the store if a peer is suspected, and wakes the tasks
    /// that wait for a change.
    fn handle(&self, transition: &HealthTransition) {
        let controller = &transition.member;
        let reason = transition.reason;
        let phi = round_to_tenths(transition.phi);
        let after_s = round_to_tenths(transition.previous_lasted_s);
        let (agreeing, witnesses) = (transition.agreeing, transition.witnesses);
        match transition.to {
            PeerHealth::Healthy => tracing::info!(controller, after_s, "peer healthy again"),
            PeerHealth::Suspected => {
                // Unless its lease has expired, a suspected peer is declared failed only after a
                // newer read of the store. The watch request may stay open without a result, so a
                // read is requested.
                self.replica.request_read();
                tracing::info!(
                    controller,
                    ?reason,
                    phi,
                    agreeing,
                    witnesses,
                    "peer suspected"
                );
            }
            PeerHealth::Failed => {
                tracing::info!(
                    controller,
                    ?reason,
                    phi,
                    after_s,
                    agreeing,
                    witnesses,
                    "peer declared failed"
                );
            }
        }
        self.replica.notify_changed();
    }

    /// If no peer is in contact and this controller has not written recently, rewrites its member
    /// record: the peers see the write in the store, which proves that this controller is alive.
    async fn prove_liveness(&self) {
        if self.is_known_alive() || !self.replica.shard_leases_valid() {
            return;
        }
        if let Some(lease) = self.membership.lease() {
            self.membership.rewrite_record(lease).await;
        }
    }

    /// Whether the peers probably know that this controller is alive: one of them was recently in
    /// contact, or a recent write of this controller was observed. Also true without peers.
    fn is_known_alive(&self) -> bool {
        let timing = &self.context.timing;
        let max_age_s = MAX_MISSED_HEARTBEATS * timing.peer_heartbeat.as_secs_f64();
        let has_peer_contact = self
            .peers
            .detector()
            .last_heartbeats(self.context.uptime_s())
            .any(|last| last.age_s < max_age_s);
        let own_write_seen = self.observed.own_write_seen;
        let has_written = own_write_seen.is_some_and(|at| at.elapsed() < timing.round * 2);
        has_peer_contact || has_written || self.context.settings.peers.is_empty()
    }
}
