//! This node's copy of what the state service holds.
//!
//! It is fed by listings, watches and our own commits, in any order: a key's
//! version decides which value is the newer one.

use rushwalk_plan::predict::{Averages, Rolling};
use rushwalk_wire::jobs::{JobSpec, JobState, Stance, parse_task};
use rushwalk_wire::records::{self as rec, Bits, Phase};
use rushwalk_wire::state::{Event, Item, Write};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

pub struct JobRow {
    pub version: u64,
    pub job: rec::Job,
    /// Live tasks: assigned, and not yet surely gone.
    pub tasks: BTreeMap<u32, TaskRow>,
}

#[derive(Clone)]
pub struct TaskRow {
    pub version: u64,
    /// Whether its machine lacked the image when it was placed, if we saw it.
    cold: Option<bool>,
    pub task: rec::Task,
}

pub struct MachineRow {
    pub version: u64,
    pub machine: rec::Machine,
    pub tasks: BTreeSet<(String, u32)>,
    /// By how much the prediction missed its latest finished task.
    pub miss_s: f64,
    /// Run times over predicted ones, of its latest finished tasks.
    ratios: Rolling,
}

impl MachineRow {
    pub fn has(&self, image: &str) -> bool {
        self.machine.images.iter().any(|(i, _)| i == image)
    }

    /// By how much it is slower than its group. Guesses miss, so less than
    /// half as slow again says nothing.
    pub fn slow(&self) -> f64 {
        match self.ratios.mean() {
            Some(ratio) if ratio > 1.5 => ratio,
            _ => 1.0,
        }
    }
}

pub struct View {
    /// All changes up to this revision are in.
    pub revision: u64,
    /// The newest version taken in, and what must be reached before deciding.
    newest: u64,
    floor: u64,
    pub averages: Averages,
    versions: HashMap<String, u64>,
    /// Keys known to be dropped at a revision that the watch has not reached.
    dropped: HashMap<String, u64>,
    pub leader: Option<(u64, rec::Leader)>,
    pub members: BTreeMap<String, rec::Member>,
    pub grants: BTreeMap<String, (u64, rec::Grant)>,
    pub machines: BTreeMap<String, MachineRow>,
    pub rentals: BTreeMap<String, (u64, rec::Rental)>,
    pub jobs: HashMap<String, JobRow>,
    /// Jobs that are not over, by priority and arrival.
    pub active: BTreeSet<(rushwalk_wire::jobs::Priority, u64, String)>,
    /// Jobs that have live tasks.
    pub live: BTreeSet<String>,
    /// Finished tasks of jobs that are not over.
    parts: HashMap<String, BTreeMap<u32, (u64, Bits)>>,
    pub troubles: HashMap<String, (u64, rec::Trouble)>,
    pub types: Option<Arc<rec::Types>>,
    /// Latest arrivals per class (time of day in ms), in their order.
    pub arrivals: HashMap<String, VecDeque<(u64, Arc<JobSpec>)>>,
    ended: Vec<(String, u32, rec::Task)>,
}

/// Arrivals kept per class.
const ARRIVALS: usize = 256;

fn read<T: DeserializeOwned>(key: &str, value: Option<Value>) -> Option<T> {
    match serde_json::from_value(value?) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "unreadable record");
            None
        }
    }
}

impl View {
    pub fn new(averages: Averages) -> Self {
        View {
            revision: 0,
            newest: 0,
            floor: 0,
            averages,
            versions: HashMap::new(),
            dropped: HashMap::new(),
            leader: None,
            members: BTreeMap::new(),
            grants: BTreeMap::new(),
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            jobs: HashMap::new(),
            active: BTreeSet::new(),
            live: BTreeSet::new(),
            parts: HashMap::new(),
            troubles: HashMap::new(),
            types: None,
            arrivals: HashMap::new(),
            ended: Vec::new(),
        }
    }

    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// A view made of a listing whose first page had `revision`.
    pub fn listed(items: Vec<Item>, revision: u64, now_ms: u64) -> View {
        let mut view = View::new(Averages::new(1, 0.0));
        for item in items {
            view.apply(&item.key, Some(item.value), item.version, now_ms);
        }
        view.revision = revision;
        view
    }

    /// Puts a newly listed view in this one's place; what was learnt stays.
    pub fn replace(&mut self, mut view: View) {
        std::mem::swap(&mut self.averages, &mut view.averages);
        // Commits of ours may be newer than the listing: nothing is decided
        // before the watch has brought them back.
        view.floor = self.newest;
        view.newest = view.newest.max(self.newest);
        *self = view;
    }

    /// Whether all that this node ever saw or did is in.
    pub fn whole(&self) -> bool {
        self.revision >= self.floor
    }

    pub fn watch(&mut self, events: Vec<Event>, revision: u64, now_ms: u64) {
        for event in events {
            match event {
                Event::Put {
                    key,
                    value,
                    version,
                } => self.apply(&key, Some(value), version, now_ms),
                Event::Delete { key, version } => self.apply(&key, None, version, now_ms),
            }
        }
        self.revision = self.revision.max(revision);
        let reached = self.revision;
        self.dropped.retain(|_, at| *at > reached);
        self.sample(now_ms);
    }

