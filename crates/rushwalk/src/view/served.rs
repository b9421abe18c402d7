//! Who is served: jobs accepted, started, done and cancelled, by class and by team, as
//! this process has seen them in the log.

use rushwalk_protocol::jobs::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct JobCounts {
    pub accepted: u32,
    /// Of which a task was seen running.
    pub started: u32,
    #[serde(rename = "done")]
    pub completed: u32,
    pub cancelled: u32,
    /// Cancelled before a task was seen running: nobody's fault.
    pub withdrawn: u32,
}

impl JobCounts {
    /// Of the jobs that wanted to start, those that did.
    pub fn started_share(&self) -> f64 {
        match self.accepted.saturating_sub(self.withdrawn) {
            0 => 1.0,
            wanted => f64::from(self.started) / f64::from(wanted),
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceCounts {
    pub classes: BTreeMap<String, JobCounts>,
    pub teams: BTreeMap<String, JobCounts>,
}

impl ServiceCounts {
    /// What came of a job counts for its class and for its team.
    pub fn count(&mut self, spec: &JobSpec, add: impl Fn(&mut JobCounts)) {
        for (counts, name) in [
            (&mut self.classes, &spec.class),
            (&mut self.teams, &spec.team),
        ] {
            match counts.get_mut(name) {
                Some(count) => add(count),
                None => add(counts.entry(name.clone()).or_default()),
            }
        }
    }

    /// The class and the team of whose jobs the least share has started.
    pub fn least_served(&self) -> [Option<(&str, JobCounts)>; 2] {
        [&self.classes, &self.teams].map(|counts| {
            let least = counts
                .iter()
                .min_by(|a, b| a.1.started_share().total_cmp(&b.1.started_share()));
            least.map(|(name, count)| (name.as_str(), *count))
        })
    }
}
