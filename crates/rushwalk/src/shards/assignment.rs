//! The leader assigns shards to controllers.
//!
//! This has a loop of its own beside the scheduling rounds: while shards have no owner
//! their workers ask again every second, and a controller that is busy rejecting them finds
//! no time for its rounds. That once left shards without an owner until all worker leases
//! expired.

use super::reachability::ShardReachability;
use crate::clock::now_ms;
use crate::context::Context;
use crate::failure_detection::HeartbeatSource;
use crate::leadership::{LeaderVersion, Leadership};
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::peers::PeerMonitor;
use crate::store::{Replica, WritePriority};
use rushwalk_failure_detector::FailureDetector;
use rushwalk_protocol::ids::ShardId;
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::shard_assignment::{
    OwnerCandidate, ShardMove, ShardStatus, plan_shard_moves,
};
use rushwalk_state::records::{MemberRecord, ShardLease};
use rushwalk_state::{ClusterState, keys};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A controller that departed more often than this lately gets no shards while others can
/// have them.
const MAX_DEPARTURES: usize = 2;

/// Controllers have headroom for the machines of one that ended, for the few seconds until
/// it is back, if less than one in so many parts of their time is taken.
const BUSY_PARTS: u32 = 3;

/// Assigns shards while this process leads.
pub struct ShardAssigner {
    context: Arc<Context>,
    replica: Arc<Replica>,
    leadership: Arc<Leadership>,
    peers: Arc<PeerMonitor>,
    heartbeats: Arc<HeartbeatSource>,
    runtime_lag: Arc<RuntimeLag>,
    work_profile: Arc<WorkProfile>,
    history: MoveHistory,
}

/// When shards were moved, and why. A new leader starts with nothing.
#[derive(Default)]
struct MoveHistory {
    /// When a shard was last taken from an owner that was cut off, or had none.
    moved_for_need: HashMap<ShardId, Instant>,
    /// When a shard was last taken from an owner that its machines don't reach.
    moved_to_reachable: HashMap<ShardId, Instant>,
    /// When a controller was last found cut off from its machines.
    owner_cut_off: HashMap<String, Instant>,
    /// When a shard was last assigned to a controller beyond what had no owner.
    assigned_to: HashMap<String, Instant>,
    /// When a shard was last moved only for being better off elsewhere.
    rebalanced: Option<Instant>,
}

/// Why a shard is assigned anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveReason {
    NoOwner,
    ReachableElsewhere,
    OwnerCutOff,
    OwnerTooSlow,
    Balance,
}

impl MoveReason {
    fn of(shard: &ShardStatus, candidates: &[OwnerCandidate]) -> MoveReason {
        match shard.owner {
            None => MoveReason::NoOwner,
            Some(_) if !shard.reachable_from.is_empty() => MoveReason::ReachableElsewhere,
            Some(_) if shard.owner_cut_off => MoveReason::OwnerCutOff,
            Some(owner) if candidates[owner].slow => MoveReason::OwnerTooSlow,
            Some(_) => MoveReason::Balance,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            MoveReason::NoOwner => "it has no owner",
            MoveReason::ReachableElsewhere => "its machines reach other controllers",
            MoveReason::OwnerCutOff => "its machines are unreachable",
            MoveReason::OwnerTooSlow => "its owner is too slow",
            MoveReason::Balance => "balance",
        }
    }
}

/// Some moves that are committed together.
struct Moves {
    transaction: Transaction,
    /// Shards that had an owner and need another.
    needed: Vec<ShardId>,
    /// Shards whose machines turned up at other controllers.
    reachable_elsewhere: Vec<ShardId>,
}

/// What an assignment goes by.
struct Inputs<'a> {
    /// Who may own shards.
    candidates: Vec<OwnerCandidate<'a>>,
    /// The shards that may be assigned now.
    ids: &'a [ShardId],
    /// The same, as they are now.
    statuses: Vec<ShardStatus<'a>>,
    /// Shards whose machines turned up at other controllers than their owner.
    reachable_elsewhere: Vec<ShardId>,
}

