//! Machines and jobs as the planner sees them, made from the view.

use crate::view::{JobRow, MachineRow, Name, TaskRow, View};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::records::{Phase, Types};
use rushwalk_protocol::settings::Site;
use rushwalk_scheduler::Amount;
use rushwalk_scheduler::quota::Places;
use rushwalk_scheduler::round::{Estimate, Waiting};
use rushwalk_scheduler::timeline::Slot;
use std::collections::BTreeSet;
use std::sync::Arc;

/// All zones, in their order.
pub fn zones(types: &Types, site: &Site) -> Vec<Name> {
    let all = types.types.iter().flat_map(|t| &t.zones).chain(&site.zones);
    let all: BTreeSet<&String> = all.collect();
    all.into_iter().map(|z| z.as_str().into()).collect()
}

/// A job without tasks, with what it takes on machines of each type.
pub fn waiting(view: &View, spec: &Arc<JobSpec>, types: &Types) -> Waiting {
    let averages = &view.averages;
    let amount = Amount::of_task(spec);
    let estimates = types.types.iter().map(|t| Estimate {
        run_s: averages.run_time(spec, &t.name),
        fetch_s: averages.fetch_time(spec.image_gb, &t.name, t.fetch_gb_per_s),
        boot_s: t.boot_s,
        allowed: spec.types.as_ref().is_none_or(|n| n.contains(&t.name))
            && amount.fits(&Amount::of_type(t)),
    });
    Waiting {
        spec: spec.clone(),
        amount,
        image: view.image(&spec.image),
        estimates: estimates.collect(),
        overhead_s: averages.overhead(),
        indexes: Vec::new(),
        places: Places::default(),
        avoid: Vec::new(),
        bias: Vec::new(),
        probe: false,
    }
}

/// A machine that is up, or boots and takes tasks from `ready` on, with those it has.
pub fn slot(
    view: &View,
    name: &Name,
    row: &MachineRow,
    types: &Types,
    zones: &[Name],
    (now, ready): (f64, f64),
) -> Option<Slot> {
    let machine = &row.machine;
    let zone = zones.iter().position(|z| *z == machine.zone)?;
    let mut groups = types.types.iter();
    let group = groups.position(|t| *t.name == *machine.kind)?;
    let kind = &types.types[group];
    let mut slot = Slot::new(name.clone(), group, kind, zone, machine.spot, ready);
    slot.block = machine.block.clone();
    slot.up = machine.up.is_some();
    slot.images = row.images.iter().map(|i| (*i, 0.0)).collect();
    for (uid, index) in &row.tasks {
        let Some((job, task)) = view.task(uid, *index) else {
            continue;
        };
        let until = predicted_end(view, job, task, row, now);
        let spec = &job.spec;
        slot.take(Amount::of_task(spec), ready, until.max(ready + 1.0));
        if task.task.ran.is_none() {
            let averages = &view.averages;
            let fetch = averages.fetch_time(spec.image_gb, &kind.name, kind.fetch_gb_per_s);
            let at = task.task.at as f64 / 1000.0 + averages.overhead() + fetch;
            slot.fetches(view.image(&spec.image), at.max(now));
        }
    }
    slot.slow = row.slow();
    slot.pending_error = row.miss_s.clamp(-kind.boot_s, kind.boot_s);
    Some(slot)
}

/// When a live task should be off its machine.
pub fn predicted_end(
    view: &View,
    job: &JobRow,
    row: &TaskRow,
    machine: &MachineRow,
    now: f64,
) -> f64 {
    let spec = &job.spec;
    let task = &row.task;
    if job.phase != Phase::Active || task.stop.is_some() {
        return now + spec.save_s + 1.0;
    }
    let kind = &machine.machine.kind;
    let run = view.averages.run_time(spec, kind) * machine.slow();
    let end = match task.ran {
        Some(ran) => ran as f64 / 1000.0 + run,
        None => {
            let fetch = match machine.has(&spec.image) {
                true => 0.0,
                false => view.averages.fetch_time(spec.image_gb, kind, 0.0),
            };
            task.at as f64 / 1000.0 + view.averages.overhead() + fetch + run
        }
    };
    // One that is late already is expected to take a part of its time more.
    if run.is_finite() {
        end.max(now + 0.25 * run)
    } else {
        end
    }
}
