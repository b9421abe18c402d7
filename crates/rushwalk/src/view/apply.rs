//! How changes take effect on a view, and how a view is told as changes.

use super::{ARRIVALS, JobRow, LISTED, MachineRow, Name, TaskRow, View, number, pulse};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::records::{Bits, How, Machine, Op, Phase, Stage, StopWhy, Task, Trouble};
use std::collections::BTreeMap;
use std::sync::Arc;

impl View {
    /// The one place where changes take effect.
    pub fn apply(&mut self, op: Op, revision: u64, now_ms: u64) {
        match op {
            Op::Submit(spec, at) => self.submit(spec, at, now_ms),
            Op::Cancel(uid) => {
                if self
                    .jobs
                    .get(&uid)
                    .is_some_and(|j| j.phase == Phase::Active)
                {
                    self.finish(&uid, Phase::Cancelled);
                }
            }
            Op::Assign(uid, at, to) => self.assign(&uid, revision, at, to),
            Op::Place(uid, attempt, at, on) => self.place(&uid, attempt, at, on),
            Op::Ran(uid, attempt, at, tasks) => self.ran(&uid, attempt, at, &tasks),
            Op::End(uid, attempt, at, how, tasks) => self.end(&uid, attempt, at, how, &tasks),
            Op::Stop(uid, attempt, why, tasks) => {
                for index in tasks {
                    self.stop(&uid, attempt, why, index);
                }
                self.settle(&uid);
            }
            Op::Unassign(uid, attempt, tasks) => {
                for index in tasks {
                    if self
                        .current(&uid, attempt, index)
                        .is_some_and(|t| t.task.machine.is_none())
                    {
                        self.remove(&uid, index);
                    }
                }
                self.settle(&uid);
            }
            Op::Rent(request, rental) => {
                self.rentals.entry(request).or_insert(rental);
            }
            Op::Refused(request) => {
                self.rentals.remove(&request);
            }
            Op::Rented(request, machines) => {
                let Some(rental) = self.rentals.remove(&request) else {
                    return;
                };
                let (kind, zone): (Name, Name) = (rental.kind.into(), rental.zone.into());
                for (name, block) in machines {
                    let machine = Machine {
                        kind: kind.clone(),
                        zone: zone.clone(),
                        spot: rental.spot,
                        block,
                        stage: Stage::Use,
                        rented: rental.at,
                        up: None,
                        address: "".into(),
                        images: Vec::new(),
                        taken: None,
                        silent: None,
                    };
                    self.found(name, machine);
                }
            }
            Op::Found(name, machine) => self.found(name, machine),
            Op::Stage(stage, machines) => {
                for name in machines {
                    if let Some(row) = self.machines.get_mut(&name) {
                        row.machine.stage = row.machine.stage.max(stage);
                    }
                }
            }
            Op::Deleted(machines) => machines.iter().for_each(|name| self.deleted(name)),
            Op::Up(at, machines) => {
                for (name, address) in machines {
                    self.change(&name, |machine| {
                        machine.up.get_or_insert(at);
                        machine.address = address;
                    });
                }
            }
            Op::Taken(name, at) => {
                if let Some(row) = self.machines.get_mut(&name) {
                    row.machine.taken = Some(at);
                    row.machine.stage = row.machine.stage.max(Stage::Drain);
                }
            }
            Op::Silent(at, machines) => {
                for name in machines {
                    self.change(&name, |machine| {
                        machine.silent.get_or_insert(at);
                    });
                }
            }
            Op::Heard(machines) => {
                for name in machines {
                    self.change(&name, |machine| machine.silent = None);
                }
            }
            Op::Over(phase, jobs) => {
                for (uid, tasks) in jobs {
                    self.over.insert(uid, (phase, tasks));
                }
            }
            Op::Lingering(uid, phase) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.phase = phase;
                    self.active.remove(&(job.spec.priority, job.at, uid));
                }
            }
            Op::Finished(uid, from, digits) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.done.read(from, &digits);
                    if job.done.count() > 0 && !std::mem::replace(&mut job.started, true) {
                        self.served.count(&job.spec, |c| c.started += 1);
                    }
                }
            }
            Op::Live(uid, tasks) => {
                for (index, task) in tasks {
                    self.add(&uid, index, task);
                }
            }
            Op::Trouble(uid, trouble) => {
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.trouble = trouble;
                }
            }
        }
    }

    fn submit(&mut self, spec: Arc<JobSpec>, at: u64, now_ms: u64) {
        let uid: Name = spec.uid.as_str().into();
        if self.jobs.contains_key(&uid) || self.over.contains_key(&uid) {
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
        number(&mut self.images, &spec.image);
        self.served.count(&spec, |c| c.accepted += 1);
        let row = JobRow {
            spec,
            phase: Phase::Active,
            at,
            tasks: BTreeMap::new(),
            done: Bits::default(),
            trouble: Trouble::default(),
            started: false,
            open: 0,
        };
        self.jobs.insert(uid, row);
    }

    /// The job is done or cancelled: what was not placed never will be.
    fn finish(&mut self, uid: &Name, phase: Phase) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        job.phase = phase;
        let started = job.started;
        self.served.count(&job.spec, |c| match phase {
            Phase::Done => {
                c.done += 1;
                // The shortest end before they are seen running.
                c.started += u32::from(!started);
            }
            _ => {
                c.cancelled += 1;
                c.withdrawn += u32::from(!started);
            }
        });
        self.active
            .remove(&(job.spec.priority, job.at, uid.clone()));
        let mut unplaced = Vec::new();
        for (index, t) in &job.tasks {
            match &t.task.machine {
                Some(machine) => {
                    self.dirty.insert(machine.clone());
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
            .filter(|j| j.phase != Phase::Active && j.tasks.is_empty());
        if let Some(job) = gone {
            let state = (job.phase, job.spec.tasks);
            if let Some((uid, _)) = self.jobs.remove_entry(uid) {
                self.over.insert(uid, state);
            }
        }
    }

    fn assign(&mut self, uid: &Name, attempt: u64, at: u64, to: Vec<(Name, Vec<(u32, Name)>)>) {
        let Some(job) = self.jobs.get(uid).filter(|j| j.phase == Phase::Active) else {
            return;
        };
        let free = |index: u32| {
            index < job.spec.tasks && !job.tasks.contains_key(&index) && !job.done.get(index)
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
            let task = Task {
                block,
                attempt,
                machine: None,
                at,
                ran: None,
                stop: None,
                hint: Some(hint),
            };
            self.add(uid, index, task);
        }
    }

    /// Takes in a live task.
    fn add(&mut self, uid: &Name, index: u32, task: Task) {
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
                self.dirty.insert(machine.clone());
            }
            None => {
                self.unplaced.insert(name);
            }
        }
        if let Some(job) = self.jobs.get_mut(&uid) {
            if task.ran.is_some() && !std::mem::replace(&mut job.started, true) {
                self.served.count(&job.spec, |c| c.started += 1);
            }
            job.tasks.insert(index, TaskRow { task, cold: None });
        }
        self.live.insert(uid);
    }

    /// Takes a live task out; it is surely gone, or never was anywhere.
    fn remove(&mut self, uid: &Name, index: u32) -> Option<Task> {
        let job = self.jobs.get_mut(uid)?;
        let row = job.tasks.remove(&index)?;
        job.open = job.open.min(index);
        if job.tasks.is_empty() {
            self.live.remove(uid);
        }
        let name = (uid.clone(), index);
        match &row.task.machine {
            Some(machine) => {
                if let Some(row) = self.machines.get_mut(machine) {
                    row.tasks.remove(&name);
                }
                self.dirty.insert(machine.clone());
            }
            None => {
                self.unplaced.remove(&name);
            }
        }
        Some(row.task)
    }

    fn place(&mut self, uid: &Name, attempt: u64, at: u64, on: Vec<(u32, Name)>) {
        let Some((uid, job)) = self.jobs.get_key_value(uid) else {
            return;
        };
        if job.phase != Phase::Active {
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
            let task = &mut row.task;
            let open = task.attempt == attempt && task.machine.is_none() && task.stop.is_none();
            let Some((name, there)) = self.machines.get_key_value(&machine) else {
                continue;
            };
            let usable = there.machine.stage == Stage::Use && there.machine.block == task.block;
            if !open || !usable {
                continue;
            }
            row.cold = Some(!there.has(image));
            task.machine = Some(name.clone());
            task.at = at;
            let name = (uid.clone(), index);
            self.unplaced.remove(&name);
            if let Some(there) = self.machines.get_mut(&machine) {
                // Fetches side by side share the rate, which says little of it.
                let alone = there.tasks.iter().all(|(u, i)| {
                    let other = self.jobs.get(u).and_then(|j| j.tasks.get(i));
                    other.is_none_or(|t| t.task.ran.is_some())
                });
                there.tasks.insert(name);
                if !alone && let Some(job) = self.jobs.get_mut(&uid) {
                    job.tasks.entry(index).and_modify(|t| t.cold = None);
                }
            }
            self.dirty.insert(machine);
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
            if row.task.attempt != attempt || row.task.ran.is_some() {
                continue;
            }
            row.task.ran = Some(at);
            if !std::mem::replace(&mut job.started, true) {
                self.served.count(&job.spec, |c| c.started += 1);
            }
            let machine = row.task.machine.as_ref();
            let Some(there) = machine.and_then(|m| self.machines.get_mut(m)) else {
                continue;
            };
            let spec = &job.spec;
            // A gang waits for its others, which says nothing of the fetch.
            if let (Some(cold), true) = (row.cold, spec.shape != Shape::Gang) {
                let seconds = at.saturating_sub(row.task.at) as f64 / 1000.0;
                let kind = &there.machine.kind;
                self.averages.started(kind, spec.image_gb, cold, seconds);
            }
            let types = self.types.iter().flat_map(|t| &t.types);
            let cache = types
                .filter(|t| *t.name == *there.machine.kind)
                .map(|t| t.cache_gb)
                .fold(0.0, f64::max);
            let images = &mut there.machine.images;
            images.retain(|(i, _)| **i != *spec.image);
            images.push((spec.image.as_str().into(), spec.image_gb));
            while images.len() > 1 && images.iter().map(|i| i.1).sum::<f64>() > cache {
                images.remove(0);
            }
            let ids = images.iter().map(|(i, _)| number(&mut self.images, i));
            there.images = ids.collect();
        }
    }

    fn end(&mut self, uid: &Name, attempt: u64, at: u64, how: How, tasks: &[u32]) {
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
            if job.phase != Phase::Active {
                continue;
            }
            match how {
                How::Gone => {}
                How::Failed => {
                    job.trouble.count += 1;
                    job.trouble.last = at;
                    if let Some(machine) = &task.machine {
                        job.trouble.machines.retain(|m| m != machine);
                        job.trouble.machines.push(machine.clone());
                        let excess = job.trouble.machines.len().saturating_sub(8);
                        job.trouble.machines.drain(..excess);
                        if let Some(row) = self.machines.get_mut(machine) {
                            row.failed.insert(uid.clone());
                        }
                    }
                }
                How::Done => {
                    job.done.set(*index);
                    if job.spec.shape == Shape::Gang || job.done.count() >= job.spec.tasks {
                        let spec = job.spec.clone();
                        self.finished(&spec, &task, at);
                        self.finish(uid, Phase::Done);
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
    fn finished(&mut self, spec: &JobSpec, task: &Task, at: u64) {
        let (Some(ran), Some(machine)) = (task.ran, &task.machine) else {
            return;
        };
        let Some(row) = self.machines.get_mut(machine) else {
            return;
        };
        let seconds = at.saturating_sub(ran) as f64 / 1000.0;
        let kind = &row.machine.kind;
        let predicted = self.averages.run_time(spec, kind);
        row.failed.clear();
        row.miss_s = seconds - predicted;
        if predicted.is_finite() && predicted > 0.0 {
            row.ratios.add((seconds / predicted).min(4.0), 4);
        }
        self.averages.finished(spec, kind, seconds);
    }

    fn stop(&mut self, uid: &Name, attempt: u64, why: StopWhy, index: u32) {
        let Some(row) = self.jobs.get_mut(uid).and_then(|j| j.tasks.get_mut(&index)) else {
            return;
        };
        if row.task.attempt != attempt {
            return;
        }
        match row.task.machine.clone() {
            Some(machine) => {
                row.task.stop.get_or_insert(why);
                self.dirty.insert(machine);
            }
            None => {
                self.remove(uid, index);
            }
        }
    }

    fn found(&mut self, name: Name, machine: Machine) {
        if self.machines.contains_key(&name) {
            return;
        }
        let (up, silent) = pulse(&machine);
        let counted = self.pulse.entry(machine.block.clone()).or_default();
        *counted = (counted.0 + up, counted.1 + silent);
        let block = self.blocks.entry(machine.block.clone()).or_default();
        block.insert(name.clone());
        let mut row = MachineRow::new(machine);
        let ids = row.machine.images.iter();
        row.images = ids.map(|(i, _)| number(&mut self.images, i)).collect();
        self.machines.insert(name, row);
    }

    fn deleted(&mut self, name: &Name) {
        let intended = |m: &MachineRow| m.machine.stage == Stage::Delete;
        if !self.machines.get(name).is_some_and(intended) {
            return;
        }
        if let Some(row) = self.machines.remove(name) {
            if let Some(block) = self.blocks.get_mut(&row.machine.block) {
                block.remove(name);
            }
            let (up, silent) = pulse(&row.machine);
            if let Some(counted) = self.pulse.get_mut(&row.machine.block) {
                *counted = (counted.0 - up, counted.1 - silent);
            }
            for (uid, index) in row.tasks {
                self.remove(&uid, index);
                self.settle(&uid);
            }
            self.dirty.remove(name);
        }
    }

    /// Changes a machine's record, and what is counted of its block.
    fn change(&mut self, name: &Name, change: impl FnOnce(&mut Machine)) {
        let Some(row) = self.machines.get_mut(name) else {
            return;
        };
        let before = pulse(&row.machine);
        change(&mut row.machine);
        let after = pulse(&row.machine);
        let counted = self.pulse.entry(row.machine.block.clone()).or_default();
        counted.0 = counted.0 + after.0 - before.0;
        counted.1 = counted.1 + after.1 - before.1;
    }

    /// All that the log said, as changes to an empty view.
    pub fn dump(&self) -> Vec<Op> {
        let mut out = Vec::new();
        for phase in [Phase::Done, Phase::Cancelled] {
            let jobs = self.over.iter().filter(|(_, (p, _))| *p == phase);
            let jobs: Vec<_> = jobs.map(|(uid, (_, n))| (uid.clone(), *n)).collect();
            for some in jobs.chunks(LISTED) {
                out.push(Op::Over(phase, some.to_vec()));
            }
        }
        for (name, row) in &self.machines {
            out.push(Op::Found(name.clone(), row.machine.clone()));
        }
        for (request, rental) in &self.rentals {
            out.push(Op::Rent(request.clone(), rental.clone()));
        }
        for (uid, job) in &self.jobs {
            out.push(Op::Submit(job.spec.clone(), job.at));
            if job.phase != Phase::Active {
                out.push(Op::Lingering(uid.clone(), job.phase));
            }
            for (from, digits) in job.done.parts() {
                out.push(Op::Finished(uid.clone(), from, digits));
            }
            if job.trouble != Trouble::default() {
                out.push(Op::Trouble(uid.clone(), job.trouble.clone()));
            }
            let tasks: Vec<_> = job
                .tasks
                .iter()
                .map(|(i, t)| (*i, t.task.clone()))
                .collect();
            for some in tasks.chunks(LISTED) {
                out.push(Op::Live(uid.clone(), some.to_vec()));
            }
        }
        out
    }
}
