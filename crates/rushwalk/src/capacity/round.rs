//! One round of the leader: which waiting tasks start now and in which block,
//! what to rent, and what to give back.

mod expecting;
mod machines;
mod placing;
mod sizing;

use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::leadership::election;
use crate::leadership::leader::append;
use crate::observability::work_profile::WorkKind;
use expecting::spare;
pub use machines::{booting, boots, kind_of};
use machines::{machines, scarcity};
use placing::{assign, assigned, overdue, waiting};
use rushwalk_protocol::records::{MachineLifecycle, MachineTypes, Mutation};
use rushwalk_scheduler::round::{PendingJob, SchedulingDecisions, SchedulingRound};
use sizing::{EMPTIED, idle, lack, rent, shrink};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Tasks of one job planned in a round, at least; as many as there are machines
/// on a larger fleet. The rest comes next.
const PLANNED_EACH: usize = 160;
/// Jobs planned before the others on this thread have their turn. On a busy
/// thread a turn comes late, so a round must not take many.
const AT_ONCE: usize = 16;

/// One round of placing and sizing.
pub async fn plan(node: &Controller, version: u64) -> Vec<Mutation> {
    let now = now_ms();
    let (mut round, waiting, types) = {
        let _turn = node.work_profile.start(WorkKind::Schedule);
        let mut view = node.view();
        let Some(types) = view.machine_types.clone() else {
            return Vec::new();
        };
        let mut memory = lock(&node.leader_state);
        let mut round = machines(node, &view, &mut memory, &types, now);
        assigned(&view, &types, &mut round);
        let mut waiting = waiting(&mut view, now, node, &types);
        let scarce = scarcity(&view, &memory, &types);
        for job in &mut waiting {
            job.price_bias = scarce.get(&job.spec.class).cloned().unwrap_or_default();
        }
        (round, waiting, types)
    };
    let mut decisions = SchedulingDecisions::default();
    let mut rest = &waiting[..];
    // The plan ends when its time is over, not after so many tasks: 3,000 were all
    // that waited on one fleet, and a third of it on one four times as large, so
    // that nothing was rented for the others.
    let began = Instant::now();
    while !rest.is_empty() && (began.elapsed() < node.timing.round || decisions.is_empty()) {
        let mut turn = node.work_profile.start(WorkKind::Schedule);
        let started = Instant::now();
        let mut done = 0;
        while done < rest.len() && goes_on(node, done, started) {
            let some = round.schedule(&rest[done..=done]);
            decisions.placements.extend(some.placements);
            decisions.pending_reasons.extend(some.pending_reasons);
            done += 1;
        }
        turn.add_items(round.take_evaluations());
        drop(turn);
        rest = &rest[done..];
        node.runtime_lag.yield_after(started.elapsed()).await;
    }
    let mut ops = {
        let _turn = node.work_profile.start(WorkKind::Schedule);
        let view = node.view();
        let mut memory = lock(&node.leader_state);
        let mut ops = assign(&view, &round, &decisions, now, |block| {
            election::takes_more(node, &view, block)
        });
        memory.pending_reasons = decisions.pending_reasons.into_iter().collect();
        ops.extend(overdue(&view, &mut memory, &mut round, &types, now));
        ops
    };
    tell(&round, &types);
    let wish = RentalPlanner {
        version,
        began: now,
        waiting: round.machines.len(),
    };
    if !due(node) {
        ops.extend(wish.rent(node, &round, &types, false));
        return ops;
    }
    let missing = round.machines.len() > round.first_rental;
    // Would fewer machines do, for what waits and what is expected? Tried before what
    // was placed shows in the records: a machine with a new task is not emptied.
    let turn = node.work_profile.start(WorkKind::ScaleOut);
    let mut closed = match missing {
        true => Vec::new(),
        false => shrink(
            &node.view(),
            &mut lock(&node.leader_state),
            &mut round,
            &types,
            now,
        ),
    };
    drop(turn);
    // What was placed need not wait for the sizing, which took seconds on the
    // largest fleets.
    if !append(node, version, &ops, WritePriority::WorkKind).await {
        return Vec::new();
    }
    ops.clear();
    let expected = {
        let _turn = node.work_profile.start(WorkKind::ScaleOut);
        let view = node.view();
        let scarce = scarcity(&view, &lock(&node.leader_state), &types);
        let mut expected = spare(&view, node, &types, now);
        for (_, job) in &mut expected {
            job.price_bias = scarce.get(&job.spec.class).cloned().unwrap_or_default();
        }
        expected
    };
    let before = (!closed.is_empty()).then(|| round.machines.clone());
    let late = expect(node, &mut round, &expected).await;
    if let Some(before) = before {
        // Not more may be late than were with all machines, but for a few.
        let all: usize = expected.iter().map(|(_, job)| job.tasks.len()).sum();
        let allowed = lock(&node.leader_state).expected_late + all / 50;
        let enough = round.machines.len() == round.first_rental && late <= allowed;
        let again = {
            let mut memory = lock(&node.leader_state);
            memory.scale_in_batch = match enough {
                true => (memory.scale_in_batch * 2).min(EMPTIED),
                false => (memory.scale_in_batch / 2).max(1),
            };
            if !enough {
                memory.scale_in_failed = Some(Instant::now());
            }
            !enough
        };
        if again {
            // Not without them: planned once more, with all.
            round.restore(before);
            (0..round.machines.len()).for_each(|i| round.machines.set_closed(i, false));
            closed.clear();
            lock(&node.leader_state).expected_late = expect(node, &mut round, &expected).await;
        }
    } else {
        lock(&node.leader_state).expected_late = late;
    }
    let _turn = node.work_profile.start(WorkKind::ScaleOut);
    let rent = wish.rent(node, &round, &types, true);
    ops.extend(idle(&node.view(), &mut lock(&node.leader_state), &round));
    if !closed.is_empty() {
        tracing::info!(machines = ?closed, "machines emptied");
        ops.push(Mutation::SetLifecycle(MachineLifecycle::Draining, closed));
    }
    ops.extend(rent);
    ops
}

