//! Scale in: chooses the machines to remove, which are idle or run tasks that fit on fewer
//! machines.

use crate::scheduler_inputs;
use rushwalk_protocol::ids::MachineId;
use rushwalk_protocol::jobs::Shape;
use rushwalk_scheduler::round::{MachineSnapshot, PendingJob, SchedulingRound};
use rushwalk_state::mutation::{SetLifecycle, in_batches};
use rushwalk_state::records::{JobPhase, MachineLifecycle, MachineTypes};
use rushwalk_state::{AssignedTask, ClusterState, MachineState, Mutation, UnixMillis};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of machines that one round may empty: the machines get no new tasks, and their
/// services are moved to other machines.
const MAX_EMPTIED: usize = 64;

/// Machines whose most used resource is in use to this share or more are not worth emptying.
const MAX_USED_SHARE: f64 = 0.7;

/// Services that started less than this many milliseconds ago are not moved: a start that is
/// followed by a stop so soon does not count as a start for the users.
const MIN_SERVICE_UPTIME_MS: UnixMillis = 30_000;

/// How long a machine may be idle before it is drained, as a share of its nominal boot time:
/// renting it again would cost a boot.
const IDLE_BOOT_SHARE: f64 = 0.5;

/// How long a machine of unknown type may be idle before it is drained, in seconds.
const DEFAULT_IDLE_S: f64 = 60.0;

/// The pause after a failed trial of emptying machines, and between two moves of services, as a
/// share of the shortest nominal boot time of any type.
const PAUSE_BOOT_SHARE: f64 = 0.3;

/// Upper limit of the shortest nominal boot time to which [`PAUSE_BOOT_SHARE`] applies, in seconds.
const MAX_SHORTEST_BOOT_S: f64 = 60.0;

/// Chooses machines to remove. Its history is kept in memory only, so a new leader starts without
/// any.
#[derive(Default)]
pub(crate) struct ScaleIn {
    /// When each machine that is idle now was first seen idle.
    idle_since: HashMap<MachineId, Instant>,
    /// When a machine with services was last emptied; `None` if none was.
    last_service_move: Option<Instant>,
    /// How many machines the next trial may empty: doubled after a successful trial, halved
    /// after a failed one, and at least 1.
    batch: usize,
    /// When a trial last failed because the jobs did not fit on the other machines; `None` if
    /// none has.
    last_failure: Option<Instant>,
}

/// A machine that might be emptied.
struct Candidate {
    /// The used share of the machine divided by its price: a low value means that the machine is
    /// expensive for what it runs.
    used_per_price: f64,
    /// Index of the machine in the round.
    machine: usize,
}

impl ScaleIn {
    /// Drains machines that have been idle for long enough and on which the round has planned
    /// nothing, and marks drained machines without tasks for deletion.
    pub(crate) fn remove_idle(
        &mut self,
        state: &ClusterState,
        round: &SchedulingRound,
    ) -> Vec<Mutation> {
        let in_use = round.machines.iter().filter(|machine| machine.tasks > 0);
        let needed: BTreeSet<&str> = in_use.map(|machine| &*machine.name).collect();
        self.idle_since
            .retain(|id, _| state.machines.contains_key(id) && !needed.contains(&**id));
        let mut by_lifecycle: BTreeMap<MachineLifecycle, Vec<MachineId>> = BTreeMap::new();
        for (id, machine) in &state.machines {
            if needed.contains(&**id) || !machine.tasks.is_empty() {
                continue;
            }
            if let Some(next) = self.next_lifecycle(state, id, machine) {
                by_lifecycle.entry(next).or_default().push(id.clone());
            }
        }
        let mut mutations = Vec::new();
        for (lifecycle, machines) in by_lifecycle {
            tracing::info!(?lifecycle, ?machines, "scale in: idle machines");
            mutations.extend(in_batches(&machines, |machines| {
                Mutation::SetLifecycle(SetLifecycle {
                    lifecycle,
                    machines,
                })
            }));
        }
        mutations
    }

    /// The lifecycle that an idle machine enters now; `None` if its lifecycle does not change.
    fn next_lifecycle(
        &mut self,
        state: &ClusterState,
        id: &MachineId,
        machine: &MachineState,
    ) -> Option<MachineLifecycle> {
        let record = &machine.record;
        match record.lifecycle {
            MachineLifecycle::Draining => Some(MachineLifecycle::Deleting),
            MachineLifecycle::Active if record.unreachable_since_ms.is_none() => {
                let now = Instant::now();
                let since = *self.idle_since.entry(id.clone()).or_insert(now);
                let idle_s = since.elapsed().as_secs_f64();
                (idle_s >= max_idle_s(state, machine)).then_some(MachineLifecycle::Draining)
            }
            _ => None,
        }
    }

