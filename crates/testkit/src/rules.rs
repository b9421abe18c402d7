//! The protocol's rules, checked as tasks start and users are answered.

use rushwalk_wire::jobs::{JobSpec, Shape, Stance};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
pub struct Rules {
    pub jobs: HashMap<String, JobSpec>,
    /// Limits in GPUs, per team.
    pub limits: HashMap<String, f64>,
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
    /// Jobs whose users were told that they are accepted, or asked to cancel them.
    accepted: HashSet<String>,
    asked_to_cancel: HashSet<String>,
    /// Final states that users were told.
    final_states: HashMap<String, Stance>,
    /// Since when no question about a job was answered.
    unanswered: HashMap<String, Instant>,
    /// The latest questions of all, and whether they were answered.
    questions: VecDeque<(Instant, bool)>,
    /// When the last trouble was over.
    pub calm_since: Option<Instant>,
    /// The longest from a confirmed cancellation to the end of the last task.
    pub cancelled_for: Duration,
}

/// For so long every question about a job may fail while most others are answered, and
/// for so long however others fare, once all troubles are over.
const FORGOTTEN: Duration = Duration::from_secs(90);
const FORGOTTEN_CALM: Duration = Duration::from_secs(75);

impl Rules {
    /// Whether a task fails as it starts.
    pub fn fails(&mut self, uid: &str, machine: &str) -> bool {
        let fails = self.mistaken.contains(uid) || self.faulty.contains(machine);
        self.failed += usize::from(fails);
        fails
    }

    /// What a user was answered who submitted a job, or submitted it again.
    pub fn submitted(&mut self, uid: &str, status: u16) {
        match status {
            200 | 201 => {
                self.accepted.insert(uid.into());
            }
            400 | 422 if self.accepted.contains(uid) => {
                self.broken
                    .push(format!("forgotten: {uid} answered {status}"));
            }
            _ => {}
        }
    }

    /// What a user was answered who asked about a job; `None` if nothing.
    pub fn asked(&mut self, uid: &str, status: Option<u16>, stance: Option<Stance>) {
        let answered = matches!(status, Some(200 | 404));
        self.questions.push_back((Instant::now(), answered));
        while self
            .questions
            .front()
            .is_some_and(|q| q.0.elapsed() > FORGOTTEN)
        {
            self.questions.pop_front();
        }
        match (status, stance) {
            (Some(200), Some(stance)) => {
                self.unanswered.remove(uid);
                self.told(uid, stance);
            }
            (Some(404), _) => {
                self.unanswered.remove(uid);
                if self.accepted.contains(uid) {
                    self.broken.push(format!("forgotten: {uid} answered 404"));
                }
            }
            _ => {
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
        }
    }

    fn told(&mut self, uid: &str, stance: Stance) {
        if !self.jobs.contains_key(uid) {
            self.broken.push(format!("invented: {uid}"));
        }
        if stance == Stance::Cancelled && !self.asked_to_cancel.contains(uid) {
            self.broken.push(format!("went_back: {uid} not cancelled"));
        }
        if let Some(before) = self.final_states.get(uid)
            && *before != stance
        {
            let line = format!("went_back: {uid} {stance:?} after {before:?}");
            self.broken.push(line);
        }
        if matches!(stance, Stance::Done | Stance::Cancelled) {
            self.final_states.insert(uid.into(), stance);
        }
        match stance {
            Stance::Done => self.told_done(uid),
            Stance::Cancelled => self.told_cancelled(uid),
            _ => {}
        }
    }

    /// A user is about to ask for a cancellation.
    pub fn asks_to_cancel(&mut self, uid: &str) {
        self.asked_to_cancel.insert(uid.into());
    }

    /// Whether a zone is not one that the job's other tasks leave to this one.
    fn misplaced(&self, uid: &str, index: u32, zone: &str) -> bool {
        let Some(spec) = self.jobs.get(uid) else {
            return false;
        };
        let others = self
            .on
            .iter()
            .filter(|((u, i), places)| u == uid && *i != index && !places.is_empty());
        let zones: Vec<&String> = others
            .filter_map(|(name, _)| self.zones.get(name))
            .collect();
        let same = zones.iter().filter(|z| *z == &zone).count();
        spec.zone.as_ref().is_some_and(|z| z != zone)
            || spec.one_zone && same < zones.len()
            || spec.spread && same + 1 > (spec.tasks as usize).div_ceil(2)
    }

    pub fn starts(&mut self, uid: &str, index: u32, machine: &str, zone: &str) {
        self.started += 1;
        *self.starts_of.entry(uid.into()).or_default() += 1;
        let name = (uid.to_string(), index);
        self.after_done += usize::from(self.done.contains_key(&name));
        if self.misplaced(uid, index, zone) {
            self.broken
                .push(format!("wrong_place: {uid}/{index} in {zone}"));
        }
        self.zones.insert(name.clone(), zone.into());
        let places = self.on.entry(name).or_default();
        if places.iter().any(|m| m != machine) {
            let line = format!("ran_twice: {uid}/{index} on {machine} and {places:?}");
            self.broken.push(line);
        }
        places.push(machine.to_string());
        if let Some(at) = self.cancelled.get(uid)
            && at.elapsed() > self.cancel
        {
            self.broken.push(format!("ran_cancelled: {uid}/{index}"));
        }
        let mut used: HashMap<&str, f64> = HashMap::new();
        for ((uid, _), places) in &self.on {
            if let (Some(spec), false) = (self.jobs.get(uid), places.is_empty()) {
                *used.entry(&spec.team).or_default() += spec.gpus;
            }
        }
        for (team, limit) in &self.limits {
            if used.get(team.as_str()).is_some_and(|u| *u > *limit) {
                self.broken.push(format!("quota: {team}"));
            }
        }
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
            let gang = self.jobs.get(uid).filter(|s| s.shape == Shape::Gang);
            for i in 0..gang.map_or(0, |s| s.tasks) {
                self.done.insert((uid.to_string(), i), true);
            }
            self.done.insert(name, true);
        }
    }

