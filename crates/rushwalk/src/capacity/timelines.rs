//! Machines and jobs as the planner sees them, made from the view.

use crate::view::{ClusterState, JobState, MachineState, Name, TaskState};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::records::{JobPhase, MachineTypes};
use rushwalk_protocol::settings::SiteSettings;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::quota::TasksPerZone;
use rushwalk_scheduler::round::{PendingJob, TaskEstimate};
use rushwalk_scheduler::timeline::{MachineImage, MachineTimeline};
use std::collections::BTreeSet;
use std::sync::Arc;

/// All zones, in their order.
pub fn zones(types: &MachineTypes, site: &SiteSettings) -> Vec<Name> {
    let all = types.types.iter().flat_map(|t| &t.zones).chain(&site.zones);
    let all: BTreeSet<&String> = all.collect();
    all.into_iter().map(|z| z.as_str().into()).collect()
}

/// A job without tasks, with what it takes on machines of each type.
pub fn waiting(view: &ClusterState, spec: &Arc<JobSpec>, types: &MachineTypes) -> PendingJob {
    let averages = &view.durations;
    let amount = Resources::of_task(spec);
    let estimates = types.types.iter().map(|t| TaskEstimate {
        run_s: averages.run_time(spec, &t.name),
        fetch_s: averages.fetch_time(spec.image_gb, &t.name, t.fetch_gb_per_s),
        boot_s: t.boot_s,
        allowed: spec.types.as_ref().is_none_or(|n| n.contains(&t.name))
            && amount.fits_in(&Resources::of_type(t)),
    });
    PendingJob {
        spec: spec.clone(),
        resources: amount,
        image: view.image_id(&spec.image),
        estimates: estimates.collect(),
        overhead_s: averages.overhead(),
        tasks: Vec::new(),
        tasks_per_zone: TasksPerZone::default(),
        avoided_machines: Vec::new(),
        price_bias: Vec::new(),
        single_probe: false,
    }
}

/// A machine that is up, or boots and takes tasks from `ready` on, with those it has.
pub fn slot(
    view: &ClusterState,
    name: &Name,
    row: &MachineState,
    types: &MachineTypes,
    zones: &[Name],
    (now, ready): (f64, f64),
) -> Option<MachineTimeline> {
    let machine = &row.record;
    let zone = zones.iter().position(|z| *z == machine.zone)?;
    let mut groups = types.types.iter();
    let group = groups.position(|t| *t.name == *machine.machine_type)?;
    let kind = &types.types[group];
    let mut slot = MachineTimeline::new(name.clone(), group, kind, zone, machine.spot, ready);
    slot.shard = machine.shard.clone();
    slot.up = machine.ready_ms.is_some();
    slot.images = row
        .image_ids
        .iter()
        .map(|i| MachineImage::present(*i))
        .collect();
    for (uid, index) in &row.tasks {
        let Some((job, task)) = view.task(uid, *index) else {
            continue;
        };
        let until = predicted_end(view, job, task, row, now);
        let spec = &job.spec;
        slot.reserve(Resources::of_task(spec), ready, until.max(ready + 1.0));
        if task.record.started_ms.is_none() {
            let averages = &view.durations;
            let fetch = averages.fetch_time(spec.image_gb, &kind.name, kind.fetch_gb_per_s);
            let at = task.record.scheduled_ms as f64 / 1000.0 + averages.overhead() + fetch;
            slot.record_fetch(view.image_id(&spec.image), at.max(now));
        }
    }
    slot.slowdown = row.slowdown();
    slot.pending_error_s = row.prediction_error_s.clamp(-kind.boot_s, kind.boot_s);
    Some(slot)
}

/// When a live task should be off its machine.
pub fn predicted_end(
    view: &ClusterState,
    job: &JobState,
    row: &TaskState,
    machine: &MachineState,
    now: f64,
) -> f64 {
    let spec = &job.spec;
    let task = &row.record;
    if job.phase != JobPhase::Active || task.stop_reason.is_some() {
        return now + spec.save_s + 1.0;
    }
    let kind = &machine.record.machine_type;
    let run = view.durations.run_time(spec, kind) * machine.slowdown();
    let end = match task.started_ms {
        Some(ran) => ran as f64 / 1000.0 + run,
        None => {
            let fetch = match machine.has_image(&spec.image) {
                true => 0.0,
                false => view.durations.fetch_time(spec.image_gb, kind, 0.0),
            };
            task.scheduled_ms as f64 / 1000.0 + view.durations.overhead() + fetch + run
        }
    };
    // One that is late already is expected to take a part of its time more.
    if run.is_finite() {
        end.max(now + 0.25 * run)
    } else {
        end
    }
}
