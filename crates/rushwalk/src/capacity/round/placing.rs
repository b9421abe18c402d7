//! What waits, in its order, and what becomes of it.

use super::PLANNED_EACH;
use crate::capacity::timelines;
use crate::controller::Controller;
use crate::leadership::leader::{LISTED, LeaderState, zone_of};
use crate::view::{ClusterState, Name};
use rushwalk_protocol::jobs::{Priority, Shape};
use rushwalk_protocol::records::{JobPhase, MachineTypes, Mutation, StopReason};
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::deadlines::{TaskDurations, latest_useful_start};
use rushwalk_scheduler::quota::QuotaUsage;
use rushwalk_scheduler::retry::{FailureSummary, RetryDecision, retry_decision};
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use std::collections::BTreeMap;

/// Counts live tasks into the usage, and plans room for those that their
/// holder has not placed yet.
pub fn assigned(view: &ClusterState, types: &MachineTypes, round: &mut SchedulingRound) {
    for uid in &view.with_tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let amount = Resources::of_task(&job.spec);
        for _ in &job.tasks {
            round.usage.add(&job.spec.team, amount);
        }
    }
    let mut last: Option<(&Name, PendingJob)> = None;
    for (uid, index) in &view.unplaced {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let Some(hint) = job
            .tasks
            .get(index)
            .and_then(|t| t.record.placement_hint.as_ref())
        else {
            continue;
        };
        let waiting = match &last {
            Some((name, waiting)) if *name == uid => waiting,
            _ => {
                let waiting = timelines::waiting(view, &job.spec, types);
                &last.insert((uid, waiting)).1
            }
        };
        // Machines come in the order of their names.
        let at = round
            .machines
            .partition_point(|s| !s.name.is_empty() && s.name < *hint);
        if let Some(slot) = round.machines.get(at).filter(|s| s.name == *hint)
            && let Some(finish) = slot.predict(waiting, round.planned_time_s)
        {
            round.machines.place(at, waiting, &finish);
        }
    }
}

/// Jobs with tasks that have no place, in order.
pub fn waiting(
    view: &mut ClusterState,
    now: u64,
    node: &Controller,
    types: &MachineTypes,
) -> Vec<PendingJob> {
    let site = &node.settings.site;
    // Of all unfinished jobs in order of arrival, per team: a job is within
    // its guarantee if it fits into it together with the earlier ones.
    let mut unfinished = QuotaUsage::default();
    let mut by_arrival: Vec<(u64, &Name)> = view.active.iter().map(|a| (a.1, &a.2)).collect();
    by_arrival.sort_unstable();
    let mut order: Vec<(Priority, f64, u64, Name)> = Vec::new();
    for (_, uid) in by_arrival {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.spec;
        let amount = Resources::of_task(spec);
        let n = f64::from(spec.tasks);
        let all = Resources {
            cpus: amount.cpus * n,
            gpus: amount.gpus * n,
            memory_gb: 0.0,
        };
        let team = site.teams.iter().find(|t| t.name == spec.team);
        let guaranteed = team.is_some_and(|t| unfinished.is_within_guarantee(t, all));
        unfinished.add(&spec.team, all);
        if job.tasks.len() as u32 + job.completed.count() >= spec.tasks {
            continue;
        }
        // As if on a machine without its image: the type is not known yet.
        let kind = types.types.first();
        let needs = TaskDurations {
            fetch_s: kind.map_or(0.0, |k| {
                view.durations
                    .fetch_time(spec.image_gb, &k.name, k.fetch_gb_per_s)
            }),
            run_s: kind.map_or(0.0, |k| view.durations.run_time(spec, &k.name)),
            guaranteed,
        };
        let at = job.accepted_ms as f64 / 1000.0;
        let by = latest_useful_start(spec, at, now as f64 / 1000.0, needs, &site.objectives);
        order.push((spec.priority, by, job.accepted_ms, uid.clone()));
    }
    order.sort_by(|a, b| {
        (a.0.cmp(&b.0))
            .then(a.1.total_cmp(&b.1))
            .then(a.2.cmp(&b.2))
    });
    let mut out: Vec<PendingJob> = Vec::new();
    let each = PLANNED_EACH.max(view.machines.len());
    for (_, _, _, uid) in order {
        let Some(job) = view.jobs.get(&uid) else {
            continue;
        };
        let spec = job.spec.clone();
        if spec.shape == Shape::Gang && !job.tasks.is_empty() {
            continue;
        }
        let trouble = &job.failures;
        let failures = FailureSummary {
            machines: trouble.machines.len(),
            succeeded_somewhere: job.completed.count() > 0
                || job.tasks.values().any(|t| t.record.started_ms.is_some()),
            since_s: now.saturating_sub(trouble.last_ms) as f64 / 1000.0,
        };
        let retry = retry_decision(failures, node.timing.round.as_secs_f64());
        if retry == RetryDecision::BackOff {
            continue;
        }
        let most = match (spec.shape, retry) {
            (Shape::Gang, _) => spec.tasks as usize,
            (_, RetryDecision::SingleProbe) => 1,
            _ => each,
        };
        let mut waiting = timelines::waiting(view, &spec, types);
        for t in job.tasks.values() {
            let machine = t.record.machine.as_ref().and_then(|m| view.machines.get(m));
            let zone = machine.map(|m| &*m.record.zone);
            waiting
                .tasks_per_zone
                .add(zone.unwrap_or_else(|| zone_of(&t.record.shard)));
        }
        // After failing in many places it may as well be tried anywhere.
        if trouble.machines.len() <= 3 {
            waiting.avoided_machines = trouble.machines.clone();
        }
        waiting.single_probe = retry == RetryDecision::SingleProbe;
        let again = waiting.single_probe && job.tasks.is_empty();
        let machines = trouble.machines.len();
        waiting.tasks = view.unassigned_tasks(&uid, most);
        if waiting.tasks.is_empty() {
            continue;
        }
        if again {
            tracing::debug!(
                job = &*uid,
                machines,
                "fails wherever it runs, tried once more"
            );
        }
        out.push(waiting);
    }
    out
}