    /// Our own commit went through at `revision`.
    pub fn committed(&mut self, writes: &[Write], revision: u64, now_ms: u64) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => {
                    self.apply(key, Some(value.clone()), revision, now_ms)
                }
                Write::Delete { key } => self.apply(key, None, revision, now_ms),
            }
        }
        self.sample(now_ms);
    }

    fn apply(&mut self, key: &str, value: Option<Value>, version: u64, now_ms: u64) {
        let known = self
            .version(key)
            .max(self.dropped.get(key).copied().unwrap_or(0));
        // Older than what we have, or the same change from another source: an
        // answer that comes late must not bring back what was dropped since.
        if version <= known || version <= self.revision {
            return;
        }
        self.newest = self.newest.max(version);
        match &value {
            Some(_) => {
                self.versions.insert(key.to_string(), version);
                self.dropped.remove(key);
            }
            None => {
                self.versions.remove(key);
                self.dropped.insert(key.to_string(), version);
            }
        }
        let Some(path) = key.strip_prefix(rec::ROOT) else {
            return;
        };
        match path.split_once('/') {
            Some(("t", name)) => {
                if let Some((uid, index)) = parse_task(name) {
                    let record = read(key, value);
                    self.apply_task(uid, index, record, version);
                }
            }
            Some(("j", uid)) => {
                let record = read(key, value);
                self.apply_job(uid, record, version, now_ms);
            }
            Some(("d", name)) => {
                let Some((uid, part)) = parse_task(name) else {
                    return;
                };
                match read(key, value) {
                    Some(bits) => {
                        let parts = self.parts.entry(uid.to_string()).or_default();
                        parts.insert(part, (version, bits));
                    }
                    None => {
                        self.parts.remove(uid);
                    }
                }
            }
            Some(("i", name)) => match read::<rec::Machine>(key, value) {
                Some(machine) => match self.machines.get_mut(name) {
                    Some(row) => (row.version, row.machine) = (version, machine),
                    None => {
                        let mut row = MachineRow {
                            version,
                            machine,
                            tasks: BTreeSet::new(),
                            miss_s: 0.0,
                            ratios: Rolling::default(),
                        };
                        // Its tasks may be known before it, after a listing.
                        for uid in &self.live {
                            let tasks = self.jobs.get(uid).map(|j| &j.tasks);
                            for (index, t) in tasks.into_iter().flatten() {
                                if t.task.machine.as_deref() == Some(name) {
                                    row.tasks.insert((uid.clone(), *index));
                                }
                            }
                        }
                        self.machines.insert(name.to_string(), row);
                    }
                },
                None => {
                    self.machines.remove(name);
                }
            },
            Some(("g", block)) => match read(key, value) {
                Some(grant) => {
                    self.grants.insert(block.to_string(), (version, grant));
                }
                None => {
                    self.grants.remove(block);
                }
            },
            Some(("m", member)) => match read(key, value) {
                Some(record) => {
                    self.members.insert(member.to_string(), record);
                }
                None => {
                    self.members.remove(member);
                }
            },
            Some(("r", request)) => match read(key, value) {
                Some(rental) => {
                    self.rentals.insert(request.to_string(), (version, rental));
                }
                None => {
                    self.rentals.remove(request);
                }
            },
            Some(("x", uid)) => match read(key, value) {
                Some(trouble) => {
                    self.troubles.insert(uid.to_string(), (version, trouble));
                }
                None => {
                    self.troubles.remove(uid);
                }
            },
            _ if key == rec::LEADER => {
                self.leader = read(key, value).map(|leader| (version, leader));
            }
            _ if key == rec::TYPES => self.types = read(key, value).map(Arc::new),
            _ => {}
        }
    }

    fn apply_job(&mut self, uid: &str, job: Option<rec::Job>, version: u64, now_ms: u64) {
        let Some(job) = job else { return };
        let entry = (job.spec.priority, job.at, uid.to_string());
        if job.phase == Phase::Active {
            self.active.insert(entry);
        } else {
            self.active.remove(&entry);
        }
        match self.jobs.get_mut(uid) {
            Some(row) => (row.version, row.job) = (version, job),
            None => {
                if job.at + 600_000 > now_ms {
                    let spec = job.spec.clone();
                    let times = self.arrivals.entry(spec.class.clone()).or_default();
                    // A listing brings jobs by name, not by time.
                    let after = times.partition_point(|(at, _)| *at <= job.at);
                    times.insert(after, (job.at, spec));
                    if times.len() > ARRIVALS {
                        times.pop_front();
                    }
                }
                let row = JobRow {
                    version,
                    job,
                    tasks: BTreeMap::new(),
                };
                self.jobs.insert(uid.to_string(), row);
            }
        }
    }

    fn apply_task(&mut self, uid: &str, index: u32, task: Option<rec::Task>, version: u64) {
        let Some(row) = self.jobs.get_mut(uid) else {
            return;
        };
        let name = (uid.to_string(), index);
        let old = row.tasks.remove(&index);
        if let Some(m) = old.as_ref().and_then(|t| t.task.machine.as_ref())
            && let Some(machine) = self.machines.get_mut(m)
        {
            machine.tasks.remove(&name);
        }
        let Some(task) = task else {
            if let Some(old) = old {
                self.ended.push((name.0, index, old.task));
            }
            if row.tasks.is_empty() {
                self.live.remove(uid);
            }
            return;
        };
        let mut cold = old.as_ref().and_then(|t| t.cold);
        if let Some(m) = &task.machine
            && let Some(machine) = self.machines.get_mut(m)
        {
            machine.tasks.insert(name);
            let spec = &row.job.spec;
            let placed = old.as_ref().is_some_and(|t| t.task.machine.is_none());
            if placed {
                cold = Some(!machine.has(&spec.image));
            }
            let first = old.as_ref().is_some_and(|t| t.task.ran.is_none());
            // A gang waits for its others, which says nothing of the fetch.
            if let (Some(ran), true, Some(cold), 1) = (task.ran, first, cold, spec.tasks) {
                let seconds = ran.saturating_sub(task.at) as f64 / 1000.0;
                let kind = &machine.machine.kind;
                self.averages.started(kind, spec.image_gb, cold, seconds);
            }
        }
        let live = TaskRow {
            version,
            cold,
            task,
        };
        row.tasks.insert(index, live);
        self.live.insert(uid.to_string());
    }

    /// Learns from tasks that ended in the latest changes.
    fn sample(&mut self, now_ms: u64) {
        for (uid, index, task) in std::mem::take(&mut self.ended) {
            let Some(row) = self.jobs.get(&uid) else {
                continue;
            };
            let over = row.job.phase == Phase::Done || self.is_done(&uid, index);
            let (Some(ran), Some(name)) = (task.ran, &task.machine) else {
                continue;
            };
            let spec = row.job.spec.clone();
            if let Some(machine) = self.machines.get_mut(name)
                && over
            {
                let seconds = now_ms.saturating_sub(ran) as f64 / 1000.0;
                let kind = &machine.machine.kind;
                let predicted = self.averages.run_time(&spec, kind);
                tracing::debug!(uid, index, machine = name, seconds, predicted, "finished");
                machine.miss_s = seconds - predicted;
                if predicted.is_finite() && predicted > 0.0 {
                    machine.ratios.add((seconds / predicted).min(4.0), 4);
                }
                self.averages.finished(&spec, kind, seconds);
            }
        }
        // Records of finished tasks serve no one once their job is over.
        self.parts.retain(|uid, _| {
            self.jobs
                .get(uid)
                .is_none_or(|j| j.job.phase == Phase::Active)
        });
    }

    pub fn is_done(&self, uid: &str, index: u32) -> bool {
        self.parts
            .get(uid)
            .and_then(|parts| parts.get(&(index / rec::PART)))
            .is_some_and(|(_, bits)| bits.get(index % rec::PART))
    }

    pub fn done_count(&self, uid: &str) -> u32 {
        let parts = self.parts.get(uid).into_iter().flatten();
        parts.map(|(_, (_, bits))| bits.count()).sum()
    }

    pub fn part(&self, uid: &str, part: u32) -> (u64, Bits) {
        self.parts
            .get(uid)
            .and_then(|parts| parts.get(&part))
            .cloned()
            .unwrap_or_default()
    }

    pub fn part_versions(&self, uid: &str) -> Vec<(u32, u64)> {
        let parts = self.parts.get(uid).into_iter().flatten();
        parts
            .map(|(part, (version, _))| (*part, *version))
            .collect()
    }

    pub fn state_of(&self, uid: &str) -> Option<JobState> {
        let row = self.jobs.get(uid)?;
        let running = row.tasks.values().filter(|t| t.task.ran.is_some()).count() as u32;
        let (state, done, running) = match row.job.phase {
            Phase::Done => (Stance::Done, row.job.spec.tasks, 0),
            Phase::Cancelled => (Stance::Cancelled, 0, 0),
            Phase::Active if running > 0 => (Stance::Running, self.done_count(uid), running),
            Phase::Active => (Stance::Queued, self.done_count(uid), 0),
        };
        Some(JobState {
            uid: uid.into(),
            state,
            done,
            running,
        })
    }

    /// Tasks that are neither live nor done, at most `most`.
    pub fn waiting(&self, uid: &str, most: usize) -> Vec<u32> {
        let Some(row) = self.jobs.get(uid) else {
            return Vec::new();
        };
        (0..row.job.spec.tasks)
            .filter(|i| !row.tasks.contains_key(i) && !self.is_done(uid, *i))
            .take(most)
            .collect()
    }
}
