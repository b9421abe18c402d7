//! The scheduling loop of the leader.

use super::assignment::{AssignmentContext, assign, reserve_assigned};
use super::expected_demand::{ExpectedJob, expected_jobs};
use super::maintenance::maintenance;
use super::parts::SchedulerParts;
use super::queue::pending_jobs;
use super::stragglers::Stragglers;
use super::time_slices::TimeSlicedPlanner;
use super::usage::log_usage;
use crate::capacity::boot_supervision::BootSupervisor;
use crate::capacity::machines::RoundBuilder;
use crate::capacity::scale_in::ScaleIn;
use crate::capacity::scale_out::{PlannedDemand, RentalBasis, ScaleOut};
use crate::capacity::scarcity::PriceBias;
use crate::clock::now_ms;
use crate::context::Context;
use crate::leadership::LeaderVersion;
use crate::observability::work_profile::WorkKind;
use crate::scheduler_inputs::{self, seconds};
use crate::store::WritePriority;
use rushwalk_protocol::ids::MachineId;
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use rushwalk_state::mutation::SetLifecycle;
use rushwalk_state::records::{MachineLifecycle, MachineTypes};
use rushwalk_state::{ClusterState, Mutation, UnixMillis};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A trial plans the expected jobs without some machines, to find out whether these are needed.
/// It fails if, compared with all machines, the number of expected tasks that have to wait grows by
/// more than the number of expected tasks divided by this.
const WAITING_TOLERANCE_DIVISOR: usize = 50;

/// Makes scheduling rounds while this process leads.
pub(crate) struct Scheduler {
    parts: SchedulerParts,
    boot_supervisor: BootSupervisor,
    scale_out: ScaleOut,
    scale_in: ScaleIn,
    stragglers: Stragglers,
    planner: TimeSlicedPlanner,
    /// When the expected jobs were last planned; `None` before the first time.
    expected_planned_at: Option<Instant>,
    /// The number of expected tasks that had to wait when the expected jobs were last planned
    /// on all machines.
    waiting_on_full_fleet: usize,
}

/// The inputs of a scheduling round.
struct RoundStart<'a> {
    round: SchedulingRound<'a>,
    pending: Vec<PendingJob>,
    types: Arc<MachineTypes>,
}

impl Scheduler {
    /// A scheduler that has made no round.
    pub(crate) fn new(parts: SchedulerParts) -> Scheduler {
        let planner = TimeSlicedPlanner {
            round: parts.context.timing.round,
            runtime_lag: parts.runtime_lag.clone(),
            work_profile: parts.work_profile.clone(),
        };
        Scheduler {
            parts,
            planner,
            boot_supervisor: BootSupervisor::default(),
            scale_out: ScaleOut::default(),
            scale_in: ScaleIn::default(),
            stragglers: Stragglers::default(),
            expected_planned_at: None,
            waiting_on_full_fleet: 0,
        }
    }

    /// Makes scheduling rounds, while this process leads, until the process ends.
    pub(crate) async fn run(mut self) {
        let context = self.parts.context.clone();
        let leadership = self.parts.leadership.clone();
        loop {
            let started = Instant::now();
            if let Some(version) = leadership.version_for_new_decisions() {
                self.make_round(&context, version).await;
                leadership.record_round();
            }
            // A round starts one round interval after the previous one. After a long round the
            // pause is as long as the round took, so that other tasks of this thread get at
            // least half of the time.
            let took = started.elapsed();
            let pause = context.timing.round.saturating_sub(took).max(took);
            // A new leader starts a round without waiting for the end of the pause.
            leadership.wait_acquired(pause).await;
        }
    }

    /// Commits the maintenance of jobs and machines, then plans and commits the assignments. Ends
    /// early if a commit fails or this process no longer leads.
    async fn make_round(&mut self, context: &Context, version: LeaderVersion) {
        let leadership = self.parts.leadership.clone();
        let mutations = self.maintain(context);
        let priority = WritePriority::Scheduling;
        if !leadership.append(version, &mutations, priority).await {
            return;
        }
        if leadership.current_version() != Some(version) {
            return;
        }
        let mutations = self.schedule(context, version).await;
        leadership.append(version, &mutations, priority).await;
    }

    /// The mutations that maintain running jobs and existing machines.
    fn maintain(&mut self, context: &Context) -> Vec<Mutation> {
        let work_profile = self.parts.work_profile.clone();
        let _timer = work_profile.start(WorkKind::Schedule);
        let replica = self.parts.replica.clone();
        let state = replica.state();
        let now_ms = now_ms();
        let abandoned = match state.machine_types.clone() {
            Some(types) => self.abandon_late_machines(context, &state, &types, now_ms),
            None => BTreeSet::new(),
        };
        maintenance(context, &state, &abandoned, now_ms)
    }