/// Gives tasks that can start now to the blocks of their machines.
/// Not to a block that takes no more work, whose holder is gone or suspect: the place is
/// kept for the time of this round, since renting another would be more than that costs.
pub fn assign(
    view: &ClusterState,
    round: &SchedulingRound,
    decisions: &SchedulingDecisions,
    now: u64,
    takes_more: impl Fn(&str) -> bool,
) -> Vec<Mutation> {
    let mut ops = Vec::new();
    let mut blocks: BTreeMap<&str, bool> = BTreeMap::new();
    for placed in decisions.placements.chunk_by(|a, b| a.job == b.job) {
        let Some((uid, job)) = view.jobs.get_key_value(&*placed[0].job) else {
            continue;
        };
        let mut to: BTreeMap<Name, Vec<(u32, Name)>> = BTreeMap::new();
        for one in placed {
            let slot = &round.machines[one.machine];
            let open = blocks.entry(&slot.shard);
            if !*open.or_insert_with(|| takes_more(&slot.shard)) {
                continue;
            }
            let task = (one.task, slot.name.clone());
            to.entry(slot.shard.clone()).or_default().push(task);
        }
        let whole = to.values().map(Vec::len).sum::<usize>() == placed.len();
        if to.is_empty() || (job.spec.shape == Shape::Gang && !whole) {
            continue;
        }
        if job.spec.shape == Shape::Gang {
            tracing::info!(job = &**uid, tasks = placed.len(), "gang assigned");
        }
        ops.extend(assignments(uid, job.spec.shape, now, to));
    }
    ops
}

/// So many tasks with their machines fit the smallest value; a larger gang, which is
/// assigned whole, goes without them, and its holders search.
const WHOLE: usize = 8 * LISTED;

/// The changes that give a job's tasks to blocks. An array's are split: with 900 places
/// free at a time its one change fitted no value, so none of it started, round after
/// round, for as long as there was room for so many.
fn assignments(
    uid: &Name,
    shape: Shape,
    now: u64,
    to: BTreeMap<Name, Vec<(u32, Name)>>,
) -> Vec<Mutation> {
    let assign = |to| Mutation::Assign(uid.clone(), now, to);
    if shape == Shape::Gang {
        let whole = to.values().map(Vec::len).sum::<usize>() <= WHOLE;
        let to = to.into_iter().map(|(block, mut tasks)| {
            if !whole {
                let none: Name = "".into();
                tasks.iter_mut().for_each(|task| task.1 = none.clone());
            }
            (block, tasks)
        });
        return vec![assign(to.collect())];
    }
    let some = |(block, tasks): (Name, Vec<(u32, Name)>)| {
        let parts: Vec<Mutation> = tasks
            .chunks(LISTED)
            .map(|part| assign(vec![(block.clone(), part.to_vec())]))
            .collect();
        parts
    };
    to.into_iter().flat_map(some).collect()
}

