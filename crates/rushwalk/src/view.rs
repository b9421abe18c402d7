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

use crate::random::SeededMap;
use rushwalk_protocol::jobs::{JobSpec, JobStatus, Priority, StatusPhase};
use rushwalk_protocol::records::{
    self as rec, FailureHistory, JobPhase, LogEntry, MachineRecord, RentalRequest,
    SnapshotManifest, TaskBitmap, TaskRecord,
};
use rushwalk_protocol::store::{KeyValue, Value, WatchEvent, WatchResponse};
use rushwalk_scheduler::capacity::InstanceKind;
use rushwalk_scheduler::durations::{DurationEstimator, RollingMean};
use rushwalk_scheduler::timeline::ImageId;
use serde::de::DeserializeOwned;
use served::ServiceCounts;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

pub type Name = Arc<str>;

pub struct JobState {
    pub spec: Arc<JobSpec>,
    pub phase: JobPhase,
    /// Time of day of its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Live tasks: assigned, and not yet surely gone.
    pub tasks: BTreeMap<u32, TaskState>,
    pub completed: TaskBitmap,
    pub failures: FailureHistory,
    /// A task of it was seen running.
    pub started: bool,
    /// All tasks below are live or done.
    first_open: u32,
}

pub struct TaskState {
    pub record: TaskRecord,
    /// Whether its fetch, alone on its machine, says something of the rate.
    cold_start: Option<bool>,
}

pub struct MachineState {
    pub record: MachineRecord,
    pub tasks: BTreeSet<(Name, u32)>,
    /// By how much the prediction missed its latest finished task.
    pub prediction_error_s: f64,
    /// Run times over predicted ones, of its latest finished tasks.
    run_time_ratios: RollingMean,
    /// Jobs that failed on it lately, each once.
    pub failed_jobs: BTreeSet<Name>,
    /// The images of its record, by their numbers.
    pub image_ids: Vec<ImageId>,
}

impl MachineState {
    fn new(machine: MachineRecord) -> MachineState {
        MachineState {
            record: machine,
            image_ids: Vec::new(),
            tasks: BTreeSet::new(),
            prediction_error_s: 0.0,
            run_time_ratios: RollingMean::default(),
            failed_jobs: BTreeSet::new(),
        }
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.record.images.iter().any(|(i, _)| &**i == image)
    }

    /// By how much it is slower than its group. Guesses miss, so less than
    /// half as slow again says nothing.
    pub fn slowdown(&self) -> f64 {
        match self.run_time_ratios.mean() {
            Some(ratio) if ratio > 1.5 => ratio,
            _ => 1.0,
        }
    }
}

pub struct ClusterState {
    /// All changes up to this revision are in.
    pub revision: u64,
    pub snapshot: SnapshotManifest,
    /// A change was missed: everything must be listed again.
    pub has_gap: bool,
    /// A record that this program can't read. Nothing is decided on a view
    /// that lacks a part: neither guessing nor wiping would be safe.
    pub unreadable: Option<String>,
    /// Entries since the base.
    pub entries_since_snapshot: usize,
    pub durations: DurationEstimator,
    pub leader: Option<(u64, rec::LeaderRecord)>,
    pub members: BTreeMap<String, rec::MemberRecord>,
    pub shard_leases: BTreeMap<Name, (u64, rec::ShardLease)>,
    /// The newest revision at which each controller was seen to write: an entry, or
    /// its member key.
    pub last_writes: BTreeMap<String, u64>,
    /// Versions of the keys that are not in the log.
    key_versions: HashMap<String, u64>,
    /// Versions of the log's keys.
    pub log_versions: HashMap<String, u64>,
    pub machine_types: Option<Arc<rec::MachineTypes>>,
    pub machines: BTreeMap<Name, MachineState>,
    pub shards: BTreeMap<Name, BTreeSet<Name>>,
    /// Of each block's machines, how many are up, and how many of those silent.
    shard_counts: HashMap<Name, (usize, usize)>,
    pub rentals: BTreeMap<Name, RentalRequest>,
    pub jobs: SeededMap<Name, JobState>,
    /// Jobs that are over and have no task left.
    finished: SeededMap<Name, (JobPhase, u32)>,
    /// Jobs that are not over, by priority and arrival.
    pub active: BTreeSet<(Priority, u64, Name)>,
    /// Jobs that have live tasks.
    pub with_tasks: BTreeSet<Name>,
    /// Live tasks that their holder has not placed.
    pub unplaced: BTreeSet<(Name, u32)>,
    /// Machines whose tasks have changed since somebody looked.
    pub changed_machines: BTreeSet<Name>,
    /// Latest arrivals per class (time of day in ms), in their order.
    pub arrivals: SeededMap<String, VecDeque<(u64, Arc<JobSpec>)>>,
    /// Numbers of images. They are this process's own.
    image_ids: HashMap<Name, ImageId>,
    /// Who is served, since this process first listed everything.
    pub service_counts: ServiceCounts,
}