    /// Abandons machines that boot for so long that they should be replaced, and returns them.
    fn abandon_late_machines(
        &mut self,
        context: &Context,
        state: &ClusterState,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> BTreeSet<MachineId> {
        let timing = &context.timing;
        let zones = scheduler_inputs::zones(types, &context.settings.site);
        let heartbeat_s = timing.heartbeat.as_secs_f64();
        self.boot_supervisor
            .update(state, types, &zones, now_ms, heartbeat_s);
        // The state of a new leader may lack what the owners of shards are about to commit, for
        // instance that a machine is ready.
        let since_acquired = self.parts.leadership.since_last_acquired();
        if since_acquired.is_none_or(|elapsed| elapsed <= timing.unreachable_after) {
            return BTreeSet::new();
        }
        let jobs_wait = !self.parts.pending_reasons.by_job().is_empty();
        self.boot_supervisor
            .abandon_late(state, types, &zones, jobs_wait)
    }

    /// Plans the pending jobs, then adapts the number of machines. Returns the mutations that are
    /// not committed yet.
    async fn schedule(&mut self, context: &Context, version: LeaderVersion) -> Vec<Mutation> {
        let now_ms = now_ms();
        let Some(start) = self.begin_round(context, now_ms) else {
            return Vec::new();
        };
        let RoundStart {
            mut round,
            pending,
            types,
        } = start;
        let decisions = self.planner.plan_pending(&mut round, &pending).await;
        let mut mutations = self.assign_and_restart(&mut round, decisions, &types, now_ms);
        log_usage(&round, &types);
        let basis = RentalBasis {
            leader: version,
            began_ms: now_ms,
            machines_for_pending: round.machines.len(),
        };
        if !self.record_expected_plan_if_due(context) {
            mutations.extend(self.rent(context, &round, &types, basis, PlannedDemand::Pending));
            return mutations;
        }
        // Begins a trial of whether fewer machines are enough for the pending and the expected
        // jobs. A machine with a task planned in this round must not be emptied. Such a machine
        // is recognized by having more tasks in the round than in the state, so this must come
        // before the commit of the assignments.
        let emptied = self.try_to_empty_machines(&mut round, &types, now_ms);
        // The assignments are committed before the expected jobs are planned, since that
        // planning took seconds on the largest fleets.
        let appended = self
            .parts
            .leadership
            .append(version, &mutations, WritePriority::Scheduling);
        if !appended.await {
            return Vec::new();
        }
        let emptied = self
            .plan_expected(context, &mut round, &types, emptied, now_ms)
            .await;
        self.scale(context, &round, &types, basis, emptied)
    }

    /// Builds the round and the list of pending jobs from the state. `None` until the machine types
    /// are known.
    fn begin_round<'a>(
        &mut self,
        context: &'a Context,
        now_ms: UnixMillis,
    ) -> Option<RoundStart<'a>> {
        let _timer = self.parts.work_profile.start(WorkKind::Schedule);
        let mut state = self.parts.replica.state();
        let types = state.machine_types.clone()?;
        let mut rentals = self.parts.tracker.state();
        let builder = RoundBuilder {
            context,
            state: &state,
            types: &types,
            zones: scheduler_inputs::zones(&types, &context.settings.site),
            boot_supervisor: &self.boot_supervisor,
            now_s: seconds(now_ms),
        };
        let mut round = builder.build(&mut rentals);
        reserve_assigned(&state, &types, &mut round);
        let mut pending = pending_jobs(context, &mut state, &types, now_ms);
        let bias = PriceBias::new(&state, &rentals.capacity, &types);
        pending.iter_mut().for_each(|job| bias.apply(job));
        Some(RoundStart {
            round,
            pending,
            types,
        })
    }

    /// The mutations that assign the planned tasks and stop stragglers. Also stores why jobs are
    /// pending.
    fn assign_and_restart(
        &mut self,
        round: &mut SchedulingRound,
        decisions: SchedulingDecisions,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<Mutation> {
        let _timer = self.parts.work_profile.start(WorkKind::Schedule);
        let state = self.parts.replica.state();
        let peers = &self.parts.peers;
        let assignment_context = AssignmentContext {
            assigned_ms: now_ms,
            max_bytes: self.parts.leadership.max_mutation_bytes(),
        };
        let mut mutations = assign(&state, round, &decisions, &assignment_context, |shard| {
            peers.accepts_more_work(&state, shard)
        });
        *self.parts.pending_reasons.by_job() = decisions.pending_reasons;
        mutations.extend(self.stragglers.stop(&state, round, types, now_ms));
        mutations
    }

    /// Sets the time at which the expected jobs were last planned, if they are to be planned in
    /// this round, and returns whether they are: if more than two and a half round intervals have
    /// passed since that time, normally in every third round. There are many of them, and most
    /// plans do not change from round to round.
    fn record_expected_plan_if_due(&mut self, context: &Context) -> bool {
        let pause = context.timing.round * 5 / 2;
        let is_due = self
            .expected_planned_at
            .is_none_or(|at| at.elapsed() > pause);
        if is_due {
            self.expected_planned_at = Some(Instant::now());
        }
        is_due
    }

    /// The mutations that request rentals for the machines that the round lacks.
    fn rent(
        &mut self,
        context: &Context,
        round: &SchedulingRound,
        types: &MachineTypes,
        basis: RentalBasis,
        demand: PlannedDemand,
    ) -> Vec<Mutation> {
        let took = Duration::from_millis(now_ms().saturating_sub(basis.began_ms));
        self.scale_out
            .update_shortfall(round, types, basis.machines_for_pending, demand);
        let calls_per_s = self.parts.cloud.rate();
        self.scale_out
            .rent(context, &self.parts.tracker, calls_per_s, took, basis)
    }

    /// Cordons machines that may not be needed, so that the round plans no tasks on them, and
    /// returns them. Returns no machines if the round has planned rentals.
    fn try_to_empty_machines(
        &mut self,
        round: &mut SchedulingRound,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<MachineId> {
        let _timer = self.parts.work_profile.start(WorkKind::ScaleOut);
        if round.machines.len() > round.first_planned_rental {
            return Vec::new();
        }
        let state = self.parts.replica.state();
        self.scale_in.empty_machines(&state, round, types, now_ms)
    }

    /// Plans the expected jobs without the emptied machines and then, if that trial fails, with all
    /// machines. Returns the machines to drain: the emptied ones if the trial succeeds.
    async fn plan_expected(
        &mut self,
        context: &Context,
        round: &mut SchedulingRound<'_>,
        types: &MachineTypes,
        emptied: Vec<MachineId>,
        now_ms: UnixMillis,
    ) -> Vec<MachineId> {
        let expected = self.expected_jobs(context, types, now_ms);
        let before = (!emptied.is_empty()).then(|| round.machines.clone());
        let waiting = self.planner.plan_expected(round, &expected).await;
        let Some(before) = before else {
            self.waiting_on_full_fleet = waiting;
            return emptied;
        };
        // The trial succeeds if nothing had to be rented, and at most a few more tasks have to
        // wait than with all machines.
        let tasks: usize = expected.iter().map(|e| e.job.tasks.len()).sum();
        let max_waiting = self.waiting_on_full_fleet + tasks / WAITING_TOLERANCE_DIVISOR;
        let is_enough =
            round.machines.len() == round.first_planned_rental && waiting <= max_waiting;
        self.scale_in.record_trial(is_enough);
        if is_enough {
            return emptied;
        }
        // The emptied machines are needed: the expected jobs are planned again with all machines.
        round.restore(before);
        for index in 0..round.machines.len() {
            round.machines.set_cordoned(index, false);
        }
        self.waiting_on_full_fleet = self.planner.plan_expected(round, &expected).await;
        Vec::new()
    }

    /// The expected jobs, with the price bias applied.
    fn expected_jobs(
        &self,
        context: &Context,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<ExpectedJob> {
        let _timer = self.parts.work_profile.start(WorkKind::ScaleOut);
        let state = self.parts.replica.state();
        let bias = PriceBias::new(&state, &self.parts.tracker.state().capacity, types);
        let mut expected = expected_jobs(context, &state, types, now_ms);
        for expected in &mut expected {
            bias.apply(&mut expected.job);
        }
        expected
    }

    /// The mutations that change the number of machines.
    fn scale(
        &mut self,
        context: &Context,
        round: &SchedulingRound,
        types: &MachineTypes,
        basis: RentalBasis,
        emptied: Vec<MachineId>,
    ) -> Vec<Mutation> {
        let work_profile = self.parts.work_profile.clone();
        let _timer = work_profile.start(WorkKind::ScaleOut);
        let rentals = self.rent(
            context,
            round,
            types,
            basis,
            PlannedDemand::PendingAndExpected,
        );
        let mut mutations = {
            let state = self.parts.replica.state();
            self.scale_in.remove_idle(&state, round)
        };
        if !emptied.is_empty() {
            tracing::info!(machines = ?emptied, "scale in: draining machines that are not needed");
            mutations.push(Mutation::SetLifecycle(SetLifecycle {
                lifecycle: MachineLifecycle::Draining,
                machines: emptied,
            }));
        }
        mutations.extend(rentals);
        mutations
    }
}