/// Whether to size the fleet by what is expected: in every third round only, since
/// it is a plan of many jobs, most of which come out as they did a moment ago.
fn due(node: &Controller) -> bool {
    let pause = node.timing.round * 5 / 2;
    let mut memory = lock(&node.leader_state);
    let due = memory.sized_at.is_none_or(|at| at.elapsed() > pause);
    if due {
        memory.sized_at = Some(Instant::now());
    }
    due
}

/// What a round rents by: of its slots, so many there are for what waits.
struct RentalPlanner {
    version: u64,
    began: u64,
    waiting: usize,
}

impl RentalPlanner {
    /// Rentals for what the round found lacking, as far as there are calls until the
    /// next one, which comes the later the longer this one took.
    fn rent(
        &self,
        node: &Controller,
        round: &SchedulingRound,
        types: &MachineTypes,
        sized: bool,
    ) -> Vec<Mutation> {
        let now = now_ms();
        let took = Duration::from_millis(now.saturating_sub(self.began));
        let span = node.timing.round.max(took);
        let calls = (node.cloud.rate() * span.as_secs_f64()).ceil() as usize;
        let mut memory = lock(&node.leader_state);
        lack(round, types, self.waiting, sized, &mut memory.shortfall);
        rent(
            &mut memory,
            (self.version, node.uptime_s()),
            calls,
            self.began,
        )
    }
}

/// Whether a turn of planning goes on. On a slow controller even a few jobs take
/// long, and answers to workers and users must not wait for them.
fn goes_on(node: &Controller, done: usize, started: Instant) -> bool {
    done == 0 || (done < AT_ONCE && started.elapsed() < node.timing.round / 48)
}

/// How the fleet is used, for whoever follows the log.
fn tell(round: &SchedulingRound, types: &MachineTypes) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut groups: BTreeMap<(usize, bool), (usize, usize, usize, f64)> = BTreeMap::new();
    for slot in round.machines.iter() {
        let group = groups.entry((slot.group, slot.spot)).or_default();
        group.0 += 1;
        group.1 += usize::from(slot.up);
        group.2 += usize::from(slot.tasks == 0);
        group.3 += 1.0
            - slot
                .free_at(round.planned_time)
                .least_share_of(&slot.capacity);
    }
    for ((kind, spot), (all, up, idle, used)) in groups {
        let kind = &types.types[kind].name;
        tracing::debug!(kind, spot, all, up, idle, used, "fleet");
    }
}

/// Plans what is expected, each job for its time; how many tasks would wait.
async fn expect(
    node: &Controller,
    round: &mut SchedulingRound<'_>,
    expected: &[(f64, PendingJob)],
) -> usize {
    let mut late = 0;
    let mut rest = expected;
    while !rest.is_empty() {
        let mut turn = node.work_profile.start(WorkKind::ScaleOut);
        let started = Instant::now();
        let mut done = 0;
        while done < rest.len() && goes_on(node, done, started) {
            let (at, job) = &rest[done];
            round.planned_time = round.current_time + at;
            let decisions = round.schedule(std::slice::from_ref(job));
            late += job.tasks.len() - decisions.placements.len();
            done += 1;
        }
        turn.add_items(round.take_evaluations());
        drop(turn);
        rest = &rest[done..];
        node.runtime_lag.yield_after(started.elapsed()).await;
    }
    round.planned_time = round.current_time;
    late
}
