//! Scale in: which machines to remove.

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

/// Machines that one round may empty at most.
const MAX_EMPTIED: usize = 64;

/// Machines used by more than this share are not worth emptying.
const WELL_USED: f64 = 0.7;

/// Services that started less than this ago are not moved: a start that is stopped so soon
/// does not count for the users. In milliseconds.
const MIN_SERVICE_UPTIME_MS: UnixMillis = 30_000;

/// The share of a boot time for which a machine stays idle: having it again costs a boot.
const IDLE_BOOT_SHARE: f64 = 0.5;

/// How long a machine of an unknown type stays idle, in seconds.
const DEFAULT_IDLE_S: f64 = 60.0;

/// The share of the shortest boot time for which nothing is emptied after that failed.
const PAUSE_BOOT_SHARE: f64 = 0.3;

/// The boot time that counts if all are longer, in seconds.
const MAX_SHORTEST_BOOT_S: f64 = 60.0;

/// Chooses machines to remove. A new leader starts without any history.
#[derive(Default)]
pub(crate) struct ScaleIn {
    idle_since: HashMap<MachineId, Instant>,
    /// When a machine with services was last emptied.
    service_moved: Option<Instant>,
    /// How many machines to try to remove; doubles while that succeeds.
    batch: usize,
    /// When that last failed.
    failed: Option<Instant>,
}

/// A machine that might be emptied.
struct Candidate {
    used_per_price: f64,
    machine: usize,
}

impl ScaleIn {
    /// Drains machines that nothing needs, and deletes drained ones.
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

    /// The next lifecycle of an idle machine, if it changes now.
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

    /// Machines to remove, if what is pending and what is expected finds its places without
    /// them: the most expensive for what is on them first. They are cordoned in the round. Batch
    /// tasks end where they are; services move, one machine's at a time, to where their
    /// images are already.
    pub(crate) fn empty_machines(
        &mut self,
        state: &ClusterState,
        round: &mut SchedulingRound,
        types: &MachineTypes,
        now_ms: UnixMillis,
    ) -> Vec<MachineId> {
        let pause = pause(types);
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < pause);
        if is_recent(self.failed) {
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
            if has_services && is_recent(self.service_moved) {
                continue;
            }
            if move_services(round, &services) {
                round.machines.set_cordoned(index, true);
                if has_services {
                    self.service_moved = Some(Instant::now());
                }
                emptied.push(name.into());
            }
        }
        emptied
    }

    /// Records whether the jobs found their places without the emptied machines.
    pub(crate) fn record_trial(&mut self, succeeded: bool) {
        if succeeded {
            self.batch = (self.batch * 2).min(MAX_EMPTIED);
        } else {
            self.batch = (self.batch / 2).max(1);
            self.failed = Some(Instant::now());
        }
    }
}

fn max_idle_s(state: &ClusterState, machine: &MachineState) -> f64 {
    let types = state.machine_types.as_deref();
    types
        .and_then(|types| types.get(&machine.record.machine_type))
        .map_or(DEFAULT_IDLE_S, |t| IDLE_BOOT_SHARE * t.boot_s)
}

fn pause(types: &MachineTypes) -> Duration {
    let boot_times = types.types.iter().map(|t| t.boot_s);
    let shortest_s = boot_times.fold(MAX_SHORTEST_BOOT_S, f64::min);
    Duration::from_secs_f64(PAUSE_BOOT_SHARE * shortest_s)
}

/// Machines that might be emptied, the most expensive for what is on them first.
fn candidates(state: &ClusterState, round: &SchedulingRound) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (index, machine) in round.machines.iter().enumerate() {
        let Some(known) = state.machines.get(&*machine.name) else {
            continue;
        };
        // What is planned for it beside its tasks must not be lost.
        let has_only_its_tasks = machine.tasks == known.tasks.len();
        let is_candidate = machine.up && machine.tasks > 0 && has_only_its_tasks;
        let free = machine.free_at(round.planned_time_s);
        let used = 1.0 - free.least_share_of(&machine.capacity);
        if is_candidate && used < WELL_USED {
            candidates.push(Candidate {
                used_per_price: used / machine.price,
                machine: index,
            });
        }
    }
    candidates.sort_by(|a, b| a.used_per_price.total_cmp(&b.used_per_price));
    candidates
}

/// Plans services on other machines that are in use and have their images; false, and
/// nothing is planned, if not all find such a place.
fn move_services(round: &mut SchedulingRound, services: &[PendingJob]) -> bool {
    let mut before: Vec<MachineSnapshot> = Vec::new();
    for job in services {
        let Some(choice) = round.best_machine(job, true) else {
            round.restore_snapshots(before);
            return false;
        };
        let is_warm = choice.finish.running_s <= round.planned_time_s + job.overhead_s + 0.1;
        let machine = &round.machines[choice.machine];
        let is_in_use = machine.tasks > 0;
        before.push(round.snapshot(choice.machine));
        round.machines.place(choice.machine, job, &choice.finish);
        if !(is_in_use && is_warm) {
            round.restore_snapshots(before);
            return false;
        }
    }
    true
}

/// A machine's services as pending jobs; `None` if the machine should stay as it is:
/// gangs keep what they have, and what has just started is not disturbed.
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
        let is_open = job.phase == JobPhase::Active && record.stop_reason.is_none();
        if !is_open || job.spec.shape == Shape::Gang || (is_service && !is_established) {
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
