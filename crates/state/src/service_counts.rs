//! Counts of accepted, started, completed and cancelled jobs by class and by team, which show
//! how well each class and team is served. They are local to this process; for the jobs that
//! they cover see [`ClusterState::service_counts`](crate::ClusterState::service_counts).

use rushwalk_protocol::jobs::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// The counts of one class or team. The administration API returns them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct JobCounts {
    /// Jobs that were accepted, also if they are finished by now.
    pub accepted: u32,
    /// Accepted jobs of which a task was observed running, and jobs that completed although
    /// none was.
    pub started: u32,
    /// Started jobs that are done.
    #[serde(rename = "done")]
    pub completed: u32,
    /// Accepted jobs that their users cancelled.
    pub cancelled: u32,
    /// Jobs cancelled before a task was observed running. That they did not start is no fault of
    /// the service, so they are excluded from [`JobCounts::started_share`].
    pub withdrawn: u32,
}

impl JobCounts {
    /// The started jobs divided by the accepted jobs that were not withdrawn, from 0 to 1; 1
    /// if there are no such accepted jobs.
    pub fn started_share(&self) -> f64 {
        match self.accepted.saturating_sub(self.withdrawn) {
            0 => 1.0,
            not_withdrawn => f64::from(self.started) / f64::from(not_withdrawn),
        }
    }
}

/// A class or a team with its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedCounts<'a> {
    /// The name of the class or team.
    pub name: &'a str,
    /// The counts of that class or team.
    pub counts: JobCounts,
}

/// The counts of all classes and teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCounts {
    /// The counts of each class, by its name.
    pub classes: BTreeMap<String, JobCounts>,
    /// The counts of each team, by its name.
    pub teams: BTreeMap<String, JobCounts>,
}

impl ServiceCounts {
    /// Applies a change to the counts of a job's class and to those of its team.
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

    /// The class with the lowest [`JobCounts::started_share`]; `None` before the first job.
    pub fn least_served_class(&self) -> Option<NamedCounts<'_>> {
        least_served(&self.classes)
    }

    /// The team with the lowest [`JobCounts::started_share`]; `None` before the first job.
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
