//! This node's copy of what the state service holds.
//!
//! Changes come in the order of their revisions and are applied by rules that
//! depend on nothing else, so all nodes that have reached a revision agree. A
//! change whose ground has moved (another attempt, a job that is over, a machine
//! in another stage) does nothing: that is what makes late and repeated entries
//! harmless. Who commits must look here for what became of it.

mod apply;
pub mod served;

#[cfg(test)]
mod tests;

use crate::chance::Map;
use rushwalk_protocol::jobs::{JobSpec, JobState, Priority, Stance};
use rushwalk_protocol::records::{
    self as rec, Base, Bits, Entry, Machine, Phase, Rental, Task, Trouble,
};
use rushwalk_protocol::store::{Changes, Event, Item, Value};
use rushwalk_scheduler::capacity::Kind;
use rushwalk_scheduler::durations::{Averages, Rolling};
use rushwalk_scheduler::timeline::ImageId;
use serde::de::DeserializeOwned;
use served::Served;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

pub type Name = Arc<str>;

pub struct JobRow {
    pub spec: Arc<JobSpec>,
    pub phase: Phase,
    /// Time of day of its acceptance, in milliseconds.
    pub at: u64,
    /// Live tasks: assigned, and not yet surely gone.
    pub tasks: BTreeMap<u32, TaskRow>,
    pub done: Bits,
    pub trouble: Trouble,
    /// A task of it was seen running.
    pub started: bool,
    /// All tasks below are live or done.
    open: u32,
}

pub struct TaskRow {
    pub task: Task,
    /// Whether its fetch, alone on its machine, says something of the rate.
    cold: Option<bool>,
}

pub struct MachineRow {
    pub machine: Machine,
    pub tasks: BTreeSet<(Name, u32)>,
    /// By how much the prediction missed its latest finished task.
    pub miss_s: f64,
    /// Run times over predicted ones, of its latest finished tasks.
    ratios: Rolling,
    /// Jobs that failed on it lately, each once.
    pub failed: BTreeSet<Name>,
    /// The images of its record, by their numbers.
    pub images: Vec<ImageId>,
}

impl MachineRow {
    fn new(machine: Machine) -> MachineRow {
        MachineRow {
            machine,
            images: Vec::new(),
            tasks: BTreeSet::new(),
            miss_s: 0.0,
            ratios: Rolling::default(),
            failed: BTreeSet::new(),
        }
    }

    pub fn has(&self, image: &str) -> bool {
        self.machine.images.iter().any(|(i, _)| &**i == image)
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
    pub base: Base,
    /// A change was missed: everything must be listed again.
    pub missed: bool,
    /// A record that this program can't read. Nothing is decided on a view
    /// that lacks a part: neither guessing nor wiping would be safe.
    pub unreadable: Option<String>,
    /// Entries since the base.
    pub entries: usize,
    pub averages: Averages,
    pub leader: Option<(u64, rec::Leader)>,
    pub members: BTreeMap<String, rec::Member>,
    pub grants: BTreeMap<Name, (u64, rec::Grant)>,
    /// The newest revision at which each controller was seen to write: an entry, or
    /// its member key.
    pub wrote: BTreeMap<String, u64>,
    /// Versions of the keys that are not in the log.
    versions: HashMap<String, u64>,
    /// Versions of the log's keys.
    pub log: HashMap<String, u64>,
    pub types: Option<Arc<rec::Types>>,
    pub machines: BTreeMap<Name, MachineRow>,
    pub blocks: BTreeMap<Name, BTreeSet<Name>>,
    /// Of each block's machines, how many are up, and how many of those silent.
    pulse: HashMap<Name, (usize, usize)>,
    pub rentals: BTreeMap<Name, Rental>,
    pub jobs: Map<Name, JobRow>,
    /// Jobs that are over and have no task left.
    over: Map<Name, (Phase, u32)>,
    /// Jobs that are not over, by priority and arrival.
    pub active: BTreeSet<(Priority, u64, Name)>,
    /// Jobs that have live tasks.
    pub live: BTreeSet<Name>,
    /// Live tasks that their holder has not placed.
    pub unplaced: BTreeSet<(Name, u32)>,
    /// Machines whose tasks have changed since somebody looked.
    pub dirty: BTreeSet<Name>,
    /// Latest arrivals per class (time of day in ms), in their order.
    pub arrivals: Map<String, VecDeque<(u64, Arc<JobSpec>)>>,
    /// Numbers of images. They are this process's own.
    images: HashMap<Name, ImageId>,
    /// Who is served, since this process first listed everything.
    pub served: Served,
}

/// Arrivals kept per class.
const ARRIVALS: usize = 512;
/// Items of a list in one change of a snapshot.
const LISTED: usize = 100;

fn read<T: DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}

