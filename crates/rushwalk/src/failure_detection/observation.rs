//! Feeds the failure detector with what the store shows of the others, and acts on its
//! transitions.

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

/// Heartbeat intervals after which a peer without a heartbeat counts as out of contact.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;

/// The loop that watches the other controllers.
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

/// What the store showed when it was last looked at.
#[derive(Default)]
struct ObservedState {
    last_writes: BTreeMap<String, Revision>,
    leader: Option<ObservedLeader>,
    /// When a write of this controller itself was last seen.
    own_write: Option<Instant>,
}

#[derive(Clone)]
struct ObservedLeader {
    version: Revision,
    member: String,
}

/// The share of time in which this thread is busy, averaged over some rounds.
struct BusyShare {
    measured: Instant,
    busy_s: f64,
    share: f64,
}

fn term_of(member: &MemberRecord) -> MembershipTerm {
    MembershipTerm {
        incarnation: member.incarnation,
        since: member.registered_ms,
    }
}

fn tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

impl FailureDetection {
    /// A loop that has made no observation.
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
                measured: Instant::now(),
                busy_s: 0.0,
                share: 1.0,
            },
        }
    }

    /// Observes and evaluates a few times between two heartbeats, until the process ends.
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

    fn measure_busy_share(&mut self) {
        let busy = &mut self.busy;
        let passed_s = busy.measured.elapsed().as_secs_f64();
        if passed_s < self.context.timing.round.as_secs_f64() {
            return;
        }
        let busy_s = self.context.process_times().busy_s;
        let share = ((busy_s - busy.busy_s) / passed_s).clamp(0.0, 1.0);
        busy.share += (share - busy.share) / 4.0;
        busy.measured = Instant::now();
        busy.busy_s = busy_s;
        self.peers.set_busy_share(busy.share);
    }

    /// Takes what the store shows into the evidence.
    fn observe(&mut self) {
        let replica = self.replica.clone();
        let state = replica.state();
        if !replica.has_been_read() {
            return;
        }
        self.observe_members(&state);
        self.observe_leader(&state);
    }

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
                self.observed.own_write = Some(Instant::now());
            } else {
                detector.record_write(now_s, name);
            }
        }
    }

    /// Notices that leadership was relinquished, or taken from a leader that is still a
    /// member.
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

    fn handle(&self, transition: &HealthTransition) {
        let controller = &transition.member;
        let reason = transition.reason;
        let phi = tenths(transition.phi);
        let after_s = tenths(transition.previous_lasted_s);
        let (agreeing, witnesses) = (transition.agreeing, transition.witnesses);
        match transition.to {
            PeerHealth::Healthy => tracing::info!(controller, after_s, "peer healthy again"),
            PeerHealth::Suspected => {
                // Declaring it failed needs a read made since; the watch may be waiting.
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

    /// A controller that no peer answers proves in the log that it is alive, if none of its
    /// other writes does.
    async fn prove_liveness(&self) {
        if self.is_known_alive() || !self.replica.shard_leases_valid() {
            return;
        }
        if let Some(lease) = self.membership.lease() {
            self.membership.rewrite_record(lease).await;
        }
    }

    /// Whether the peers know that this controller is alive, as far as can be told here.
    fn is_known_alive(&self) -> bool {
        let timing = &self.context.timing;
        let max_age_s = MAX_MISSED_HEARTBEATS * timing.peer_heartbeat.as_secs_f64();
        let has_peer_contact = self
            .peers
            .detector()
            .last_heartbeats(self.context.uptime_s())
            .any(|last| last.age_s < max_age_s);
        let own_write = self.observed.own_write;
        let wrote = own_write.is_some_and(|at| at.elapsed() < timing.round * 2);
        has_peer_contact || wrote || self.context.settings.peers.is_empty()
    }
}
