//! In which order jobs of one priority are placed.
//!
//! The paper assumes arrival order. Exception: where the settings say by when
//! a class is expected to start or finish, the job whose latest useful start
//! comes first goes first, for on a full fleet arrival order makes every job a
//! little late. One that can't meet its aim any more waits behind those that
//! can, until its age puts it in front.

use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::{Objective, ObjectiveKind};

/// What a job needs before it runs, and how long it then runs.
#[derive(Debug, Clone, Copy)]
pub struct TaskDurations {
    pub fetch_s: f64,
    pub run_s: f64,
    /// It fits into its team's guarantee.
    pub guaranteed: bool,
}

/// The time by which the job should start; the least goes first.
pub fn start_by(
    spec: &JobSpec,
    at: f64,
    now: f64,
    needs: TaskDurations,
    aims: &[Objective],
) -> f64 {
    let mut widest: f64 = 0.0;
    let mut best: Option<f64> = None;
    for aim in aims {
        let by = match aim.kind {
            ObjectiveKind::QueueTime if aim.class == spec.class => {
                at + aim.within_s - needs.fetch_s
            }
            ObjectiveKind::CompletionTime if aim.class == spec.class => {
                at + aim.within_s - needs.fetch_s - needs.run_s
            }
            ObjectiveKind::GuaranteedStart if needs.guaranteed => at + aim.within_s - needs.fetch_s,
            _ => continue,
        };
        widest = widest.max(aim.within_s);
        if by >= now && best.is_none_or(|b| by < b) {
            best = Some(by);
        }
    }
    match best {
        Some(by) => by,
        // No aim can be met any more, or none is set.
        None if widest > 0.0 => at + 4.0 * widest,
        None => at + spec.deadline_s.unwrap_or(4.0 * needs.run_s.min(3600.0)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(class: &str) -> JobSpec {
        let text = format!(
            r#"{{"uid":"j-1","lane":"{class}","crew":"a","shape":"sweep","rank":"normal",
            "pieces":1,"cpus":1,"gpus":0,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
            "spread":false,"loaners":false,"guessS":60,"waypointS":0,"stashS":0}}"#
        );
        JobSpec::parse(text.as_bytes()).unwrap()
    }

    #[test]
    fn a_job_that_cannot_be_in_time_waits_behind_one_that_can() {
        let aim = |kind: &str, class: &str, within_s| Objective {
            kind: kind.into(),
            class: class.into(),
            within_s,
            share: 0.9,
        };
        let aims = [aim("finished", "scan", 120.0), aim("wait", "sim", 60.0)];
        let needs = TaskDurations {
            fetch_s: 10.0,
            run_s: 60.0,
            guaranteed: false,
        };
        let early = start_by(&spec("scan"), 0.0, 40.0, needs, &aims);
        let late = start_by(&spec("scan"), 0.0, 60.0, needs, &aims);
        let sim = start_by(&spec("sim"), 30.0, 60.0, needs, &aims);
        assert_eq!(early, 50.0);
        assert!(sim < late, "{sim} {late}");
        // Age decides in the end: a job that arrives later can't pass for ever.
        assert!(late < start_by(&spec("sim"), 500.0, 500.0, needs, &aims));
    }
}