/// What a machine adds to the counts of its block: up, and silent.
fn pulse(machine: &Machine) -> (usize, usize) {
    let up = machine.up.is_some();
    let silent = up && machine.silent.is_some();
    (usize::from(up), usize::from(silent))
}

/// The number of an image, a new one if it has none.
fn number(images: &mut HashMap<Name, ImageId>, name: &str) -> ImageId {
    if let Some(known) = images.get(name) {
        return *known;
    }
    let next = images.len() as ImageId;
    images.insert(name.into(), next);
    next
}

impl View {
    pub fn new(averages: Averages) -> Self {
        View {
            revision: 0,
            base: Base::default(),
            missed: false,
            unreadable: None,
            entries: 0,
            averages,
            leader: None,
            members: BTreeMap::new(),
            grants: BTreeMap::new(),
            wrote: BTreeMap::new(),
            versions: HashMap::new(),
            log: HashMap::new(),
            types: None,
            machines: BTreeMap::new(),
            blocks: BTreeMap::new(),
            pulse: HashMap::new(),
            rentals: BTreeMap::new(),
            jobs: Map::default(),
            over: Map::default(),
            active: BTreeSet::new(),
            live: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            dirty: BTreeSet::new(),
            arrivals: Map::default(),
            images: HashMap::new(),
            served: Served::default(),
        }
    }

    /// An image's number; jobs' and machines' images all have one, and one that
    /// is unknown gets the next: numbers index tables, so none is far off.
    pub fn image(&self, name: &str) -> ImageId {
        let next = self.images.len() as ImageId;
        self.images.get(name).copied().unwrap_or(next)
    }

    /// Version of a key that is not in the log.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// A view made of a listing whose first page had `revision`. What is newer
    /// comes with the watch from there. `None` if the snapshot in it is not
    /// whole, having been replaced meanwhile.
    pub fn listed(items: Vec<Item>, revision: u64, now_ms: u64) -> Option<View> {
        let mut view = View::new(Averages::new(10, 0.0));
        let mut chunks: BTreeMap<String, Value> = BTreeMap::new();
        let mut entries: Vec<(u64, String, Value)> = Vec::new();
        for item in items {
            if item.version > revision {
                continue;
            }
            match item.key.split('/').nth(1) {
                Some("l") => entries.push((item.version, item.key, item.value)),
                Some("s") => {
                    chunks.insert(item.key, item.value);
                }
                _ => view.put(item.key, &item.value, item.version),
            }
        }
        let base = view.base;
        for i in 0..base.chunks {
            let key = rec::chunk_key(base.generation, i);
            let Some(chunk) = read::<Entry>(chunks.get(&key)?) else {
                view.fail(&key);
                break;
            };
            if chunk.before != base.at {
                return None;
            }
            for op in chunk.ops {
                view.apply(op, base.at, now_ms);
            }
        }
        entries.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        for (version, key, value) in entries {
            if version > base.at {
                view.entry(&key, &value, version, now_ms, true);
            }
            view.log.insert(key, version);
        }
        view.revision = revision;
        Some(view)
    }