    /// Selects machines that may be drained, in ascending order of used share per price, and
    /// cordons them in the round. The caller plans the expected jobs without them, drains them if
    /// this trial succeeds, and reports the result to [`ScaleIn::record_trial`].
    ///
    /// Batch tasks stay on a drained machine until they end. Services are planned on other
    /// machines that already have their images, and only one machine with services is emptied at
    /// a time.
    pub(crate) fn empty_machines(
        &mut self,
        state: &ClusterState,
        round: &mut SchedulingRound,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<MachineId> {
        let pause = pause_after_trial(types);
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < pause);
        if is_recent(self.last_failure) {
            return Vec::new();
        }
        self.batch = self.batch.max(1);
        let mut emptied = Vec::new();
        for candidate in candidates(state, round).into_iter().take(2 * MAX_EMPTIED) {
            if emptied.len() >= self.batch {
                break;
            }
            let index = candidate.machine;
            let name = round.machines[index].name.clone();
            let Some(machine) = state.machines.get(&*name) else {
                continue;
            };
            let Some(services) = services_to_move(state, machine, types, now_ms) else {
                continue;
            };
            let has_services = !services.is_empty();
            if has_services && is_recent(self.last_service_move) {
                continue;
            }
            if move_services(round, &services) {
                round.machines.set_cordoned(index, true);
                if has_services {
                    self.last_service_move = Some(Instant::now());
                }
                emptied.push(name.into());
            }
        }
        emptied
    }

    /// Records whether the trial without the emptied machines succeeded, and adapts the size of
    /// the next trial.
    pub(crate) fn record_trial(&mut self, succeeded: bool) {
        if succeeded {
            self.batch = (self.batch * 2).min(MAX_EMPTIED);
        } else {
            self.batch = (self.batch / 2).max(1);
            self.last_failure = Some(Instant::now());
        }
    }
}

fn max_idle_s(state: &ClusterState, machine: &MachineState) -> f64 {
    let types = state.machine_types.as_deref();
    types
        .and_then(|types| types.get(&machine.record.machine_type))
        .map_or(DEFAULT_IDLE_S, |t| IDLE_BOOT_SHARE * t.boot_s)
}

/// The minimum time from a failed trial to the next one, and between two moves of services.
fn pause_after_trial(types: &MachineTypes) -> Duration {
    let boot_times = types.types.iter().map(|t| t.boot_s);
    let shortest_s = boot_times.fold(MAX_SHORTEST_BOOT_S, f64::min);
    Duration::from_secs_f64(PAUSE_BOOT_SHARE * shortest_s)
}

/// Machines that might be emptied, in ascending order of used share per price: those that are the
/// most expensive for what they run come first.
fn candidates(state: &ClusterState, round: &SchedulingRound) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (index, machine) in round.machines.iter().enumerate() {
        let Some(known) = state.machines.get(&*machine.name) else {
            continue;
        };
        // Tasks that this round has planned on a machine would be lost if it were emptied.
        let has_no_planned_tasks = machine.tasks == known.tasks.len();
        let is_candidate = machine.up && machine.tasks > 0 && has_no_planned_tasks;
        let free = machine.free_at(round.planned_time_s);
        let used = 1.0 - free.least_share_of(&machine.capacity);
        if is_candidate && used < MAX_USED_SHARE {
            candidates.push(Candidate {
                used_per_price: used / machine.price,
                machine: index,
            });
        }
    }
    candidates.sort_by(|a, b| a.used_per_price.total_cmp(&b.used_per_price));
    candidates
}

/// Plans services on other machines that are in use and have their images. If not all services
/// find such a machine, plans none of them and returns false.
fn move_services(round: &mut SchedulingRound, services: &[PendingJob]) -> bool {
    let mut before: Vec<MachineSnapshot> = Vec::new();
    for job in services {
        let Some(choice) = round.best_machine(job, true) else {
            round.restore_snapshots(before);
            return false;
        };
        let has_image = choice.finish.running_s <= round.planned_time_s + job.overhead_s + 0.1;
        let machine = &round.machines[choice.machine];
        let is_in_use = machine.tasks > 0;
        before.push(round.snapshot(choice.machine));
        round.machines.place(choice.machine, job, &choice.finish);
        if !(is_in_use && has_image) {
            round.restore_snapshots(before);
            return false;
        }
    }
    true
}

/// A machine's services, as pending jobs. `None` if the machine must not be emptied, because one
/// of its tasks belongs to a gang, is a service that has not run for long enough, is to stop, or
/// belongs to a job that is not active. Tasks of gangs are not moved.
fn services_to_move(
    state: &ClusterState,
    machine: &MachineState,
    types: &MachineTypes,
    now_ms: UnixMillis,
) -> Option<Vec<PendingJob>> {
    let mut services = Vec::new();
    for id in &machine.tasks {
        let AssignedTask { job, task } = state.task(id)?;
        let record = &task.record;
        let is_service = job.spec.shape == Shape::Service;
        let started_ms = record.started_ms;
        let is_established = started_ms.is_some_and(|at| now_ms > at + MIN_SERVICE_UPTIME_MS);
        let is_active = job.phase == JobPhase::Active && record.stop_reason.is_none();
        if !is_active || job.spec.shape == Shape::Gang || (is_service && !is_established) {
            return None;
        }
        if !is_service {
            continue;
        }
        let mut pending = scheduler_inputs::pending_job(state, &job.spec, types);
        for (index, other) in &job.tasks {
            if *index != id.index {
                pending.tasks_per_zone.add(other.record.shard.zone());
            }
        }
        pending.avoided_machines = vec![record.machine.clone()?.into()];
        services.push(pending);
    }
    Some(services)
}
