//! How changes take effect on a view, and how a view is told as changes.

use super::{
    ARRIVALS, ClusterState, JobState, LISTED, MachineState, Name, TaskState, number, pulse,
};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::records::{
    AttemptOutcome, FailureHistory, JobPhase, MachineLifecycle, MachineRecord, Mutation,
    StopReason, TaskBitmap, TaskRecord,
};
use std::collections::BTreeMap;
use std::sync::Arc;

impl ClusterState {
    /// The one place where changes take effect.
    pub fn apply(&mut self, op: Mutation, revision: u64, now_ms: u64) {
        match op {
            Mutation::Submit(spec, at) => self.submit(spec, at, now_ms),
            Mutation::Cancel(uid) => {
                if self
                    .jobs
                    .get(&uid)
                    .is_some_and(|j| j.phase == JobPhase::Active)
                {
                    self.finish(&uid, JobPhase::Cancelled);
                }
            }
            Mutation::Assign(uid, at, to) => self.assign(&uid, revision, at, to),
            Mutation::Place(uid, attempt, at, on) => self.place(&uid, attempt, at, on),
            Mutation::Started(uid, attempt, at, tasks) => self.ran(&uid, attempt, at, &tasks),
            Mutation::Ended(uid, attempt, at, how, tasks) => {
                self.end(&uid, attempt, at, how, &tasks)
            }
            Mutation::Stop(uid, attempt, why, tasks) => {
                for index in tasks {
                    self.stop(&uid, attempt, why, index);
                }
                self.settle(&uid);
            }
            Mutation::Unassign(uid, attempt, tasks) => {
                for index in tasks {
                    if self
                        .current(&uid, attempt, index)
                        .is_some_and(|t| t.record.machine.is_none())
                    {
                        self.remove(&uid, index);
                    }
                }
                self.settle(&uid);
            }
            Mutation::RequestRental(request, rental) => {
                self.rentals.entry(request).or_insert(rental);
            }
            Mutation::RentalRefused(request) => {
                self.rentals.remove(&request);
            }
            Mutation::RentalFulfilled(request, machines) => {
                let Some(rental) = self.rentals.remove(&request) else {
                    return;
                };
                let (kind, zone): (Name, Name) = (rental.machine_type.into(), rental.zone.into());
                for (name, block) in machines {
                    let machine = MachineRecord {
                        machine_type: kind.clone(),
                        zone: zone.clone(),
                        spot: rental.spot,
                        shard: block,
                        lifecycle: MachineLifecycle::Active,
                        rented_ms: rental.requested_ms,
                        ready_ms: None,
                        address: "".into(),
                        images: Vec::new(),
                        reclaim_ms: None,
                        unreachable_since_ms: None,
                    };
                    self.found(name, machine);
                }
            }
            Mutation::MachineAdopted(name, machine) => self.found(name, machine),
            Mutation::SetLifecycle(stage, machines) => {
                for name in machines {
                    if let Some(row) = self.machines.get_mut(&name) {
                        row.record.lifecycle = row.record.lifecycle.max(stage);
                    }
                }
            }
            Mutation::MachinesDeleted(machines) => {
                machines.iter().for_each(|name| self.deleted(name))
            }
            Mutation::MachinesReady(at, machines) => {
                for (name, address) in machines {
                    self.change(&name, |machine| {
                        machine.ready_ms.get_or_insert(at);
                        machine.address = address;
                    });
                }
            }
            Mutation::ReclaimNotice(name, at) => {
                if let Some(row) = self.machines.get_mut(&name) {
                    row.record.reclaim_ms = Some(at);
                    row.record.lifecycle = row.record.lifecycle.max(MachineLifecycle::Draining);
                }
            }
            Mutation::MachinesUnreachable(at, machines) => {
                for name in machines {
                    self.change(&name, |machine| {
                        machine.unreachable_since_ms.get_or_insert(at);
                    });
                }
            }
            Mutation::MachinesReachable(machines) => {
                for name in machines {
                    self.change(&name, |machine| machine.unreachable_since_ms = None);
                }
            }
            Mutation::RestoreFinished(phase, jobs) => {
                for (uid, tasks) in jobs {
                    self.finished.insert(uid, (phase, tasks));
                }
            }
            Mutation::RestoreTerminating(uid, phase) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.phase = phase;
                    self.active
                        .remove(&(job.spec.priority, job.accepted_ms, uid));
                }
            }
            Mutation::RestoreCompletedTasks(uid, from, digits) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.completed.insert_hex(from, &digits);
                    if job.completed.count() > 0 && !std::mem::replace(&mut job.started, true) {
                        self.service_counts.count(&job.spec, |c| c.started += 1);
                    }
                }
            }
            Mutation::RestoreTasks(uid, tasks) => {
                for (index, task) in tasks {
                    self.add(&uid, index, task);
                }
            }
            Mutation::FailureSummary(uid, trouble) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.failures = trouble;
                }
            }
        }
    }

    fn submit(&mut self, spec: Arc<JobSpec>, at: u64, now_ms: u64) {
        let uid: Name = spec.id.as_str().into();
        if self.jobs.contains_key(&uid) || self.finished.contains_key(&uid) {
            return;
        }
        if at + 600_000 > now_ms {
            let times = self.arrivals.entry(spec.class.clone()).or_default();
            let after = times.partition_point(|(t, _)| *t <= at);
            times.insert(after, (at, spec.clone()));
            if times.len() > ARRIVALS {
                times.pop_front();
            }
        }
        self.active.insert((spec.priority, at, uid.clone()));
        number(&mut self.image_ids, &spec.image);
        self.service_counts.count(&spec, |c| c.accepted += 1);
        let row = JobState {
            spec,
            phase: JobPhase::Active,
            accepted_ms: at,
            tasks: BTreeMap::new(),
            completed: TaskBitmap::default(),
            failures: FailureHistory::default(),
            started: false,
            first_open: 0,
        };
        self.jobs.insert(uid, row);
    }

    /// The job is done or cancelled: what was not placed never will be.
    fn finish(&mut self, uid: &Name, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        job.phase = phase;
        let started = job.started;
        self.service_counts.count(&job.spec, |c| match phase {
            JobPhase::Done => {
                c.completed += 1;
                // The shortest end before they are seen running.
                c.started += u32::from(!started);
            }
            _ => {
                c.cancelled += 1;
                c.withdrawn += u32::from(!started);
            }
        });
        self.active
            .remove(&(job.spec.priority, job.accepted_ms, uid.clone()));
        let mut unplaced = Vec::new();
        for (index, t) in &job.tasks {
            match &t.record.machine {
                Some(machine) => {
                    self.changed_machines.insert(machine.clone());
                }
                None => unplaced.push(*index),
            }
        }
        for index in unplaced {
            self.remove(uid, index);
        }
        self.settle(uid);
    }

    /// A job that is over and has no task left is reduced to its state.
    fn settle(&mut self, uid: &Name) {
        let gone = self
            .jobs
            .get(uid)
            .filter(|j| j.phase != JobPhase::Active && j.tasks.is_empty());
        if let Some(job) = gone {
            let state = (job.phase, job.spec.tasks);
            if let Some((uid, _)) = self.jobs.remove_entry(uid) {
                self.finished.insert(uid, state);
            }
        }
    }

    fn assign(&mut self, uid: &Name, attempt: u64, at: u64, to: Vec<(Name, Vec<(u32, Name)>)>) {
        let Some(job) = self.jobs.get(uid).filter(|j| j.phase == JobPhase::Active) else {
            return;
        };
        let free = |index: u32| {
            index < job.spec.tasks
                && !job.tasks.contains_key(&index)
                && !job.completed.contains(index)
        };
        let all = to.iter().flat_map(|(_, tasks)| tasks);
        if job.spec.shape == Shape::Gang && !all.map(|t| t.0).all(free) {
            return;
        }
        let mut new = Vec::new();
        for (block, tasks) in to {
            let tasks = tasks.into_iter().filter(|t| free(t.0));
            new.extend(tasks.map(|(index, hint)| (index, block.clone(), hint)));
        }
        for (index, block, hint) in new {
            let task = TaskRecord {
                shard: block,
                attempt,
                machine: None,
                scheduled_ms: at,
                started_ms: None,
                stop_reason: None,
                placement_hint: Some(hint),
            };
            self.add(uid, index, task);
        }
    }

    /// Takes in a live task.
    fn add(&mut self, uid: &Name, index: u32, task: TaskRecord) {
        let Some((uid, _)) = self.jobs.get_key_value(uid) else {
            return;
        };
        let uid = uid.clone();
        let name = (uid.clone(), index);
        match &task.machine {
            Some(machine) => {
                if let Some(row) = self.machines.get_mut(machine) {
                    row.tasks.insert(name);
                }
                self.changed_machines.insert(machine.clone());
            }
            None => {
                self.unplaced.insert(name);
            }
        }
        if let Some(job) = self.jobs.get_mut(&uid) {
            if task.started_ms.is_some() && !std::mem::replace(&mut job.started, true) {
                self.service_counts.count(&job.spec, |c| c.started += 1);
            }
            job.tasks.insert(
                index,
                TaskState {
                    record: task,
                    cold_start: None,
                },
            );
        }
        self.with_tasks.insert(uid);
    }

    /// Takes a live task out; it is surely gone, or never was anywhere.
    fn remove(&mut self, uid: &Name, index: u32) -> Option<TaskRecord> {
        let job = self.jobs.get_mut(uid)?;
        let row = job.tasks.remove(&index)?;
        job.first_open = job.first_open.min(index);
        if job.tasks.is_empty() {
            self.with_tasks.remove(uid);
        }
        let name = (uid.clone(), index);
        match &row.record.machine {
            Some(machine) => {
                if let Some(row) = self.machines.get_mut(machine) {
                    row.tasks.remove(&name);
                }
                self.changed_machines.insert(machine.clone());
            }
            None => {
                self.unplaced.remove(&name);
            }
        }
        Some(row.record)
    }

    fn place(&mut self, uid: &Name, attempt: u64, at: u64, on: Vec<(u32, Name)>) {
        let Some((uid, job)) = self.jobs.get_key_value(uid) else {
            return;
        };
        if job.phase != JobPhase::Active {
            return;
        }
        let uid = uid.clone();
        for (index, machine) in on {
            let Some(job) = self.jobs.get_mut(&uid) else {
                return;
            };
            let image = &job.spec.image;
            let Some(row) = job.tasks.get_mut(&index) else {
                continue;
            };
            let task = &mut row.record;
            let open =
                task.attempt == attempt && task.machine.is_none() && task.stop_reason.is_none();
            let Some((name, there)) = self.machines.get_key_value(&machine) else {
                continue;
            };
            let usable = there.record.lifecycle == MachineLifecycle::Active
                && there.record.shard == task.shard;
            if !open || !usable {
                continue;
            }
            row.cold_start = Some(!there.has_image(image));
            task.machine = Some(name.clone());
            task.scheduled_ms = at;
            let name = (uid.clone(), index);
            self.unplaced.remove(&name);
            if let Some(there) = self.machines.get_mut(&machine) {
                // Fetches side by side share the rate, which says little of it.
                let alone = there.tasks.iter().all(|(u, i)| {
                    let other = self.jobs.get(u).and_then(|j| j.tasks.get(i));
                    other.is_none_or(|t| t.record.started_ms.is_some())
                });
                there.tasks.insert(name);
                if !alone && let Some(job) = self.jobs.get_mut(&uid) {
                    job.tasks.entry(index).and_modify(|t| t.cold_start = None);
                }
            }
            self.changed_machines.insert(machine);
        }
    }

    fn ran(&mut self, uid: &Name, attempt: u64, at: u64, tasks: &[u32]) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        for index in tasks {
            let Some(row) = job.tasks.get_mut(index) else {
                continue;
            };
            if row.record.attempt != attempt || row.record.started_ms.is_some() {
                continue;
            }
            row.record.started_ms = Some(at);
            if !std::mem::replace(&mut job.started, true) {
                self.service_counts.count(&job.spec, |c| c.started += 1);
            }
            let machine = row.record.machine.as_ref();
            let Some(there) = machine.and_then(|m| self.machines.get_mut(m)) else {
                continue;
            };
            let spec = &job.spec;
            // A gang waits for its others, which says nothing of the fetch.
            if let (Some(cold), true) = (row.cold_start, spec.shape != Shape::Gang) {
                let seconds = at.saturating_sub(row.record.scheduled_ms) as f64 / 1000.0;
                let kind = &there.record.machine_type;
                self.durations
                    .record_start(kind, spec.image_gb, cold, seconds);
            }
            let types = self.machine_types.iter().flat_map(|t| &t.types);
            let cache = types
                .filter(|t| *t.name == *there.record.machine_type)
                .map(|t| t.cache_gb)
                .fold(0.0, f64::max);
            let images = &mut there.record.images;
            images.retain(|(i, _)| **i != *spec.image);
            images.push((spec.image.as_str().into(), spec.image_gb));
            while images.len() > 1 && images.iter().map(|i| i.1).sum::<f64>() > cache {
                images.remove(0);
            }
            let ids = images.iter().map(|(i, _)| number(&mut self.image_ids, i));
            there.image_ids = ids.collect();
        }
    }

    fn end(&mut self, uid: &Name, attempt: u64, at: u64, how: AttemptOutcome, tasks: &[u32]) {
        for index in tasks {
            if self.current(uid, attempt, *index).is_none() {
                continue;
            }
            let Some(task) = self.remove(uid, *index) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(uid) else {
                continue;
            };
            if job.phase != JobPhase::Active {
                continue;
            }
            match how {
                AttemptOutcome::Lost => {}
                AttemptOutcome::Failed => {
                    job.failures.count += 1;
                    job.failures.last_ms = at;
                    if let Some(machine) = &task.machine {
                        job.failures.machines.retain(|m| m != machine);
                        job.failures.machines.push(machine.clone());
                        let excess = job.failures.machines.len().saturating_sub(8);
                        job.failures.machines.drain(..excess);
                        if let Some(row) = self.machines.get_mut(machine) {
                            row.failed_jobs.insert(uid.clone());
                        }
                    }
                }
                AttemptOutcome::Completed => {
                    job.completed.insert(*index);
                    if job.spec.shape == Shape::Gang || job.completed.count() >= job.spec.tasks {
                        let spec = job.spec.clone();
                        self.finished(&spec, &task, at);
                        self.finish(uid, JobPhase::Done);
                    } else {
                        let spec = job.spec.clone();
                        self.finished(&spec, &task, at);
                    }
                }
            }
        }
        self.settle(uid);
    }

    /// Learns from a task that finished.
    fn finished(&mut self, spec: &JobSpec, task: &TaskRecord, at: u64) {
        let (Some(ran), Some(machine)) = (task.started_ms, &task.machine) else {
            return;
        };
        let Some(row) = self.machines.get_mut(machine) else {
            return;
        };
        let seconds = at.saturating_sub(ran) as f64 / 1000.0;
        let kind = &row.record.machine_type;
        let predicted = self.durations.run_time(spec, kind);
        row.failed_jobs.clear();
        row.prediction_error_s = seconds - predicted;
        if predicted.is_finite() && predicted > 0.0 {
            row.run_time_ratios.push((seconds / predicted).min(4.0), 4);
        }
        self.durations.record_run(spec, kind, seconds);
    }

    fn stop(&mut self, uid: &Name, attempt: u64, why: StopReason, index: u32) {
        let Some(row) = self.jobs.get_mut(uid).and_then(|j| j.tasks.get_mut(&index)) else {
            return;
        };
        if row.record.attempt != attempt {
            return;
        }
        match row.record.machine.clone() {
            Some(machine) => {
                row.record.stop_reason.get_or_insert(why);
                self.changed_machines.insert(machine);
            }
            None => {
                self.remove(uid, index);
            }
        }
    }

    fn found(&mut self, name: Name, machine: MachineRecord) {
        if self.machines.contains_key(&name) {
            return;
        }
        let (up, silent) = pulse(&machine);
        let counted = self.shard_counts.entry(machine.shard.clone()).or_default();
        *counted = (counted.0 + up, counted.1 + silent);
        let block = self.shards.entry(machine.shard.clone()).or_default();
        block.insert(name.clone());
        let mut row = MachineState::new(machine);
        let ids = row.record.images.iter();
        row.image_ids = ids.map(|(i, _)| number(&mut self.image_ids, i)).collect();
        self.machines.insert(name, row);
    }

    fn deleted(&mut self, name: &Name) {
        let intended = |m: &MachineState| m.record.lifecycle == MachineLifecycle::Deleting;
        if !self.machines.get(name).is_some_and(intended) {
            return;
        }
        if let Some(row) = self.machines.remove(name) {
            if let Some(block) = self.shards.get_mut(&row.record.shard) {
                block.remove(name);
            }
            let (up, silent) = pulse(&row.record);
            if let Some(counted) = self.shard_counts.get_mut(&row.record.shard) {
                *counted = (counted.0 - up, counted.1 - silent);
            }
            for (uid, index) in row.tasks {
                self.remove(&uid, index);
                self.settle(&uid);
            }
            self.changed_machines.remove(name);
        }
    }

    /// Changes a machine's record, and what is counted of its block.
    fn change(&mut self, name: &Name, change: impl FnOnce(&mut MachineRecord)) {
        let Some(row) = self.machines.get_mut(name) else {
            return;
        };
        let before = pulse(&row.record);
        change(&mut row.record);
        let after = pulse(&row.record);
        let counted = self
            .shard_counts
            .entry(row.record.shard.clone())
            .or_default();
        counted.0 = counted.0 + after.0 - before.0;
        counted.1 = counted.1 + after.1 - before.1;
    }

    /// All that the log said, as changes to an empty view.
    pub fn to_mutations(&self) -> Vec<Mutation> {
        let mut out = Vec::new();
        for phase in [JobPhase::Done, JobPhase::Cancelled] {
            let jobs = self.finished.iter().filter(|(_, (p, _))| *p == phase);
            let jobs: Vec<_> = jobs.map(|(uid, (_, n))| (uid.clone(), *n)).collect();
            for some in jobs.chunks(LISTED) {
                out.push(Mutation::RestoreFinished(phase, some.to_vec()));
            }
        }
        for (name, row) in &self.machines {
            out.push(Mutation::MachineAdopted(name.clone(), row.record.clone()));
        }
        for (request, rental) in &self.rentals {
            out.push(Mutation::RequestRental(request.clone(), rental.clone()));
        }
        for (uid, job) in &self.jobs {
            out.push(Mutation::Submit(job.spec.clone(), job.accepted_ms));
            if job.phase != JobPhase::Active {
                out.push(Mutation::RestoreTerminating(uid.clone(), job.phase));
            }
            for (from, digits) in job.completed.to_hex_parts() {
                out.push(Mutation::RestoreCompletedTasks(uid.clone(), from, digits));
            }
            if job.failures != FailureHistory::default() {
                out.push(Mutation::FailureSummary(uid.clone(), job.failures.clone()));
            }
            let tasks: Vec<_> = job
                .tasks
                .iter()
                .map(|(i, t)| (*i, t.record.clone()))
                .collect();
            for some in tasks.chunks(LISTED) {
                out.push(Mutation::RestoreTasks(uid.clone(), some.to_vec()));
            }
        }
        out
    }
}
