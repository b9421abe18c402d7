//! Which jobs were served: accepted, started, completed and cancelled ones, by class and by
//! team, as this process has seen them in the log.

use rushwalk_protocol::jobs::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// Jobs of one class or team. The administration API shows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct JobCounts {
    /// Accepted jobs.
    pub accepted: u32,
    /// Of these, the jobs of which a task was seen running.
    pub started: u32,
    /// Of these, the jobs all of whose tasks completed.
    #[serde(rename = "done")]
    pub completed: u32,
    /// Accepted jobs that their users cancelled.
    pub cancelled: u32,
    /// Jobs cancelled before a task was seen running, which nobody failed to serve.
    pub withdrawn: u32,
}

impl JobCounts {
    /// The share of jobs that were started, of those that were not withdrawn.
    pub fn started_share(&self) -> f64 {
        match self.accepted.saturating_sub(self.withdrawn) {
            0 => 1.0,
            wanted => f64::from(self.started) / f64::from(wanted),
        }
    }
}

/// A class or a team with its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedCounts<'a> {
    /// The name of the class or team.
    pub name: &'a str,
    /// Its counts.
    pub counts: JobCounts,
}

/// The counts of all classes and teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCounts {
    /// By class.
    pub classes: BTreeMap<String, JobCounts>,
    /// By team.
    pub teams: BTreeMap<String, JobCounts>,
}

impl ServiceCounts {
    /// Changes the counts of a job's class and of its team.
    pub fn update(&mut self, spec: &JobSpec, change: impl Fn(&mut JobCounts)) {
        for (counts, name) in [
            (&mut self.classes, &spec.class),
            (&mut self.teams, &spec.team),
        ] {
            match counts.get_mut(name) {
                Some(counts) => change(counts),
                None => change(counts.entry(name.clone()).or_default()),
            }
        }
    }

    /// The class of whose jobs the smallest share has started.
    pub fn least_served_class(&self) -> Option<NamedCounts<'_>> {
        least_served(&self.classes)
    }

    /// The team of whose jobs the smallest share has started.
    pub fn least_served_team(&self) -> Option<NamedCounts<'_>> {
        least_served(&self.teams)
    }
}

fn least_served(counts: &BTreeMap<String, JobCounts>) -> Option<NamedCounts<'_>> {
    let by_share = |a: &JobCounts, b: &JobCounts| a.started_share().total_cmp(&b.started_share());
    let (name, counts) = counts.iter().min_by(|a, b| by_share(a.1, b.1))?;
    Some(NamedCounts {
        name,
        counts: *counts,
    })
}
