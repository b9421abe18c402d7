//! A job with tasks to place, with their predicted durations on each machine type.

use crate::Resources;
use crate::quota::TasksPerZone;
use crate::timeline::{ImageId, MachineTimeline};
use rushwalk_protocol::jobs::JobSpec;
use std::sync::Arc;

/// Predicted durations of a job's task on machines of one type.
#[derive(Debug, Clone, Copy, Default)]
pub struct TaskEstimate {
    /// Run time in seconds, without the image fetch; infinite for a service.
    pub run_s: f64,
    /// Seconds to fetch the task's image.
    pub fetch_s: f64,
    /// Seconds that a new machine of this type takes to boot.
    pub boot_s: f64,
    /// Whether the job may use machines of this type, and a task fits on an empty one.
    pub usable: bool,
}

/// A job with tasks that are not assigned to a machine.
#[derive(Debug, Clone)]
pub struct PendingJob {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Resources that each task requests.
    pub resources: Resources,
    /// The image that its tasks run.
    pub image: ImageId,
    /// One estimate for each of the round's machine types, in their order.
    pub estimates: Vec<TaskEstimate>,
    /// Predicted seconds from the placement of a task to its start, without the image fetch.
    pub overhead_s: f64,
    /// Indices of the tasks to place.
    pub tasks: Vec<u32>,
    /// Number of tasks of the job that are already assigned in each zone.
    pub tasks_per_zone: TasksPerZone,
    /// Names of machines that must not be used, because tasks of this job failed on them or
    /// are to be moved away from them.
    pub avoided_machines: Vec<Arc<str>>,
    /// Factors on the prices of on-demand and spot machines (in this order) of each machine
    /// type; empty for factors of 1. The caller raises the price of a type that the cloud has
    /// run out of if replacing it would cost other jobs more than this one.
    pub price_bias: Vec<[f64; 2]>,
    /// Whether the job is retried as a
    /// [single probe](crate::retry::RetryDecision::SingleProbe), because it failed wherever it
    /// ran: it is placed only on machines where it can start now, and no machine is rented or
    /// reserved for it.
    pub single_probe: bool,
}

impl PendingJob {
    /// Whether the job may use a machine: it is not cordoned, the job allows its type, and, if
    /// it is a spot instance, the job may run on these.
    pub(crate) fn allows_machine(&self, machine: &MachineTimeline) -> bool {
        let estimate = self.estimates.get(machine.type_index);
        !machine.cordoned
            && (self.spec.spot || !machine.spot)
            && estimate.is_some_and(|estimate| estimate.usable)
    }

    /// Whether the job's next task may be placed in a zone: neither the zone that the job
    /// requests nor the tasks placed so far exclude it.
    pub(crate) fn allows_zone(&self, zone: &str) -> bool {
        self.requests_zone(zone) && self.tasks_per_zone.allows(&self.spec, zone)
    }

    /// Whether a zone is the one that the job requests. True for any zone if it requests none.
    pub(crate) fn requests_zone(&self, zone: &str) -> bool {
        let requested = self.spec.zone.as_ref();
        requested.is_none_or(|requested| **requested == *zone)
    }

    /// The factor on the price of a machine for this job; see [`Self::price_bias`].
    pub(crate) fn price_bias_of(&self, machine: &MachineTimeline) -> f64 {
        let biases = self.price_bias.get(machine.type_index);
        biases.map_or(1.0, |bias| bias[usize::from(machine.spot)])
    }
}
