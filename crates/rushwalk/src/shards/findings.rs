//! What heartbeats show of several machines and tasks, combined into few mutations.

use crate::job_attempt::JobAttempt;
use rushwalk_protocol::ids::{AttemptId, MachineId};
use rushwalk_state::mutation::{
    MachineAddress, MachinesReady, MachinesUnreachable, ReclaimNotice, TasksEnded, TasksStarted,
    in_batches,
};
use rushwalk_state::records::AttemptOutcome;
use rushwalk_state::{Mutation, UnixMillis};
use std::collections::BTreeMap;

/// An attempt that ended, and how.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct EndedAttempt {
    attempt: JobAttempt,
    outcome: AttemptOutcome,
}

/// What heartbeats show and the state does not hold yet.
#[derive(Default)]
pub(super) struct HeartbeatFindings {
    ready: Vec<MachineAddress>,
    unreachable: Vec<MachineId>,
    reachable: Vec<MachineId>,
    reclaimed: Vec<ReclaimNotice>,
    started: BTreeMap<JobAttempt, Vec<u32>>,
    ended: BTreeMap<EndedAttempt, Vec<u32>>,
}

impl HeartbeatFindings {
    /// A machine sent its first heartbeat, or one from another address.
    pub(super) fn machine_ready(&mut self, machine: &MachineId, address: &str) {
        self.ready.push(MachineAddress {
            machine: machine.clone(),
            address: address.into(),
        });
    }

    /// A machine is unreachable.
    pub(super) fn machine_unreachable(&mut self, machine: &MachineId) {
        self.unreachable.push(machine.clone());
    }

    /// A machine is reachable again.
    pub(super) fn machine_reachable(&mut self, machine: &MachineId) {
        self.reachable.push(machine.clone());
    }

    /// A machine will be reclaimed.
    pub(super) fn machine_reclaimed(&mut self, machine: &MachineId, reclaim_ms: UnixMillis) {
        self.reclaimed.push(ReclaimNotice {
            machine: machine.clone(),
            reclaim_ms,
        });
    }

    /// A task was seen running.
    pub(super) fn task_started(&mut self, attempt: &AttemptId) {
        let tasks = self.started.entry(JobAttempt::of(attempt)).or_default();
        tasks.push(attempt.task.index);
    }

    /// A task is surely off its machine.
    pub(super) fn task_ended(&mut self, attempt: &AttemptId, outcome: AttemptOutcome) {
        let ended = EndedAttempt {
            attempt: JobAttempt::of(attempt),
            outcome,
        };
        let tasks = self.ended.entry(ended).or_default();
        tasks.push(attempt.task.index);
    }

    /// The findings as mutations.
    pub(super) fn into_mutations(self, now_ms: UnixMillis) -> Vec<Mutation> {
        let reclaimed = self.reclaimed.into_iter();
        let mut mutations: Vec<Mutation> = reclaimed.map(Mutation::ReclaimNotice).collect();
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
