//! A job with tasks to place, and what they are predicted to take on each machine type.

use crate::Resources;
use crate::quota::TasksPerZone;
use crate::timeline::{ImageId, MachineTimeline};
use rushwalk_protocol::jobs::JobSpec;
use std::sync::Arc;

/// What a task takes on machines of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct TaskEstimate {
    /// Seconds that it runs.
    pub run_s: f64,
    /// Seconds to fetch its image.
    pub fetch_s: f64,
    /// Seconds that another machine of the group would boot.
    pub boot_s: f64,
    /// Whether the job may use the group, and a task fits an empty machine.
    pub allowed: bool,
}

/// A job with tasks that have no machine.
#[derive(Debug, Clone)]
pub struct PendingJob {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// What each task requests.
    pub resources: Resources,
    /// The image that its tasks run.
    pub image: ImageId,
    /// Per group, in the order of the round's machine types.
    pub estimates: Vec<TaskEstimate>,
    /// Seconds from placement to start, without the fetch of the image.
    pub overhead_s: f64,
    /// Indices of the tasks to place.
    pub tasks: Vec<u32>,
    /// Where its tasks are.
    pub tasks_per_zone: TasksPerZone,
    /// Machines on which this job failed.
    pub avoided_machines: Vec<Arc<str>>,
    /// By how much dearer on-demand and spot machines (in this order) of each group count
    /// for this job, because there are no more of them and other jobs gain more by them.
    pub price_bias: Vec<[f64; 2]>,
    /// It failed wherever it ran: it is tried where it can start now, and no machine is
    /// rented or reserved for it.
    pub single_probe: bool,
}

impl PendingJob {
    /// Whether its tasks may run on a machine.
    pub(crate) fn allows_machine(&self, machine: &MachineTimeline) -> bool {
        let estimate = self.estimates.get(machine.group);
        !machine.cordoned
            && (self.spec.spot || !machine.spot)
            && estimate.is_some_and(|estimate| estimate.allowed)
    }

    /// Whether its next task may go to a zone.
    pub(crate) fn allows_zone(&self, zone: &str) -> bool {
        self.requests_zone(zone) && self.tasks_per_zone.allows(&self.spec, zone)
    }

    /// Whether a zone is the one that the job requests, if it requests one.
    pub(crate) fn requests_zone(&self, zone: &str) -> bool {
        let requested = self.spec.zone.as_ref();
        requested.is_none_or(|requested| **requested == *zone)
    }

    /// By how much dearer a machine counts for this job.
    pub(crate) fn price_bias_of(&self, machine: &MachineTimeline) -> f64 {
        let biases = self.price_bias.get(machine.group);
        biases.map_or(1.0, |bias| bias[usize::from(machine.spot)])
    }
}