/// A task that runs this many times its predicted time is overdue (§4.4).
const OVERDUE: f64 = 2.0;

/// Stops overdue batch tasks that would be finished sooner elsewhere, each at
/// most once. Not while its job's run time is unknown: a wrong guess is not a
/// slow machine. Each restart takes a place of its own in the plan, so that the
/// tasks of one machine, whose times run out together, don't pile up.
pub fn overdue(
    view: &ClusterState,
    memory: &mut LeaderState,
    round: &mut SchedulingRound,
    types: &MachineTypes,
    now: u64,
) -> Vec<Mutation> {
    let mut ops = Vec::new();
    let seconds = now as f64 / 1000.0;
    memory.restarted_stragglers.retain(|(uid, _)| {
        view.jobs
            .get(uid)
            .is_some_and(|j| j.phase == JobPhase::Active)
    });
    for uid in &view.with_tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let spec = &job.spec;
        if job.phase != JobPhase::Active || spec.shape != Shape::Array {
            continue;
        }
        for (index, t) in &job.tasks {
            let (Some(ran), Some(machine), None) =
                (t.record.started_ms, &t.record.machine, t.record.stop_reason)
            else {
                continue;
            };
            let elapsed = seconds - ran as f64 / 1000.0;
            // The shortest there are last a while: most are not looked up.
            if elapsed < 10.0 {
                continue;
            }
            let Some(row) = view.machines.get(machine) else {
                continue;
            };
            let kind = &row.record.machine_type;
            let run = view.durations.run_time(spec, kind);
            if elapsed < OVERDUE * run {
                continue;
            }
            let name = (uid.clone(), *index);
            let known = view.durations.has_run_time(uid, kind) || row.slowdown() > OVERDUE;
            if !known || memory.restarted_stragglers.contains(&name) {
                continue;
            }
            let mut probe = timelines::waiting(view, spec, types);
            probe.avoided_machines.push(machine.clone());
            let Some(choice) = round.best_machine(&probe, true) else {
                continue;
            };
            round.machines.place(choice.machine, &probe, &choice.finish);
            memory.restarted_stragglers.insert(name);
            tracing::info!(
                job = &**uid,
                index,
                machine = &**machine,
                elapsed,
                run,
                "overdue task restarted"
            );
            let stop = Mutation::Stop(
                uid.clone(),
                t.record.attempt,
                StopReason::Straggler,
                vec![*index],
            );
            ops.push(stop);
            if ops.len() >= LISTED {
                return ops;
            }
        }
    }
    ops
}

#[cfg(test)]
mod tests {
    use super::*;

    /// 16 KiB is the least that a value may hold on any site so far.
    #[test]
    fn whatever_is_placed_in_a_round_fits_the_values() {
        let to = |n: u32| -> BTreeMap<Name, Vec<(u32, Name)>> {
            let block = |b: u32| {
                let tasks = (b * n..(b + 1) * n).map(|i| (98_000 + i, "i-000123".into()));
                (format!("a-zone#{b}").into(), tasks.collect())
            };
            (0..3).map(block).collect()
        };
        let uid: Name = "j-000001".into();
        for (shape, n) in [
            (Shape::Array, 700),
            (Shape::Service, 266),
            (Shape::Gang, 266),
            (Shape::Gang, 400),
        ] {
            let ops = assignments(&uid, shape, 1_700_000_000_000, to(n));
            let tasks = ops.iter().map(|op| match op {
                Mutation::Assign(_, _, to) => to.iter().map(|b| b.1.len()).sum::<usize>(),
                _ => 0,
            });
            assert_eq!(tasks.sum::<usize>(), 3 * n as usize, "{shape:?}");
            for op in &ops {
                let bytes = serde_json::to_string(op).unwrap().len();
                assert!(bytes < (16 << 10) - 64, "{shape:?}: {bytes} bytes");
            }
            assert_eq!(ops.len() == 1, shape == Shape::Gang);
        }
    }
}