    /// Puts a newly listed view in this one's place; what was learnt stays. Not one that
    /// is older, which comes back: a read that was sent meanwhile brings only what is
    /// newer than this one, and what lies between would be in neither.
    pub fn replace(&mut self, mut view: View) -> Result<(), Box<View>> {
        if view.revision < self.revision {
            return Err(Box::new(view));
        }
        std::mem::swap(&mut self.averages, &mut view.averages);
        if !self.served.classes.is_empty() {
            // What was counted goes on; what was missed meanwhile is not in it.
            std::mem::swap(&mut self.served, &mut view.served);
        }
        view.dirty = view.machines.keys().cloned().collect();
        *self = view;
        Ok(())
    }

    /// Takes in the changes after a revision; false if this view does not reach up to it,
    /// and would have a gap.
    pub fn watch(&mut self, since: u64, answer: Changes, now_ms: u64) -> bool {
        if since > self.revision {
            return false;
        }
        let mut events: Vec<Event> = answer.events;
        events.sort_by(|a, b| (a.version, a.key()).cmp(&(b.version, b.key())));
        let known = self.revision;
        for event in events {
            // Two reads may overlap: each change counts once, in its order.
            if event.version <= known {
                continue;
            }
            match (event.put, event.value, event.delete) {
                (Some(key), Some(value), _) => {
                    if let Some(path) = key.strip_prefix("w/l/") {
                        if let Some((member, _)) = path.split_once('/') {
                            self.wrote_at(member, event.version);
                        }
                        self.entry(&key, &value, event.version, now_ms, false);
                        self.log.insert(key, event.version);
                    } else {
                        self.put(key, &value, event.version);
                    }
                }
                (_, _, Some(key)) => self.dropped(&key),
                _ => {}
            }
        }
        self.revision = known.max(answer.revision);
        true
    }

    fn wrote_at(&mut self, member: &str, revision: u64) {
        match self.wrote.get_mut(member) {
            Some(at) => *at = revision,
            None => {
                self.wrote.insert(member.to_string(), revision);
            }
        }
    }

    fn fail(&mut self, key: &str) {
        if self.unreadable.is_none() {
            tracing::error!(key, "unreadable record, or of another layout: no decisions");
            self.unreadable = Some(key.to_string());
        }
    }

    fn entry(&mut self, key: &str, value: &Value, version: u64, now_ms: u64, listed: bool) {
        let Some(entry) = read::<Entry>(value) else {
            return self.fail(key);
        };
        // Its key was used in between, by an entry that we never saw.
        if !listed && entry.before != self.log.get(key).copied().unwrap_or(0) {
            self.missed = true;
        }
        self.entries += 1;
        for op in entry.ops {
            self.apply(op, version, now_ms);
        }
    }

    fn put(&mut self, key: String, value: &Value, version: u64) {
        let Some(path) = key.strip_prefix(rec::ROOT) else {
            return;
        };
        let known = match path.split_once('/') {
            Some(("g", block)) => read(value).map(|grant| {
                self.grants.insert(block.into(), (version, grant));
            }),
            Some(("m", member)) => read(value).map(|record| {
                self.members.insert(member.into(), record);
                self.wrote_at(member, version);
            }),
            // A snapshot says nothing that is not known already.
            Some(("s", _)) => return,
            _ if key == rec::LEADER => read(value).map(|leader| {
                self.leader = Some((version, leader));
            }),
            _ if key == rec::TYPES => read(value).map(|types| {
                self.types = Some(Arc::new(types));
            }),
            _ if key == rec::BASE => read(value).map(|base: Base| {
                self.base = base;
                self.entries = self.log.values().filter(|v| **v > base.at).count();
            }),
            _ => None,
        };
        if known.is_none() {
            self.fail(&key);
        }
        self.versions.insert(key, version);
    }

