//! What is expected to arrive, or to come back.

use super::PLANNED_EACH;
use crate::capacity::timelines;
use crate::controller::Controller;
use crate::view::{ClusterState, Name};
use rushwalk_protocol::jobs::{Priority, Shape};
use rushwalk_protocol::records::{JobPhase, MachineTypes};
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::arrivals;
use rushwalk_scheduler::round::PendingJob;
use std::collections::BTreeMap;

/// Arrivals to be expected while a machine would boot: planned in the same
/// way, so that they find one that is warm.
pub fn spare(
    view: &ClusterState,
    node: &Controller,
    types: &MachineTypes,
    now: u64,
) -> Vec<(f64, PendingJob)> {
    const BUCKETS: usize = 5;
    let mut out = Vec::new();
    let mut classes: Vec<_> = view
        .arrivals
        .values()
        .filter_map(|times| Some((times, times.back()?.1.clone())))
        .collect();
    classes.sort_by_key(|(_, spec)| (spec.priority, spec.class.clone()));
    for (times, spec) in classes {
        let span = 30_000;
        let first = times.front().map_or(now, |t| t.0);
        let known = (now.saturating_sub(first) / span + 1).min(BUCKETS as u64) as usize;
        let mut buckets = vec![0u32; known];
        for (at, _) in times {
            let age = (now.saturating_sub(*at) / span) as usize;
            if let Some(n) = buckets.get_mut(age) {
                *n += 1;
            }
        }
        let slowest = types.types.iter().fold(0.0, |a, t| {
            let allowed = spec.types.as_ref().is_none_or(|n| n.contains(&t.name));
            match allowed && Resources::of_task(&spec).fits_in(&Resources::of_type(t)) {
                true => f64::max(a, t.boot_s),
                false => a,
            }
        });
        let rate = arrivals::rate(&buckets, span as f64 / 1000.0);
        // Who only has to finish by a time can wait a little for a heap's end.
        let aims = &node.settings.site.objectives;
        let hurried = aims.iter().any(|a| {
            a.kind == rushwalk_protocol::settings::ObjectiveKind::QueueTime && a.class == spec.class
        });
        let z = match spec.priority {
            Priority::Production | Priority::High => 1.5,
            _ if hurried => 1.0,
            _ => 0.0,
        };
        let latest = times.iter().rev().cycle();
        for (at, (_, spec)) in arrivals::arrivals(rate, slowest, z).into_iter().zip(latest) {
            let mut phantom = timelines::waiting(view, spec, types);
            phantom.tasks = (0..spec.tasks.min(PLANNED_EACH as u32)).collect();
            // What is expected is no reason to go beyond a team's limit.
            out.push((at, phantom));
        }
    }
    out.extend(returning(view, node, types, now));
    out.sort_by(|a, b| a.0.total_cmp(&b.0));
    out
}

/// Services on silent machines that may have to start anew when the leases have
/// run out: a place is made ready for them while a machine would boot.
pub fn returning(
    view: &ClusterState,
    node: &Controller,
    types: &MachineTypes,
    now: u64,
) -> Vec<(f64, PendingJob)> {
    let times = &node.timing;
    let last = (times.worker_lease + times.lease_validity).saturating_sub(times.unreachable_after);
    let lead = types.types.iter().map(|t| t.boot_s).fold(0.0, f64::max) * 1.5;
    let mut jobs: BTreeMap<&Name, (f64, Vec<u32>)> = BTreeMap::new();
    for row in view.machines.values() {
        let Some(silent) = row.record.unreachable_since_ms else {
            continue;
        };
        let until = silent as f64 / 1000.0 + last.as_secs_f64() - now as f64 / 1000.0;
        if until > lead {
            continue;
        }
        for (uid, index) in &row.tasks {
            let job = view.jobs.get(uid).filter(|j| j.phase == JobPhase::Active);
            if job.is_some_and(|j| j.spec.shape == Shape::Service) {
                let entry = jobs.entry(uid).or_insert((until.max(0.0), Vec::new()));
                entry.1.push(*index);
            }
        }
    }
    let mut out = Vec::new();
    for (uid, (until, tasks)) in jobs {
        if let Some(job) = view.jobs.get(uid) {
            let mut waiting = timelines::waiting(view, &job.spec, types);
            waiting.tasks = tasks;
            out.push((until, waiting));
        }
    }
    out
}
