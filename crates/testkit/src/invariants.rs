//! The protocol's rules, checked as tasks start and users are answered.
//!
//! What users are told is judged as a history of invocations and responses: a request
//! that was sent after an answer had arrived, from whichever controller, must not be told
//! anything older; requests that overlap may go either way.

mod history;
#[cfg(test)]
mod tests;
mod waiting;

use history::History;
pub use history::Request;
use rushwalk_protocol::jobs::{JobSpec, Shape, StatusPhase};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
pub use waiting::Room;

/// A machine as far as the rules look at it.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    pub machine: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub spot: bool,
}

/// What a team may use; 0 means no limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    pub cpus: f64,
    pub gpus: f64,
}

#[derive(Default)]
pub struct Rules {
    pub jobs: HashMap<String, JobSpec>,
    pub limits: BTreeMap<String, Limit>,
    pub cancel: Duration,
    /// Where each task is.
    on: BTreeMap<(String, u32), Vec<String>>,
    /// The zone where each task last started.
    zones: HashMap<(String, u32), String>,
    done: BTreeMap<(String, u32), bool>,
    cancelled: HashMap<String, Instant>,
    pub broken: Vec<String>,
    pub started: usize,
    /// Jobs whose tasks fail wherever they start, and machines on which all do.
    pub mistaken: HashSet<String>,
    pub faulty: HashSet<String>,
    /// Starts that failed for either.
    pub failed: usize,
    /// Run times of tasks that take another time than their job's estimate.
    pub takes_s: HashMap<(String, u32), f64>,
    /// How often tasks of each job were started.
    pub starts_of: HashMap<String, usize>,
    /// Starts of tasks that were done already.
    pub after_done: usize,
    /// Starts after a confirmed cancellation, and how long after it at most.
    pub after_cancel: (usize, Duration),
    /// Submissions that can never run or lack a field.
    pub bad: HashSet<String>,
    /// What users were told of each job.
    told: BTreeMap<String, History>,
    /// Counts requests and answers in their order: two may fall on one moment.
    order: u64,
    /// Since when no question about a job was answered.
    unanswered: HashMap<String, Instant>,
    /// The latest questions of all, and whether they were answered.
    questions: VecDeque<(Instant, bool)>,
    /// When the last trouble was over.
    pub calm_since: Option<Instant>,
    /// The longest from a confirmed cancellation to the end of the last task.
    pub cancelled_for: Duration,
    /// When a task of each job first started.
    begun: HashMap<String, Instant>,
    /// Since when each job waits though a machine that fits has room.
    waits: BTreeMap<String, Instant>,
    /// The longest that any did.
    pub waited: Duration,
    /// Told of each job whose last task has just completed.
    pub completed: Option<UnboundedSender<String>>,
}

/// For so long every question about a job may fail while most others are answered, and
/// for so long however others fare, once all troubles are over.
const FORGOTTEN: Duration = Duration::from_secs(90);
const FORGOTTEN_CALM: Duration = Duration::from_secs(75);
/// Within this time a class's largest jobs begin.
const BEGIN: Duration = Duration::from_secs(240);

impl Rules {
    /// Whether a task fails as it starts.
    pub fn fails(&mut self, uid: &str, machine: &str) -> bool {
        let fails = self.mistaken.contains(uid) || self.faulty.contains(machine);
        self.failed += usize::from(fails);
        fails
    }

    /// A user sends a request; what is returned goes with its answer.
    pub fn sends(&mut self, request: Request, uid: &str) -> u64 {
        if request == Request::Cancel {
            self.asks_to_cancel(uid);
        }
        self.order += 1;
        self.order
    }

    /// What a user was answered to a request; `None` if nothing.
    pub fn answered(
        &mut self,
        request: Request,
        uid: &str,
        sent: u64,
        status: Option<u16>,
        stance: Option<StatusPhase>,
    ) {
        self.order += 1;
        let history = self.told.entry(uid.into()).or_default();
        let broken = history.answer(request, (sent, self.order), status, stance);
        let broken = broken.into_iter().map(|line| format!("{line} ({uid})"));
        self.broken.extend(broken);
        if request == Request::Submit && matches!(status, Some(200 | 201)) && self.bad.contains(uid)
        {
            self.broken.push(format!("accepted though bad: {uid}"));
        }
        if let (Some(200 | 201), Some(stance)) = (status, stance) {
            self.told(uid, stance);
        }
        if request == Request::Ask {
            self.asked(uid, status);
        }
    }

