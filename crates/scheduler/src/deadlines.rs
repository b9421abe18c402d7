//! The order in which pending jobs of the same priority are placed.
//!
//! The paper "Coding the Computing Continuum", which the design follows, assumes the order of
//! arrival. On a full fleet that order makes every job a little late. So if the settings
//! contain service-level objectives on when jobs of a class should start or finish, jobs are
//! ordered by the latest start that meets an objective. A job that can no longer meet any of
//! its objectives is placed after those that can, until it is old enough to come first.

use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::{Objective, ObjectiveKind};

#[cfg(test)]
mod tests;

/// Predicted durations of a job's tasks, and whether the job is covered by a guarantee.
#[derive(Debug, Clone, Copy)]
pub struct TaskDurations {
    /// Seconds to fetch the image.
    pub fetch_s: f64,
    /// Run time of a task in seconds.
    pub run_s: f64,
    /// Whether the job fits into its team's guaranteed resources.
    pub guaranteed: bool,
}

/// A job without objectives and without a deadline should start within this many times its
/// run time.
const DEFAULT_RUN_TIMES: f64 = 4.0;
/// Upper bound in seconds on the run time that is multiplied by [`DEFAULT_RUN_TIMES`].
const LONGEST_DEFAULT_RUN_S: f64 = 3600.0;
/// For a job that can no longer meet any of its objectives, the longest of their time limits is
/// multiplied by this. The result, added to the time of its submission, is the latest start by
/// which the job is ordered.
const MISSED_OBJECTIVE_FACTOR: f64 = 4.0;

/// The time by which the job should start. Jobs with an earlier time are placed first.
///
/// Each objective of the job has a latest start that meets it. The result is the earliest of
/// these that is not past or, if all are past, a multiple of the longest time limit after the
/// submission. For a job without objectives it is the deadline from its submission or, without
/// one, a multiple of the run time after the submission.
///
/// `submitted_s`, `now_s` and the result are in seconds since the Unix epoch.
pub fn latest_useful_start(
    spec: &JobSpec,
    submitted_s: f64,
    now_s: f64,
    durations: TaskDurations,
    objectives: &[Objective],
) -> f64 {
    let mut longest_limit_s: f64 = 0.0;
    let mut earliest: Option<f64> = None;
    for objective in objectives {
        let Some(start) = latest_start_for(spec, submitted_s, durations, objective) else {
            continue;
        };
        longest_limit_s = longest_limit_s.max(objective.within_s);
        if start >= now_s && earliest.is_none_or(|time| start < time) {
            earliest = Some(start);
        }
    }
    match earliest {
        Some(start) => start,
        None if longest_limit_s > 0.0 => submitted_s + MISSED_OBJECTIVE_FACTOR * longest_limit_s,
        None => {
            let run_s = durations.run_s.min(LONGEST_DEFAULT_RUN_S);
            submitted_s + spec.deadline_s.unwrap_or(DEFAULT_RUN_TIMES * run_s)
        }
    }
}

/// The latest start that meets an objective; `None` if the objective doesn't apply to the job.
fn latest_start_for(
    spec: &JobSpec,
    submitted_s: f64,
    durations: TaskDurations,
    objective: &Objective,
) -> Option<f64> {
    // A task counts as started when it begins to run, after the fetch of its image.
    let latest_fetch_start_s = submitted_s + objective.within_s - durations.fetch_s;
    match objective.kind {
        ObjectiveKind::QueueTime if objective.class == spec.class => Some(latest_fetch_start_s),
        ObjectiveKind::CompletionTime if objective.class == spec.class => {
            Some(latest_fetch_start_s - durations.run_s)
        }
        ObjectiveKind::GuaranteedStart if durations.guaranteed => Some(latest_fetch_start_s),
        _ => None,
    }
}