    fn dropped(&mut self, key: &str) {
        self.versions.remove(key);
        match key.strip_prefix(rec::ROOT).and_then(|p| p.split_once('/')) {
            Some(("g", block)) => {
                self.grants.remove(block);
            }
            Some(("m", member)) => {
                self.members.remove(member);
            }
            _ if key == rec::LEADER => self.leader = None,
            _ => {}
        }
    }

    /// Whether a grant's holder is a controller that lives, as far as is known.
    pub fn held(&self, grant: &rec::Grant) -> bool {
        let member = self.members.get(&grant.holder);
        member.is_some_and(|m| m.nonce == grant.nonce)
    }

    /// Whether a block still belongs to an earlier process of a controller.
    pub fn left_over(&self, member: &str, nonce: u64) -> bool {
        let mut grants = self.grants.values().map(|(_, grant)| grant);
        grants.any(|g| g.holder == member && g.nonce != nonce)
    }

    /// A live task, with its job.
    pub fn task(&self, uid: &str, index: u32) -> Option<(&JobRow, &TaskRow)> {
        let job = self.jobs.get(uid)?;
        Some((job, job.tasks.get(&index)?))
    }

    fn current(&self, uid: &str, attempt: u64, index: u32) -> Option<&TaskRow> {
        let task = self.jobs.get(uid)?.tasks.get(&index)?;
        (task.task.attempt == attempt).then_some(task)
    }

    /// How many machines of each kind there are.
    pub fn by_kind(&self) -> BTreeMap<Kind, u32> {
        let mut out = BTreeMap::new();
        for row in self.machines.values() {
            let m = &row.machine;
            let kind = Kind::new(m.kind.clone(), m.zone.clone(), m.spot);
            *out.entry(kind).or_default() += 1;
        }
        out
    }

    /// How many machines of one kind there are.
    pub fn of_kind(&self, kind: &Kind) -> u32 {
        let same = |m: &Machine| m.spot == kind.spot && m.kind == kind.name && m.zone == kind.zone;
        let same = self.machines.values().filter(|row| same(&row.machine));
        same.count() as u32
    }

    /// Of a block's machines, how many are up, and how many of those silent.
    pub fn pulse(&self, block: &str) -> (usize, usize) {
        self.pulse.get(block).copied().unwrap_or_default()
    }

    pub fn is_over(&self, uid: &str) -> bool {
        self.over.contains_key(uid) || self.jobs.get(uid).is_some_and(|j| j.phase != Phase::Active)
    }

    pub fn knows(&self, uid: &str) -> bool {
        self.over.contains_key(uid) || self.jobs.contains_key(uid)
    }

    pub fn state_of(&self, uid: &str) -> Option<JobState> {
        let (phase, tasks, done, running) = match self.jobs.get(uid) {
            Some(job) => {
                let running = job.tasks.values().filter(|t| t.task.ran.is_some()).count();
                (job.phase, job.spec.tasks, job.done.count(), running as u32)
            }
            None => {
                let (phase, tasks) = *self.over.get(uid)?;
                (phase, tasks, 0, 0)
            }
        };
        let (state, done, running) = match phase {
            Phase::Done => (Stance::Done, tasks, 0),
            Phase::Cancelled => (Stance::Cancelled, 0, 0),
            Phase::Active if running > 0 => (Stance::Running, done, running),
            Phase::Active => (Stance::Queued, done, 0),
        };
        Some(JobState {
            uid: uid.into(),
            state,
            done,
            running,
        })
    }

    /// Tasks that are neither live nor done, at most `most`.
    pub fn waiting(&mut self, uid: &str, most: usize) -> Vec<u32> {
        let Some(job) = self.jobs.get_mut(uid) else {
            return Vec::new();
        };
        let taken = |i: &u32| job.tasks.contains_key(i) || job.done.get(*i);
        let mut open = job.open;
        while open < job.spec.tasks && taken(&open) {
            open += 1;
        }
        let out = (open..job.spec.tasks)
            .filter(|i| !taken(i))
            .take(most)
            .collect();
        job.open = open;
        out
    }
}