    /// Whether every question about a job fails.
    fn asked(&mut self, uid: &str, status: Option<u16>) {
        let answered = matches!(status, Some(200 | 404));
        self.questions.push_back((Instant::now(), answered));
        while self
            .questions
            .front()
            .is_some_and(|q| q.0.elapsed() > FORGOTTEN)
        {
            self.questions.pop_front();
        }
        if answered {
            self.unanswered.remove(uid);
            return;
        }
        let since = self.unanswered.entry(uid.into());
        let since = since.or_insert_with(Instant::now);
        let calm = self.calm_since.map(|at| at.max(*since));
        let told = self.questions.iter().filter(|q| q.1).count();
        let most = 2 * told > self.questions.len();
        if most && since.elapsed() > FORGOTTEN
            || calm.is_some_and(|at| at.elapsed() > FORGOTTEN_CALM)
        {
            self.broken.push(format!("forgotten: {uid}"));
        }
    }

    fn told(&mut self, uid: &str, stance: StatusPhase) {
        if !self.jobs.contains_key(uid) {
            self.broken.push(format!("invented: {uid}"));
        }
        match stance {
            StatusPhase::Done => self.told_done(uid),
            StatusPhase::Cancelled => {
                self.cancelled
                    .entry(uid.to_string())
                    .or_insert_with(Instant::now);
            }
            _ => {}
        }
    }

    /// A user is about to ask for a cancellation.
    pub fn asks_to_cancel(&mut self, uid: &str) {
        self.told.entry(uid.into()).or_default().asks_to_cancel();
    }

    /// Whether a place is not one that the job and its other tasks leave to this one.
    fn misplaced(&self, uid: &str, index: u32, at: &Place) -> bool {
        let Some(spec) = self.jobs.get(uid) else {
            return false;
        };
        let others = self
            .on
            .range((uid.to_string(), 0)..=(uid.to_string(), u32::MAX))
            .filter(|((_, i), places)| *i != index && !places.is_empty());
        let zones: Vec<&String> = others
            .filter_map(|(name, _)| self.zones.get(name))
            .collect();
        let same = zones.iter().filter(|z| *z == &at.zone).count();
        spec.zone.as_ref().is_some_and(|z| z != at.zone)
            || spec.one_zone && same < zones.len()
            || spec.spread && same + 1 > (spec.tasks as usize).div_ceil(2)
            || at.spot && !spec.spot
            || (spec.types.as_ref()).is_some_and(|types| !types.iter().any(|t| t == at.kind))
    }

    /// CPUs and GPUs that each team's tasks use.
    fn used(&self) -> HashMap<&str, Limit> {
        let mut used: HashMap<&str, Limit> = HashMap::new();
        for ((uid, _), places) in &self.on {
            if let (Some(spec), false) = (self.jobs.get(uid), places.is_empty()) {
                let team = used.entry(&spec.team).or_default();
                team.cpus += spec.cpus;
                team.gpus += spec.gpus;
            }
        }
        used
    }

    pub fn starts(&mut self, uid: &str, index: u32, at: &Place) {
        self.started += 1;
        *self.starts_of.entry(uid.into()).or_default() += 1;
        self.begun.entry(uid.into()).or_insert_with(Instant::now);
        let name = (uid.to_string(), index);
        self.after_done += usize::from(self.done.contains_key(&name));
        if self.misplaced(uid, index, at) {
            self.broken
                .push(format!("wrong_place: {uid}/{index} {at:?}"));
        }
        self.zones.insert(name.clone(), at.zone.into());
        let places = self.on.entry(name).or_default();
        if places.iter().any(|m| m != at.machine) {
            let line = format!("ran_twice: {uid}/{index} on {} and {places:?}", at.machine);
            self.broken.push(line);
        }
        places.push(at.machine.to_string());
        if let Some(confirmed) = self.cancelled.get(uid).map(Instant::elapsed) {
            self.after_cancel.0 += 1;
            self.after_cancel.1 = self.after_cancel.1.max(confirmed);
            if confirmed > self.cancel {
                self.broken.push(format!("ran_cancelled: {uid}/{index}"));
            }
        }
        let used = self.used();
        let over = |used: f64, most: f64| most > 0.0 && used > most + 1e-6;
        let mut lines = Vec::new();
        for (team, limit) in &self.limits {
            let used = used.get(team.as_str()).copied().unwrap_or_default();
            if over(used.cpus, limit.cpus) || over(used.gpus, limit.gpus) {
                lines.push(format!("quota: {team}"));
            }
        }
        self.broken.extend(lines);
    }