/// Arrivals kept per class.
const ARRIVALS: usize = 512;
/// Items of a list in one change of a snapshot.
const LISTED: usize = 100;

fn read<T: DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}

/// What a machine adds to the counts of its block: up, and silent.
fn pulse(machine: &MachineRecord) -> (usize, usize) {
    let up = machine.ready_ms.is_some();
    let silent = up && machine.unreachable_since_ms.is_some();
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

impl ClusterState {
    pub fn new(averages: DurationEstimator) -> Self {
        ClusterState {
            revision: 0,
            snapshot: SnapshotManifest::default(),
            has_gap: false,
            unreadable: None,
            entries_since_snapshot: 0,
            durations: averages,
            leader: None,
            members: BTreeMap::new(),
            shard_leases: BTreeMap::new(),
            last_writes: BTreeMap::new(),
            key_versions: HashMap::new(),
            log_versions: HashMap::new(),
            machine_types: None,
            machines: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_counts: HashMap::new(),
            rentals: BTreeMap::new(),
            jobs: SeededMap::default(),
            finished: SeededMap::default(),
            active: BTreeSet::new(),
            with_tasks: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            changed_machines: BTreeSet::new(),
            arrivals: SeededMap::default(),
            image_ids: HashMap::new(),
            service_counts: ServiceCounts::default(),
        }
    }

    /// An image's number; jobs' and machines' images all have one, and one that
    /// is unknown gets the next: numbers index tables, so none is far off.
    pub fn image_id(&self, name: &str) -> ImageId {
        let next = self.image_ids.len() as ImageId;
        self.image_ids.get(name).copied().unwrap_or(next)
    }

    /// Version of a key that is not in the log.
    pub fn key_version(&self, key: &str) -> u64 {
        self.key_versions.get(key).copied().unwrap_or(0)
    }

    /// A view made of a listing whose first page had `revision`. What is newer
    /// comes with the watch from there. `None` if the snapshot in it is not
    /// whole, having been replaced meanwhile.
    pub fn from_listing(items: Vec<KeyValue>, revision: u64, now_ms: u64) -> Option<ClusterState> {
        let mut view = ClusterState::new(DurationEstimator::new(10, 0.0));
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
        let base = view.snapshot;
        for i in 0..base.chunks {
            let key = rec::chunk_key(base.generation, i);
            let Some(chunk) = read::<LogEntry>(chunks.get(&key)?) else {
                view.fail(&key);
                break;
            };
            if chunk.previous_version != base.revision {
                return None;
            }
            for op in chunk.mutations {
                view.apply(op, base.revision, now_ms);
            }
        }
        entries.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        for (version, key, value) in entries {
            if version > base.revision {
                view.entry(&key, &value, version, now_ms, true);
            }
            view.log_versions.insert(key, version);
        }
        view.revision = revision;
        Some(view)
    }

    /// Puts a newly listed view in this one's place; what was learnt stays. Not one that
    /// is older, which comes back: a read that was sent meanwhile brings only what is
    /// newer than this one, and what lies between would be in neither.
    pub fn replace_with(&mut self, mut view: ClusterState) -> Result<(), Box<ClusterState>> {
        if view.revision < self.revision {
            return Err(Box::new(view));
        }
        std::mem::swap(&mut self.durations, &mut view.durations);
        if !self.service_counts.classes.is_empty() {
            // What was counted goes on; what was missed meanwhile is not in it.
            std::mem::swap(&mut self.service_counts, &mut view.service_counts);
        }
        view.changed_machines = view.machines.keys().cloned().collect();
        *self = view;
        Ok(())
    }

    /// Takes in the changes after a revision; false if this view does not reach up to it,
    /// and would have a gap.
    pub fn apply_watch(&mut self, since: u64, answer: WatchResponse, now_ms: u64) -> bool {
        if since > self.revision {
            return false;
        }
        let mut events: Vec<WatchEvent> = answer.events;
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
                        self.log_versions.insert(key, event.version);
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
        match self.last_writes.get_mut(member) {
            Some(at) => *at = revision,
            None => {
                self.last_writes.insert(member.to_string(), revision);
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
        let Some(entry) = read::<LogEntry>(value) else {
            return self.fail(key);
        };
        // Its key was used in between, by an entry that we never saw.
        if !listed && entry.previous_version != self.log_versions.get(key).copied().unwrap_or(0) {
            self.has_gap = true;
        }
        self.entries_since_snapshot += 1;
        for op in entry.mutations {
            self.apply(op, version, now_ms);
        }
    }

    fn put(&mut self, key: String, value: &Value, version: u64) {
        let Some(path) = key.strip_prefix(rec::ROOT) else {
            return;
        };
        let known = match path.split_once('/') {
            Some(("g", block)) => read(value).map(|grant| {
                self.shard_leases.insert(block.into(), (version, grant));
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
                self.machine_types = Some(Arc::new(types));
            }),
            _ if key == rec::BASE => read(value).map(|base: SnapshotManifest| {
                self.snapshot = base;
                self.entries_since_snapshot = self
                    .log_versions
                    .values()
                    .filter(|v| **v > base.revision)
                    .count();
            }),
            _ => None,
        };
        if known.is_none() {
            self.fail(&key);
        }
        self.key_versions.insert(key, version);
    }

    fn dropped(&mut self, key: &str) {
        self.key_versions.remove(key);
        match key.strip_prefix(rec::ROOT).and_then(|p| p.split_once('/')) {
            Some(("g", block)) => {
                self.shard_leases.remove(block);
            }
            Some(("m", member)) => {
                self.members.remove(member);
            }
            _ if key == rec::LEADER => self.leader = None,
            _ => {}
        }
    }

    /// Whether a grant's holder is a controller that lives, as far as is known.
    pub fn is_owner_registered(&self, grant: &rec::ShardLease) -> bool {
        let member = self.members.get(&grant.owner);
        member.is_some_and(|m| m.incarnation == grant.incarnation)
    }

    /// Whether a block still belongs to an earlier process of a controller.
    pub fn has_stale_lease(&self, member: &str, nonce: u64) -> bool {
        let mut grants = self.shard_leases.values().map(|(_, grant)| grant);
        grants.any(|g| g.owner == member && g.incarnation != nonce)
    }

    /// A live task, with its job.
    pub fn task(&self, uid: &str, index: u32) -> Option<(&JobState, &TaskState)> {
        let job = self.jobs.get(uid)?;
        Some((job, job.tasks.get(&index)?))
    }

    fn current(&self, uid: &str, attempt: u64, index: u32) -> Option<&TaskState> {
        let task = self.jobs.get(uid)?.tasks.get(&index)?;
        (task.record.attempt == attempt).then_some(task)
    }

    /// How many machines of each kind there are.
    pub fn machines_by_kind(&self) -> BTreeMap<InstanceKind, u32> {
        let mut out = BTreeMap::new();
        for row in self.machines.values() {
            let m = &row.record;
            let kind = InstanceKind::new(m.machine_type.clone(), m.zone.clone(), m.spot);
            *out.entry(kind).or_default() += 1;
        }
        out
    }

    /// How many machines of one kind there are.
    pub fn count_of_kind(&self, kind: &InstanceKind) -> u32 {
        let same = |m: &MachineRecord| {
            m.spot == kind.spot && m.machine_type == kind.machine_type && m.zone == kind.zone
        };
        let same = self.machines.values().filter(|row| same(&row.record));
        same.count() as u32
    }

    /// Of a block's machines, how many are up, and how many of those silent.
    pub fn shard_counts(&self, block: &str) -> (usize, usize) {
        self.shard_counts.get(block).copied().unwrap_or_default()
    }

    pub fn is_finished(&self, uid: &str) -> bool {
        self.finished.contains_key(uid)
            || self
                .jobs
                .get(uid)
                .is_some_and(|j| j.phase != JobPhase::Active)
    }

    pub fn knows(&self, uid: &str) -> bool {
        self.finished.contains_key(uid) || self.jobs.contains_key(uid)
    }

    pub fn job_status(&self, uid: &str) -> Option<JobStatus> {
        let (phase, tasks, done, running) = match self.jobs.get(uid) {
            Some(job) => {
                let running = job
                    .tasks
                    .values()
                    .filter(|t| t.record.started_ms.is_some())
                    .count();
                (
                    job.phase,
                    job.spec.tasks,
                    job.completed.count(),
                    running as u32,
                )
            }
            None => {
                let (phase, tasks) = *self.finished.get(uid)?;
                (phase, tasks, 0, 0)
            }
        };
        let (state, done, running) = match phase {
            JobPhase::Done => (StatusPhase::Done, tasks, 0),
            JobPhase::Cancelled => (StatusPhase::Cancelled, 0, 0),
            JobPhase::Active if running > 0 => (StatusPhase::Running, done, running),
            JobPhase::Active => (StatusPhase::Queued, done, 0),
        };
        Some(JobStatus {
            job: uid.into(),
            phase: state,
            done,
            running,
        })
    }

    /// Tasks that are neither live nor done, at most `most`.
    pub fn unassigned_tasks(&mut self, uid: &str, most: usize) -> Vec<u32> {
        let Some(job) = self.jobs.get_mut(uid) else {
            return Vec::new();
        };
        let taken = |i: &u32| job.tasks.contains_key(i) || job.completed.contains(*i);
        let mut open = job.first_open;
        while open < job.spec.tasks && taken(&open) {
            open += 1;
        }
        let out = (open..job.spec.tasks)
            .filter(|i| !taken(i))
            .take(most)
            .collect();
        job.first_open = open;
        out
    }
}