    pub fn told_done(&mut self, uid: &str) {
        let Some(spec) = self.jobs.get(uid) else {
            self.broken.push(format!("invented: {uid}"));
            return;
        };
        let done = (0..spec.tasks).filter(|i| self.done.contains_key(&(uid.to_string(), *i)));
        if (done.count() as u32) < spec.tasks {
            self.broken.push(format!("not_done: {uid}"));
        }
    }

    pub fn told_cancelled(&mut self, uid: &str) {
        self.cancelled
            .entry(uid.to_string())
            .or_insert_with(Instant::now);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn rules() -> Rules {
        let spec = r#"{"uid":"j-1","lane":"a","crew":"red","shape":"sweep","rank":"normal",
            "pieces":2,"cpus":1,"gpus":6,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
            "spread":false,"loaners":false,"guessS":60,"waypointS":0,"stashS":0}"#;
        let mut rules = Rules {
            cancel: Duration::from_secs(60),
            ..Rules::default()
        };
        rules
            .jobs
            .insert("j-1".into(), JobSpec::parse(spec.as_bytes()).unwrap());
        rules.limits.insert("red".into(), 10.0);
        rules
    }

    /// Rules broken so far, by their names.
    fn names(rules: &Rules) -> Vec<String> {
        let name = |line: &String| line.split(':').next().unwrap_or("").to_string();
        rules.broken.iter().map(name).collect()
    }

    #[tokio::test(start_paused = true)]
    async fn the_checker_sees_each_rule_broken() {
        let mut rules = rules();
        rules.submitted("j-1", 201);
        rules.asked("j-1", Some(200), Some(Stance::Queued));
        rules.starts("j-1", 0, "m-1", "east");
        assert!(rules.broken.is_empty());
        rules.starts("j-1", 0, "m-2", "east");
        rules.starts("j-1", 1, "m-3", "east");
        assert_eq!(names(&rules), ["ran_twice", "quota"]);
        rules.asked("j-1", Some(200), Some(Stance::Done));
        rules.asked("j-1", Some(200), Some(Stance::Running));
        rules.asked("j-2", Some(200), Some(Stance::Queued));
        rules.asked("j-1", Some(404), None);
        rules.submitted("j-1", 422);
        assert_eq!(
            names(&rules)[2..],
            [
                "not_done",
                "went_back",
                "invented",
                "forgotten",
                "forgotten"
            ]
        );
        rules.broken.clear();
        rules.asked("j-1", Some(200), Some(Stance::Cancelled));
        assert_eq!(
            names(&rules),
            ["went_back", "went_back"],
            "nobody asked, and it was done"
        );
        rules.broken.clear();
        tokio::time::advance(Duration::from_secs(59)).await;
        rules.sweep();
        assert!(rules.broken.is_empty());
        tokio::time::advance(Duration::from_secs(2)).await;
        rules.sweep();
        assert_eq!(names(&rules)[0], "ran_cancelled");
        rules.gone("j-1", 0, "m-1", false);
        assert_eq!(rules.cancelled_for.as_secs(), 61);
        rules.broken.clear();
        for wait in [0, 80, 11] {
            tokio::time::advance(Duration::from_secs(wait)).await;
            rules.asked("j-1", Some(503), None);
        }
        assert!(rules.broken.is_empty(), "nobody was answered");
        for _ in 0..5 {
            rules.asked("j-9", Some(404), None);
        }
        rules.asked("j-1", None, None);
        assert_eq!(names(&rules), ["forgotten"], "others were");
        rules.broken.clear();
        rules.calm_since = Some(Instant::now());
        for wait in [74, 2] {
            assert!(rules.broken.is_empty());
            tokio::time::advance(Duration::from_secs(wait)).await;
            rules.questions.clear();
            rules.asked("j-1", Some(503), None);
        }
        assert_eq!(names(&rules), ["forgotten"], "however others fare");
    }

    #[test]
    fn the_checker_sees_tasks_in_zones_that_their_job_does_not_allow() {
        let mut rules = rules();
        let mut with = |change: fn(&mut JobSpec)| {
            rules.jobs.entry("j-1".into()).and_modify(|spec| {
                (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
                change(spec);
            });
            rules.broken.clear();
            rules.on.clear();
            rules.starts("j-1", 0, "m-1", "east");
            rules.starts("j-1", 1, "m-2", "west");
            let apart = rules
                .broken
                .iter()
                .filter(|l| l.starts_with("wrong"))
                .count();
            rules.on.clear();
            rules.starts("j-1", 0, "m-1", "east");
            rules.starts("j-1", 1, "m-2", "east");
            let all = rules
                .broken
                .iter()
                .filter(|l| l.starts_with("wrong"))
                .count();
            (apart, all - apart)
        };
        assert_eq!(with(|_| ()), (0, 0));
        assert_eq!(with(|s| s.zone = Some("east".into())), (1, 0));
        assert_eq!(with(|s| s.one_zone = true), (1, 0));
        assert_eq!(with(|s| s.spread = true), (0, 1));
    }
}
