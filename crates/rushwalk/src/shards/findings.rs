//! Findings from the heartbeats of several machines, combined into few mutations.

use crate::job_attempt::JobAttempt;
use rushwalk_protocol::ids::{AttemptId, MachineId};
use rushwalk_state::mutation::{
    MachineAddress, MachinesReady, MachinesUnreachable, ReclaimNotice, TasksEnded, TasksStarted,
    in_batches,
};
use rushwalk_state::records::AttemptOutcome;
use rushwalk_state::{Mutation, UnixMillis};
use std::collections::BTreeMap;

/// Key by which ended tasks are combined: their job, attempt and outcome.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct EndedAttempt {
    attempt: JobAttempt,
    outcome: AttemptOutcome,
}

/// Facts that heartbeats show and that the cluster's state does not contain yet.
#[derive(Default)]
pub(super) struct HeartbeatFindings {
    ready: Vec<MachineAddress>,
    unreachable: Vec<MachineId>,
    reachable: Vec<MachineId>,
    reclaim_notices: Vec<ReclaimNotice>,
    /// Indices of started tasks.
    started: BTreeMap<JobAttempt, Vec<u32>>,
    /// Indices of ended tasks.
    ended: BTreeMap<EndedAttempt, Vec<u32>>,
}

impl HeartbeatFindings {
    /// Adds a machine that sent its first heartbeat, or one with another address.
    pub(super) fn machine_ready(&mut self, machine: &MachineId, address: &str) {
        self.ready.push(MachineAddress {
            machine: machine.clone(),
            address: address.into(),
        });
    }

    /// Adds a machine that became unreachable.
    pub(super) fn machine_unreachable(&mut self, machine: &MachineId) {
        self.unreachable.push(machine.clone());
    }

    /// Adds an unreachable machine that became reachable again.
    pub(super) fn machine_reachable(&mut self, machine: &MachineId) {
        self.reachable.push(machine.clone());
    }

    /// Adds a spot machine that the cloud will reclaim at `reclaim_ms`.
    pub(super) fn reclaim_announced(&mut self, machine: &MachineId, reclaim_ms: UnixMillis) {
        self.reclaim_notices.push(ReclaimNotice {
            machine: machine.clone(),
            reclaim_ms,
        });
    }

    /// Adds a task that its worker reports as running.
    pub(super) fn task_started(&mut self, attempt: &AttemptId) {
        let tasks = self.started.entry(JobAttempt::of(attempt)).or_default();
        tasks.push(attempt.task.index);
    }

    /// Adds a task that certainly no longer runs on its machine.
    pub(super) fn task_ended(&mut self, attempt: &AttemptId, outcome: AttemptOutcome) {
        let ended = EndedAttempt {
            attempt: JobAttempt::of(attempt),
            outcome,
        };
        let tasks = self.ended.entry(ended).or_default();
        tasks.push(attempt.task.index);
    }

    /// Converts the findings to mutations, all with the time `now_ms`.
    pub(super) fn into_mutations(self, now_ms: UnixMillis) -> Vec<Mutation> {
        let reclaim_notices = self.reclaim_notices.into_iter();
        let mut mutations: Vec<Mutation> = reclaim_notices.map(Mutation::ReclaimNotice).collect();
        mutations.extend(in_batches(&self.ready, |machines| {
            Mutation::MachinesReady(MachinesReady {
                ready_ms: now_ms,
                machines,
            })
        }));
        mutations.extend(in_batches(&self.unreachable, |machines| {
            Mutation::MachinesUnreachable(MachinesUnreachable {
                since_ms: now_ms,
                machines,
            })
        }));
        mutations.extend(in_batches(&self.reachable, Mutation::MachinesReachable));
        for (JobAttempt { job, attempt }, tasks) in &self.started {
            mutations.extend(in_batches(tasks, |tasks| {
                Mutation::Started(TasksStarted {
                    job: job.clone(),
                    attempt: *attempt,
                    started_ms: now_ms,
                    tasks,
                })
            }));
        }
        for (EndedAttempt { attempt, outcome }, tasks) in &self.ended {
            mutations.extend(in_batches(tasks, |tasks| {
                Mutation::Ended(TasksEnded {
                    job: attempt.job.clone(),
                    attempt: attempt.attempt,
                    ended_ms: now_ms,
                    outcome: *outcome,
                    tasks,
                })
            }));
        }
        mutations
    }
}
