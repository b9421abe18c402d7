//! The lifecycle of machines: rented, ready, unreachable, reclaimed, deleted.

use super::{ClusterState, MachineState, ShardCounts, image_cache};
use crate::mutation::{
    MachinesReady, MachinesUnreachable, ReclaimNotice, RentalFulfilled, SetLifecycle,
};
use crate::records::{MachineLifecycle, MachineRecord};
use rushwalk_protocol::ids::MachineId;
use rushwalk_scheduler::durations::RollingMean;
use rushwalk_scheduler::timeline::ImageId;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The ID of an image; assigns the next free ID to a new image.
pub(super) fn intern_image(image_ids: &mut HashMap<Arc<str>, ImageId>, name: &str) -> ImageId {
    if let Some(id) = image_ids.get(name) {
        return *id;
    }
    let next_id = image_ids.len() as ImageId;
    image_ids.insert(name.into(), next_id);
    next_id
}

/// The contribution of a machine to the counts of its shard.
fn shard_counts_of(machine: &MachineRecord) -> ShardCounts {
    let ready = machine.ready_ms.is_some();
    let unreachable = ready && machine.unreachable_since_ms.is_some();
    ShardCounts {
        ready: usize::from(ready),
        unreachable: usize::from(unreachable),
    }
}

impl MachineState {
    fn new(mut record: MachineRecord) -> MachineState {
        image_cache::limit_length(&mut record.images);
        MachineState {
            record,
            tasks: BTreeSet::new(),
            prediction_error_s: 0.0,
            run_time_ratios: RollingMean::default(),
            failed_jobs: BTreeSet::new(),
            image_ids: Vec::new(),
        }
    }

    /// Updates the IDs of the images in the machine's cache; new images get the next IDs.
    pub(super) fn intern_images(&mut self, image_ids: &mut HashMap<Arc<str>, ImageId>) {
        let images = self.record.images.iter();
        let ids = images.map(|image| intern_image(image_ids, &image.name));
        self.image_ids = ids.collect();
    }
}

impl ClusterState {
    pub(super) fn add_rented_machines(&mut self, fulfilled: RentalFulfilled) {
        let Some(request) = self.rentals.remove(&fulfilled.rental) else {
            return;
        };
        let machine_type: Arc<str> = request.machine_type.into();
        let zone: Arc<str> = request.zone.into();
        for rented in fulfilled.machines {
            let record = MachineRecord::rented(
                machine_type.clone(),
                zone.clone(),
                request.spot,
                rented.shard,
                request.requested_ms,
            );
            self.add_machine(rented.machine, record);
        }
    }

    /// Adds a machine. If the machine is known, only the images in the record are added, as less
    /// recently used ones: in a snapshot, several mutations may describe one machine.
    pub(super) fn add_machine(&mut self, id: MachineId, record: MachineRecord) {
        if let Some(machine) = self.machines.get_mut(&id) {
            image_cache::add_older(&mut machine.record.images, record.images);
            machine.intern_images(&mut self.image_ids);
            return;
        }
        let added = shard_counts_of(&record);
        let counts = self.shard_counts.entry(record.shard.clone()).or_default();
        counts.ready += added.ready;
        counts.unreachable += added.unreachable;
        let shard = self.shards.entry(record.shard.clone()).or_default();
        shard.insert(id.clone());
        let mut machine = MachineState::new(record);
        machine.intern_images(&mut self.image_ids);
        self.machines.insert(id, machine);
    }

    /// Removes a machine with all tasks on it, if its lifecycle stage is
    /// [`MachineLifecycle::Deleting`].
    pub(super) fn remove_machine(&mut self, id: &MachineId) {
        let is_deleting =
            |machine: &MachineState| machine.record.lifecycle == MachineLifecycle::Deleting;
        if !self.machines.get(id).is_some_and(is_deleting) {
            return;
        }
        let Some(machine) = self.machines.remove(id) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&machine.record.shard) {
            shard.remove(id);
        }
        let removed = shard_counts_of(&machine.record);
        if let Some(counts) = self.shard_counts.get_mut(&machine.record.shard) {
            counts.ready -= removed.ready;
            counts.unreachable -= removed.unreachable;
        }
        for task in machine.tasks {
            self.remove_task(&task.job, task.index);
            self.retire_if_finished(&task.job);
        }
        self.changed_machines.remove(id);
    }

    /// Changes a machine's record and updates the counts of its shard accordingly.
    fn update_machine(&mut self, id: &MachineId, change: impl FnOnce(&mut MachineRecord)) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let before = shard_counts_of(&machine.record);
        change(&mut machine.record);
        let after = shard_counts_of(&machine.record);
        let shard = machine.record.shard.clone();
        let counts = self.shard_counts.entry(shard).or_default();
        counts.ready = counts.ready + after.ready - before.ready;
        counts.unreachable = counts.unreachable + after.unreachable - before.unreachable;
    }

    pub(super) fn set_lifecycle(&mut self, change: &SetLifecycle) {
        for id in &change.machines {
            if let Some(machine) = self.machines.get_mut(id) {
                let lifecycle = &mut machine.record.lifecycle;
                *lifecycle = (*lifecycle).max(change.lifecycle);
            }
        }
    }

    pub(super) fn mark_ready(&mut self, ready: MachinesReady) {
        for machine in ready.machines {
            self.update_machine(&machine.machine, |record| {
                record.ready_ms.get_or_insert(ready.ready_ms);
                record.address = machine.address;
            });
        }
    }

    pub(super) fn record_reclaim_notice(&mut self, notice: &ReclaimNotice) {
        if let Some(machine) = self.machines.get_mut(&notice.machine) {
            let record = &mut machine.record;
            record.reclaim_ms = Some(notice.reclaim_ms);
            record.lifecycle = record.lifecycle.max(MachineLifecycle::Draining);
        }
    }

    pub(super) fn mark_unreachable(&mut self, unreachable: &MachinesUnreachable) {
        for id in &unreachable.machines {
            self.update_machine(id, |record| {
                record
                    .unreachable_since_ms
                    .get_or_insert(unreachable.since_ms);
            });
        }
    }

    pub(super) fn mark_reachable(&mut self, machines: &[MachineId]) {
        for id in machines {
            self.update_machine(id, |record| record.unreachable_since_ms = None);
        }
    }
}