    pub fn gone(&mut self, uid: &str, index: u32, machine: &str, done: bool) {
        let name = (uid.to_string(), index);
        let Some(places) = self.on.get_mut(&name) else {
            return;
        };
        let before = places.len();
        places.retain(|m| m != machine);
        if let Some(at) = self.cancelled.get(uid).filter(|_| places.len() < before) {
            self.cancelled_for = self.cancelled_for.max(at.elapsed());
        }
        if done {
            // A gang's tasks complete together: when one is done, all are.
            let spec = self.jobs.get(uid);
            let gang = spec.filter(|s| s.shape == Shape::Gang);
            for i in 0..gang.map_or(0, |s| s.tasks) {
                self.done.insert((uid.to_string(), i), true);
            }
            self.done.insert(name, true);
            if let Some(tell) = self.completed.as_ref().filter(|_| self.complete(uid)) {
                let _ = tell.send(uid.into());
            }
        }
    }

    /// Whether all tasks of a job are done.
    fn complete(&self, uid: &str) -> bool {
        let Some(spec) = self.jobs.get(uid) else {
            return false;
        };
        let all = (uid.to_string(), 0)..=(uid.to_string(), u32::MAX);
        self.done.range(all).count() as u32 >= spec.tasks
    }

    fn told_done(&mut self, uid: &str) {
        if self.jobs.contains_key(uid) && !self.complete(uid) {
            self.broken.push(format!("not_done: {uid}"));
        }
    }

    /// Cancelled tasks that are still somewhere after their time.
    pub fn sweep(&mut self) {
        for ((uid, index), places) in &self.on {
            let late = self
                .cancelled
                .get(uid)
                .is_some_and(|at| at.elapsed() > self.cancel);
            if late && !places.is_empty() {
                self.broken.push(format!("ran_cancelled: {uid}/{index}"));
            }
        }
    }

    /// At the end of a day: half of each class, of each team and of a class's largest jobs
    /// must have begun, the largest within four minutes. Jobs cancelled before they began
    /// are nobody's fault.
    pub fn served(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, Vec<(f64, &str)>> = BTreeMap::new();
        for (uid, history) in &self.told {
            let Some(spec) = self.jobs.get(uid).filter(|_| history.accepted.is_some()) else {
                continue;
            };
            if history.wants_to_cancel() && !self.begun.contains_key(uid) {
                continue;
            }
            let size = f64::from(spec.tasks) * spec.gpus.max(spec.cpus);
            for group in [
                format!("class {}", spec.class),
                format!("team {}", spec.team),
            ] {
                groups.entry(group).or_default().push((size, uid.as_str()));
            }
        }
        let mut lines = Vec::new();
        let begun = |uid: &&str| self.begun.contains_key(*uid);
        for (group, mut jobs) in groups {
            let share = |all: &[(f64, &str)]| {
                let began = all.iter().filter(|(_, uid)| begun(uid)).count();
                (began, all.len())
            };
            let mut check = |name: String, (began, all): (usize, usize)| {
                if 2 * began < all {
                    lines.push(format!("half served: {began} of {all} of {name}"));
                }
            };
            check(group.clone(), share(&jobs));
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by(|a, b| b.0.total_cmp(&a.0));
            let largest = &jobs[..jobs.len().div_ceil(3)];
            check(format!("largest of {group}"), share(largest));
            for (_, uid) in largest {
                let accepted = self.told.get(*uid).and_then(|h| h.accepted);
                let began = self.begun.get(*uid);
                if let (Some(accepted), Some(began)) = (accepted, began)
                    && *began > accepted + BEGIN
                {
                    lines.push(format!("largest begun late: {uid}"));
                }
            }
        }
        lines
    }

    /// Numbers of the machines that a job's tasks are on.
    pub fn machines(&self, uid: &str) -> Vec<usize> {
        let of = self.on.iter().filter(|((u, _), _)| u == uid);
        let names = of.flat_map(|(_, places)| places);
        names
            .filter_map(|m| m.strip_prefix("i-")?.parse().ok())
            .collect()
    }

    pub fn running(&self) -> usize {
        self.on.values().filter(|places| !places.is_empty()).count()
    }
}
