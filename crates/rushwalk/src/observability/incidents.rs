//! Incidents: periods in which this controller does not serve normally, their causes and their
//! durations. The current incident and the last resolved one are kept.

#[cfg(test)]
mod tests;

use serde::Serialize;
use std::collections::BTreeMap;

/// The causes of an incident.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IncidentCause {
    /// The key-value store has answered no read for several scheduling rounds.
    #[serde(rename = "state_out_of_reach")]
    StoreUnreachable,
    /// No controller leads, according to this controller's replica of the cluster state.
    NoLeader,
    /// A shard with machines has no owner, so that no tasks are placed on these machines.
    #[serde(rename = "blocks_without_holder")]
    UnownedShards,
    /// More than one in twenty of the workers in this controller's shards have sent no heartbeat
    /// recently.
    #[serde(rename = "workers_not_heard")]
    WorkersUnreachable,
    /// Timers fire late because this thread has more work than it can do.
    #[serde(rename = "thread_behind")]
    RuntimeLagging,
    /// Requests of users were answered with status 429 or 503.
    #[serde(rename = "users_refused")]
    RequestsRejected,
}

/// A period in which at least one cause was present, apart from short pauses.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Incident {
    /// The duration in seconds; for an ongoing incident, the duration so far.
    #[serde(rename = "took_s")]
    pub duration_s: f64,
    /// For how many seconds each cause was present; several can be present at the same time.
    pub causes: BTreeMap<IncidentCause, f64>,
}

/// The current incident and the last resolved one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IncidentSummary {
    /// The current incident; `None` while none is ongoing.
    pub current: Option<Incident>,
    /// The last incident that was resolved; `None` if none was.
    pub last: Option<Incident>,
}

/// Derives incidents from the causes present at each check.
#[derive(Debug, Default)]
pub struct IncidentRecorder {
    current: Option<Incident>,
    last: Option<Incident>,
    /// For how many seconds no cause has been present.
    healthy_s: f64,
}

impl Incident {
    /// The incident with its times rounded to tenths of a second, since checks are no more
    /// frequent than that.
    fn rounded(&self) -> Incident {
        let causes = self.causes.iter();
        Incident {
            duration_s: round_to_tenths(self.duration_s),
            causes: causes
                .map(|(cause, s)| (*cause, round_to_tenths(*s)))
                .collect(),
        }
    }
}

fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

impl IncidentRecorder {
    /// Records a check, `elapsed_s` after the previous one, with the causes present at it.
    ///
    /// An incident is resolved, and returned, once no cause has been present for
    /// `resolve_after_s`. That time is not part of the incident.
    pub fn observe(
        &mut self,
        elapsed_s: f64,
        causes: &[IncidentCause],
        resolve_after_s: f64,
    ) -> Option<Incident> {
        if causes.is_empty() {
            self.healthy_s += elapsed_s;
            if self.healthy_s < resolve_after_s {
                return None;
            }
            self.last = Some(self.current.take()?.rounded());
            return self.last.clone();
        }
        if self.current.is_none() {
            self.healthy_s = 0.0;
        }
        let incident = self.current.get_or_insert_default();
        // A pause shorter than `resolve_after_s` is part of the incident.
        incident.duration_s += elapsed_s + self.healthy_s;
        self.healthy_s = 0.0;
        for cause in causes {
            *incident.causes.entry(*cause).or_default() += elapsed_s;
        }
        None
    }

    /// The current incident and the last one, with rounded times.
    pub fn summary(&self) -> IncidentSummary {
        IncidentSummary {
            current: self.current.as_ref().map(Incident::rounded),
            last: self.last.clone(),
        }
    }
}
