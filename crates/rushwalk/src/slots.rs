//! Machines as the planner sees them, made from the view.

use crate::view::{JobRow, MachineRow, TaskRow, View};
use rushwalk_plan::Amount;
use rushwalk_plan::slot::Slot;
use rushwalk_wire::cloud::MachineType;
use rushwalk_wire::records::Phase;

/// A machine that is up, or boots, with the tasks that it has.
pub fn slot(view: &View, name: &str, row: &MachineRow, kind: &MachineType, now: f64) -> Slot {
    let machine = &row.machine;
    let ready = match machine.up {
        Some(_) => now,
        None => {
            let nominal = machine.rented as f64 / 1000.0 + 1.1 * kind.boot_s;
            nominal.max(now + 0.2 * kind.boot_s)
        }
    };
    let mut slot = Slot::new(name, kind, &machine.zone, machine.spot, ready);
    slot.block = machine.block.clone();
    slot.up = machine.up.is_some();
    let there = row
        .machine
        .images
        .iter()
        .map(|(image, _)| (image.clone(), 0.0));
    slot.images = there.collect();
    for (uid, index) in &row.tasks {
        let Some(job) = view.jobs.get(uid) else {
            continue;
        };
        let Some(task) = job.tasks.get(index) else {
            continue;
        };
        let until = predicted_end(view, job, task, row, now);
        slot.take(
            Amount::of_task(&job.job.spec),
            ready,
            until.max(ready + 1.0),
        );
        let spec = &job.job.spec;
        if task.task.ran.is_none() && !slot.images.contains_key(&spec.image) {
            let fetch = view
                .averages
                .fetch_time(spec.image_gb, &kind.name, kind.fetch_gb_per_s);
            let at = task.task.at as f64 / 1000.0 + view.averages.overhead() + fetch;
            slot.images.insert(spec.image.clone(), at.max(now));
        }
    }
    slot.slow = row.slow();
    slot.pending_error = row.miss_s.clamp(-kind.boot_s, kind.boot_s);
    slot
}

/// When a live task should be off its machine.
pub fn predicted_end(
    view: &View,
    job: &JobRow,
    row: &TaskRow,
    machine: &MachineRow,
    now: f64,
) -> f64 {
    let spec = &job.job.spec;
    let task = &row.task;
    if job.job.phase != Phase::Active || task.stop.is_some() {
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
