//! Once all troubles are over, no job waits for long while a machine that fits has room
//! and its team is under its limit.

use super::{Place, Rules};
use rushwalk_protocol::jobs::{JobSpec, Shape};
use std::time::Duration;
use tokio::time::Instant;

/// A machine that works, and what is free on it.
#[derive(Debug, Clone)]
pub struct Room {
    pub machine: String,
    pub zone: String,
    pub kind: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Room {
    fn at(&self) -> Place<'_> {
        Place {
            machine: &self.machine,
            zone: &self.zone,
            kind: &self.kind,
            spot: self.spot,
        }
    }

    /// Whether it has room for a task of a job.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        self.fits(spec) > 0
    }

    /// How many tasks of a job it has room for.
    fn fits(&self, spec: &JobSpec) -> usize {
        let each = |free: f64, one: f64| match one > 0.0 {
            true => ((free + 1e-6) / one).max(0.0) as usize,
            false => usize::MAX,
        };
        each(self.cpus, spec.cpus)
            .min(each(self.gpus, spec.gpus))
            .min(each(self.memory_gb, spec.memory_gb))
    }
}

const LEFT: Duration = Duration::from_secs(90);

impl Rules {
    /// To be called often, with all machines that work.
    pub fn look_who_waits(&mut self, rooms: &[Room]) {
        if self.calm_since.is_none() {
            return;
        }
        let neglected: Vec<String> = (self.told.iter())
            .filter(|(uid, h)| {
                let wanted = h.accepted.is_some() && !h.wants_to_cancel();
                wanted && !self.mistaken.contains(*uid) && self.could_start(uid, rooms)
            })
            .map(|(uid, _)| uid.clone())
            .collect();
        self.waits.retain(|uid, _| neglected.contains(uid));
        for uid in neglected {
            let since = self.waits.entry(uid.clone());
            let waited = since.or_insert_with(Instant::now).elapsed();
            self.waited = self.waited.max(waited);
            if waited > LEFT {
                self.broken.push(format!("left waiting: {uid}"));
            }
        }
    }

    /// Whether a task of it, or all of a gang's, could start now.
    fn could_start(&self, uid: &str, rooms: &[Room]) -> bool {
        let Some(spec) = self.jobs.get(uid) else {
            return false;
        };
        let there = |i: &u32| {
            let name = (uid.to_string(), *i);
            self.done.contains_key(&name) || self.on.get(&name).is_some_and(|on| !on.is_empty())
        };
        let open: Vec<u32> = (0..spec.tasks).filter(|i| !there(i)).collect();
        let (Some(first), gang) = (open.first(), spec.shape == Shape::Gang) else {
            return false;
        };
        // A gang of whose attempt some tasks are still there waits for their end.
        if gang && open.len() < spec.tasks as usize {
            return false;
        }
        let n = if gang { f64::from(spec.tasks) } else { 1.0 };
        let used = self.used().get(spec.team.as_str()).copied();
        let used = used.unwrap_or_default();
        let limit = self.limits.get(&spec.team).copied().unwrap_or_default();
        let within = |used: f64, more: f64, most: f64| most <= 0.0 || used + more <= most + 1e-6;
        if !within(used.cpus, n * spec.cpus, limit.cpus)
            || !within(used.gpus, n * spec.gpus, limit.gpus)
        {
            return false;
        }
        let fit = rooms
            .iter()
            .filter(|room| !self.misplaced(uid, *first, &room.at()))
            .map(|room| (room.zone.as_str(), room.fits(spec)));
        match (gang, spec.one_zone) {
            (false, _) => fit.map(|(_, n)| n).any(|n| n > 0),
            (true, false) => fit.map(|(_, n)| n).sum::<usize>() >= spec.tasks as usize,
            (true, true) => {
                let mut zones: std::collections::BTreeMap<&str, usize> = Default::default();
                fit.for_each(|(zone, n)| *zones.entry(zone).or_default() += n);
                zones.values().any(|n| *n >= spec.tasks as usize)
            }
        }
    }
}