/// The parts that the assignment uses.
pub struct ShardAssignerParts {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows members, machines and leases.
    pub replica: Arc<Replica>,
    /// Only the leader assigns.
    pub leadership: Arc<Leadership>,
    /// Shows who has failed.
    pub peers: Arc<PeerMonitor>,
    /// Shows who hears which machines.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Where the time goes.
    pub work_profile: Arc<WorkProfile>,
}

impl ShardAssigner {
    /// An assigner that has moved nothing.
    pub fn new(parts: ShardAssignerParts) -> ShardAssigner {
        ShardAssigner {
            context: parts.context,
            replica: parts.replica,
            leadership: parts.leadership,
            peers: parts.peers,
            heartbeats: parts.heartbeats,
            runtime_lag: parts.runtime_lag,
            work_profile: parts.work_profile,
            history: MoveHistory::default(),
        }
    }

    /// Assigns shards a few times in each round, for good.
    pub async fn run(mut self) {
        loop {
            sleep(self.context.timing.round / 4).await;
            let Some(version) = self.leadership.version_to_act() else {
                continue;
            };
            let Some(moves) = self.plan(version) else {
                continue;
            };
            let commit = self
                .leadership
                .commit(moves.transaction, WritePriority::Coordination);
            if commit.await {
                self.history.record(moves.needed, moves.reachable_elsewhere);
            }
            self.replica
                .linearizable_read(self.context.timing.round)
                .await;
        }
    }

    /// Gathers the inputs, plans the moves, and puts them into a transaction; `None` if
    /// nothing is to be moved.
    fn plan(&mut self, version: LeaderVersion) -> Option<Moves> {
        let work_profile = self.work_profile.clone();
        let _timer = work_profile.start(WorkKind::AssignShards);
        let reachability = ShardReachability::now(&self.context, &self.heartbeats);
        let replica = self.replica.clone();
        let state = replica.state();
        let ids = self.assignable_shards(&state);
        let inputs = self.inputs(&state, &ids, &reachability);
        // Each move leads a shard's workers elsewhere: one at a time.
        let may_rebalance = !is_recent(self.history.rebalanced, self.context.timing.round);
        let planned = plan_shard_moves(&inputs.candidates, &inputs.statuses, may_rebalance);
        self.moves(&state, version, &inputs, &planned)
    }

