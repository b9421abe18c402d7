//! In which order jobs of one priority are placed.
//!
//! The paper assumes arrival order. Exception: where the settings give service-level
//! objectives by when a class is expected to start or finish, the job whose latest useful
//! start comes first goes first, for on a full fleet arrival order makes every job a little
//! late. A job that can't meet its objective any more waits behind those that can, until
//! its age puts it in front.

use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::{Objective, ObjectiveKind};

#[cfg(test)]
mod tests;

/// What a job's tasks are predicted to take.
#[derive(Debug, Clone, Copy)]
pub struct TaskDurations {
    /// Seconds to fetch the image.
    pub fetch_s: f64,
    /// Seconds that a task runs.
    pub run_s: f64,
    /// Whether the job fits into its team's guaranteed resources.
    pub guaranteed: bool,
}

/// Without any objective a job should start within this many times its run time.
const DEFAULT_RUN_TIMES: f64 = 4.0;
/// A run time counts at most this much towards the default, in seconds.
const LONGEST_DEFAULT_RUN_S: f64 = 3600.0;
/// A job that is past all its objectives ranks this many times the widest after its
/// submission.
const MISSED_OBJECTIVE_FACTOR: f64 = 4.0;

/// The time by which the job should start; the job with the earliest goes first.
///
/// `submitted_s` and `now_s` are in seconds since the Unix epoch, as is the result.
pub fn latest_useful_start(
    spec: &JobSpec,
    submitted_s: f64,
    now_s: f64,
    durations: TaskDurations,
    objectives: &[Objective],
) -> f64 {
    let mut widest_s: f64 = 0.0;
    let mut earliest: Option<f64> = None;
    for objective in objectives {
        let Some(start) = start_for_objective(spec, submitted_s, durations, objective) else {
            continue;
        };
        widest_s = widest_s.max(objective.within_s);
        if start >= now_s && earliest.is_none_or(|time| start < time) {
            earliest = Some(start);
        }
    }
    match earliest {
        Some(start) => start,
        None if widest_s > 0.0 => submitted_s + MISSED_OBJECTIVE_FACTOR * widest_s,
        None => {
            let run_s = durations.run_s.min(LONGEST_DEFAULT_RUN_S);
            submitted_s + spec.deadline_s.unwrap_or(DEFAULT_RUN_TIMES * run_s)
        }
    }
}

/// The latest start that meets an objective; `None` if that isn't set for the job.
fn start_for_objective(
    spec: &JobSpec,
    submitted_s: f64,
    durations: TaskDurations,
    objective: &Objective,
) -> Option<f64> {
    let fetched = submitted_s + objective.within_s - durations.fetch_s;
    match objective.kind {
        ObjectiveKind::QueueTime if objective.class == spec.class => Some(fetched),
        ObjectiveKind::CompletionTime if objective.class == spec.class => {
            Some(fetched - durations.run_s)
        }
        ObjectiveKind::GuaranteedStart if durations.guaranteed => Some(fetched),
        _ => None,
    }
}
