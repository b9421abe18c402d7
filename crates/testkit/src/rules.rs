//! The protocol's rules, checked as tasks start and users are answered.

use rushwalk_wire::jobs::{JobSpec, Shape};
use std::collections::{BTreeMap, HashMap, HashSet};
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
    done: BTreeMap<(String, u32), bool>,
    cancelled: HashMap<String, Instant>,
    pub broken: Vec<String>,
    pub started: usize,
    /// Jobs whose tasks fail wherever they start, and machines on which all do.
    pub mistaken: HashSet<String>,
    pub faulty: HashSet<String>,
    /// Starts that failed for either.
    pub failed: usize,
}

impl Rules {
    /// Whether a task fails as it starts.
    pub fn fails(&mut self, uid: &str, machine: &str) -> bool {
        let fails = self.mistaken.contains(uid) || self.faulty.contains(machine);
        self.failed += usize::from(fails);
        fails
    }

    pub fn starts(&mut self, uid: &str, index: u32, machine: &str) {
        self.started += 1;
        let name = (uid.to_string(), index);
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
        if let Some(places) = self.on.get_mut(&name) {
            places.retain(|m| m != machine);
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

    #[tokio::test(start_paused = true)]
    async fn the_checker_sees_each_rule_broken() {
        let mut rules = rules();
        rules.starts("j-1", 0, "m-1");
        assert!(rules.broken.is_empty());
        rules.starts("j-1", 0, "m-2");
        assert!(rules.broken[0].starts_with("ran_twice"));
        rules.starts("j-1", 1, "m-3");
        assert!(rules.broken[1].starts_with("quota"));
        rules.told_done("j-1");
        assert!(rules.broken[2].starts_with("not_done"));
        rules.told_cancelled("j-1");
        tokio::time::advance(Duration::from_secs(61)).await;
        rules.sweep();
        assert!(rules.broken[3].starts_with("ran_cancelled"));
    }
}
