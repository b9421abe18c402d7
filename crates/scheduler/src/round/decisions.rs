//! What a round decides.

use super::PendingJob;
use std::collections::BTreeMap;

/// A task that is to start on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Id of the job.
    pub job: String,
    /// Index of the task.
    pub task: u32,
    /// Index of the machine in the round.
    pub machine: usize,
}

/// Why a job has tasks that can't start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// The best machine for a task runs others or boots.
    MachineNotReady,
    /// No machine has room for a task, and none can be rented.
    NoCapacity,
    /// Its team's limit is reached.
    TeamLimitReached,
    /// It failed on every machine that it was tried on.
    FailsEverywhere,
    /// The tasks of a gang can't all start together yet.
    GangNotReady,
}

impl PendingReason {
    /// The text that the administration API shows.
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

/// What a round decides.
#[derive(Debug, Default)]
pub struct SchedulingDecisions {
    /// Tasks to start now.
    pub placements: Vec<Placement>,
    /// For each job with tasks that can't start now, the reason.
    pub pending_reasons: BTreeMap<String, PendingReason>,
}

impl SchedulingDecisions {
    /// Whether nothing was decided.
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
