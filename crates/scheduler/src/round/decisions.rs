//! The decisions of a scheduling round.

use super::PendingJob;
use std::collections::BTreeMap;

/// A task and the machine on which it is to start now.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Id of the job.
    pub job: String,
    /// Index of the task in the job.
    pub task: u32,
    /// Index of the machine in the round.
    pub machine: usize,
}

/// Why a job has tasks that can't start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// The best machine for a task is occupied by other tasks or still boots.
    MachineNotReady,
    /// No machine has room for a task, and none can be rented. For a
    /// [single probe](crate::retry::RetryDecision::SingleProbe) of a job that is not a gang: no
    /// machine has room now.
    NoCapacity,
    /// The job's team has reached its resource limit.
    TeamLimitReached,
    /// The job is a gang that failed on every machine on which it ran. It is retried as a
    /// [single probe](crate::retry::RetryDecision::SingleProbe), and not all of its tasks can
    /// start now.
    FailsEverywhere,
    /// The job is a gang, and not all of its tasks can start at the same time yet.
    GangNotReady,
}

impl PendingReason {
    /// The reason as text for responses of the administration API.
    pub fn as_str(self) -> &'static str {
        match self {
            PendingReason::MachineNotReady => "its machine is busy or boots",
            PendingReason::NoCapacity => "no machine has room, and none can be rented",
            PendingReason::TeamLimitReached => "its team's limit is reached",
            PendingReason::FailsEverywhere => "it fails wherever it runs",
            PendingReason::GangNotReady => "it waits until all its tasks can start together",
        }
    }
}

/// The decisions of a scheduling round.
#[derive(Debug, Default)]
pub struct SchedulingDecisions {
    /// Tasks to start now.
    pub placements: Vec<Placement>,
    /// Why some tasks can't start now, by the id of the job.
    pub pending_reasons: BTreeMap<String, PendingReason>,
}

impl SchedulingDecisions {
    /// Whether there are neither placements nor pending reasons.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.pending_reasons.is_empty()
    }

    pub(super) fn place(&mut self, job: &PendingJob, task: u32, machine: usize) {
        self.placements.push(Placement {
            job: job.spec.id.clone(),
            task,
            machine,
        });
    }
}