    fn inputs<'a>(
        &self,
        state: &'a ClusterState,
        ids: &'a [ShardId],
        reachability: &ShardReachability,
    ) -> Inputs<'a> {
        let members = self.eligible_members(state);
        let names: Vec<&str> = members.iter().map(|(name, _)| name.as_str()).collect();
        let mut inputs = Inputs {
            candidates: self.candidates(state, &members),
            ids,
            statuses: Vec::with_capacity(ids.len()),
            reachable_elsewhere: Vec::new(),
        };
        for id in ids {
            let reachable_from = self.reachable_from(state, reachability, id);
            if !reachable_from.is_empty() {
                inputs.reachable_elsewhere.push(id.clone());
            }
            let status = self.status(state, &names, id, &reachable_from);
            inputs.statuses.push(status);
        }
        inputs
    }

    /// The members that may own shards, by name: not one that has failed, whether or not its
    /// lease lasts.
    fn eligible_members<'a>(&self, state: &'a ClusterState) -> Vec<(&'a String, &'a MemberRecord)> {
        let detector = self.peers.detector();
        let now_s = self.context.uptime_s();
        // One that is started again and again may end before anybody has come to it. Not if
        // that is what most do: the others could not bear it all.
        let is_flapping = |name: &str| {
            let damping = &detector.damping;
            damping.departures(now_s, name) > MAX_DEPARTURES && !damping.is_eligible(now_s, name)
        };
        let flapping = state.members.keys().filter(|name| is_flapping(name));
        let few_are_flapping = 2 * flapping.count() < state.members.len();
        let members = state.members.iter().filter(|(name, member)| {
            let is_excluded = few_are_flapping && is_flapping(name);
            !is_excluded && !detector.has_lost_shards(name, member.incarnation)
        });
        members.collect()
    }

    fn candidates<'a>(
        &self,
        state: &ClusterState,
        members: &[(&'a String, &'a MemberRecord)],
    ) -> Vec<OwnerCandidate<'a>> {
        let detector = self.peers.detector();
        // Leading takes about as much as half a share of the machines.
        let leader_load = state.machines.len() / members.len().max(1) / 2;
        members
            .iter()
            .map(|(name, member)| self.candidate(&detector, name, member, leader_load))
            .collect()
    }

    fn candidate<'a>(
        &self,
        detector: &FailureDetector,
        name: &'a str,
        member: &'a MemberRecord,
        leader_load: usize,
    ) -> OwnerCandidate<'a> {
        let now_s = self.context.uptime_s();
        let is_self = name == self.context.member();
        let heartbeat = detector
            .last_heartbeat(name, now_s)
            .map(|last| last.heartbeat);
        let mean_lag_s = if is_self {
            self.runtime_lag.mean_lag().as_secs_f64()
        } else {
            heartbeat.map_or(0.0, |h| h.lag_ms as f64 / 1000.0)
        };
        let busy_permille = if is_self {
            self.peers.busy_permille()
        } else {
            heartbeat.map_or(0, |h| h.busy_permille)
        };
        let is_slow = detector.is_slow(name);
        let timing = detector.config().timing();
        OwnerCandidate {
            name,
            zone: &member.zone,
            eligible_for_moves: self.is_eligible_for_moves(detector, name, member),
            extra_load: if is_self { leader_load } else { 0 },
            trusted: !detector.is_suspicion_confirmed(name) && !is_slow,
            slow: is_slow,
            has_headroom: timing.has_headroom(mean_lag_s, f64::from(busy_permille) / 1000.0),
        }
    }

    /// Whether a member may get shards only for balance. One that has just come back gets
    /// its zone after a pause, which grows if it comes and goes; then step by step, the next
    /// shard when it has shown that it serves the last.
    fn is_eligible_for_moves(
        &self,
        detector: &FailureDetector,
        name: &str,
        member: &MemberRecord,
    ) -> bool {
        let now_s = self.context.uptime_s();
        let timing = &self.context.timing;
        let damping = &detector.damping;
        let pause_ms = (damping.delay_s(now_s, name) * 1000.0) as u64;
        let cut_off = self.history.owner_cut_off.get(name).copied();
        let is_unproven =
            damping.departures(now_s, name) > 1 || is_recent(cut_off, timing.worker_lease);
        let step = timing.member_lease.max(timing.heartbeat);
        let assigned = self.history.assigned_to.get(name).copied();
        let is_proven = !is_unproven || !is_recent(assigned, step);
        now_ms() > member.registered_ms + pause_ms && damping.is_eligible(now_s, name) && is_proven
    }

    /// The shards that may be assigned now. Every zone has one before its first machine.
    fn assignable_shards(&self, state: &ClusterState) -> Vec<ShardId> {
        let zones = &self.context.settings.site.zones;
        let zones = zones.iter().map(|zone| ShardId::from(zone.as_str()));
        let all: BTreeSet<ShardId> = zones.chain(state.shards.keys().cloned()).collect();
        let waiting = self.shards_that_wait(state, &all);
        let assignable = all.into_iter().filter(|shard| !waiting.contains(shard));
        assignable.collect()
    }

    /// Shards that keep their owner for the moment though it is gone or has failed.
    fn shards_that_wait(
        &self,
        state: &ClusterState,
        shards: &BTreeSet<ShardId>,
    ) -> BTreeSet<ShardId> {
        let detector = self.peers.detector();
        let now_s = self.context.uptime_s();
        let grace_s = self.context.timing.member_lease.as_secs_f64() / 2.0;
        let has_headroom = self.have_headroom(&detector, grace_s);
        let waits = |lease: &ShardLease| {
            let is_registered = state.is_owner_registered(lease);
            // One whose member lease has expired may still live and own its shards, by its
            // last read: if it says so to us it is given the time to come back.
            let lingers = || {
                detector.is_responsive_after_expiry(&lease.owner, lease.incarnation, now_s, grace_s)
            };
            // One that ended is mostly back before its lease expires.
            let returns =
                || !has_headroom && detector.failed_by_refusal(&lease.owner, lease.incarnation);
            if is_registered { returns() } else { lingers() }
        };
        let leased = shards.iter().filter(|shard| {
            state
                .shard_leases
                .get(*shard)
                .is_some_and(|l| waits(&l.value))
        });
        leased.cloned().collect()
    }

    /// Whether the controllers have headroom for the machines of one that ended. If not, the
    /// workers wait for it to be back: to move a thousand of them there and back took more
    /// than all had to give.
    fn have_headroom(&self, detector: &FailureDetector, max_age_s: f64) -> bool {
        let heartbeats = detector.last_heartbeats(self.context.uptime_s());
        let recent = heartbeats.filter(|last| last.age_s < max_age_s);
        let busy = recent.map(|last| last.heartbeat.busy_permille);
        let own = self.peers.busy_permille();
        let (mut count, mut sum) = (0, 0);
        for permille in busy.chain([own]) {
            count += 1;
            sum += u32::from(permille);
        }
        sum < count * 1000 / BUSY_PARTS
    }

    /// The controllers that a shard's machines reach in place of its owner.
    fn reachable_from<'a>(
        &self,
        state: &ClusterState,
        reachability: &'a ShardReachability,
        id: &ShardId,
    ) -> Vec<&'a str> {
        let counts = state.shard_counts(id);
        let Some(lease) = valid_lease(state, id) else {
            return Vec::new();
        };
        if self.moved_to_reachable_recently(id, counts.unreachable > 0) {
            return Vec::new();
        }
        let machines = counts.ready.saturating_sub(counts.unreachable);
        reachability.reachable_from(id, &lease.owner, machines)
    }

    /// A shard as it is now; `names` are those of the candidates.
    fn status<'a>(
        &self,
        state: &ClusterState,
        names: &[&str],
        id: &'a ShardId,
        reachable_from: &[&str],
    ) -> ShardStatus<'a> {
        let lease = valid_lease(state, id);
        let counts = state.shard_counts(id);
        let looks_cut_off =
            lease.is_some() && !self.moved_recently(id) && counts.mostly_unreachable();
        let position = |name: &str| names.binary_search(&name).ok();
        ShardStatus {
            zone: id.zone(),
            machines: state.shards.get(id).map_or(0, BTreeSet::len),
            owner: lease.and_then(|lease| position(&lease.owner)),
            has_unreachable: counts.unreachable > 0,
            owner_cut_off: !reachable_from.is_empty() || looks_cut_off,
            reachable_from: reachable_from
                .iter()
                .filter_map(|name| position(name))
                .collect(),
        }
    }

    /// How long after a move of a shard its machines' worker leases may still run.
    fn settling_time(&self) -> Duration {
        let timing = &self.context.timing;
        timing.worker_lease + timing.lease_validity + timing.unreachable_after
    }

    /// An owner that hears nothing of most of its machines is cut off from them. Only once
    /// while their leases last: if the next owner hears nothing either, the machines are cut
    /// off, and each new owner would have to wait anew for their leases to expire, which
    /// takes so long.
    fn moved_recently(&self, shard: &ShardId) -> bool {
        let history = &self.history;
        let moved = history.moved_for_need.get(shard).copied();
        let moved_to_reachable = history.moved_to_reachable.get(shard).copied();
        let span = self.settling_time();
        is_recent(moved, span) || is_recent(moved_to_reachable, span)
    }

    /// That machines turn up at another controller shows that they can be reached; but not
    /// if they turn up at all controllers in turn. Those hear nobody, and with a shard that
    /// went round their tasks were not known to be gone for as long as that lasted.
    fn moved_to_reachable_recently(&self, shard: &ShardId, has_unreachable: bool) -> bool {
        let moved = self.history.moved_to_reachable.get(shard).copied();
        let span = if has_unreachable {
            self.settling_time()
        } else {
            self.context.timing.member_lease
        };
        is_recent(moved, span)
    }

    /// Puts planned moves into a transaction, as many as it holds.
    fn moves(
        &mut self,
        state: &ClusterState,
        version: LeaderVersion,
        inputs: &Inputs,
        planned: &[ShardMove],
    ) -> Option<Moves> {
        let mut moves = Moves {
            transaction: version.transaction(),
            needed: Vec::new(),
            reachable_elsewhere: inputs.reachable_elsewhere.clone(),
        };
        for ShardMove { shard, to } in planned {
            if moves.transaction.writes.len() >= self.context.settings.site.store.txn_ops {
                break;
            }
            let to = inputs.candidates[*to].name;
            if let Some(member) = state.members.get(to) {
                self.note_move(state, &mut moves, inputs, *shard, to);
                let lease = ShardLease {
                    owner: to.into(),
                    incarnation: member.incarnation,
                };
                let key = keys::shard_lease(&inputs.ids[*shard]);
                moves.transaction = moves
                    .transaction
                    .expect_version(&key, state.key_version(&key))
                    .put(&key, &lease);
            }
        }
        (!moves.transaction.writes.is_empty()).then_some(moves)
    }

    /// Notes why a shard is assigned to a controller.
    fn note_move(
        &mut self,
        state: &ClusterState,
        moves: &mut Moves,
        inputs: &Inputs,
        shard: usize,
        to: &str,
    ) {
        let (id, status) = (&inputs.ids[shard], &inputs.statuses[shard]);
        let reason = MoveReason::of(status, &inputs.candidates);
        tracing::info!(
            shard = &**id,
            controller = to,
            machines = status.machines,
            reason = reason.as_str(),
            "shard assigned"
        );
        let previous = state.shard_leases.get(id);
        let is_reachable_elsewhere = inputs.reachable_elsewhere.contains(id);
        let is_needed = status.owner_cut_off && !is_reachable_elsewhere || status.owner.is_none();
        if is_needed && previous.is_some() {
            moves.needed.push(id.clone());
        }
        if status.owner.is_some() && !status.owner_cut_off {
            self.history.assigned_to.insert(to.into(), Instant::now());
        }
        if status.owner_cut_off
            && is_reachable_elsewhere
            && let Some(previous) = previous
        {
            self.peers.record_owner_cut_off(&previous.value);
            let owner = previous.value.owner.clone();
            self.history.owner_cut_off.insert(owner, Instant::now());
        }
    }
}

/// A shard's lease, if its owner is registered.
fn valid_lease<'a>(state: &'a ClusterState, shard: &ShardId) -> Option<&'a ShardLease> {
    let lease = &state.shard_leases.get(shard)?.value;
    state.is_owner_registered(lease).then_some(lease)
}

impl MoveHistory {
    /// Notes that moves were committed.
    fn record(&mut self, needed: Vec<ShardId>, reachable_elsewhere: Vec<ShardId>) {
        let now = Instant::now();
        if needed.is_empty() && reachable_elsewhere.is_empty() {
            self.rebalanced = Some(now);
        }
        let needed = needed.into_iter().map(|shard| (shard, now));
        self.moved_for_need.extend(needed);
        let reachable = reachable_elsewhere.into_iter().map(|shard| (shard, now));
        self.moved_to_reachable.extend(reachable);
    }
}

fn is_recent(at: Option<Instant>, span: Duration) -> bool {
    at.is_some_and(|at| at.elapsed() < span)
}
