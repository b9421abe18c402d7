//! Converts machines and jobs of the cluster state into the scheduler's inputs.

use crate::context::Context;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::ids::MachineId;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::SiteSettings;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::quota::{QuotaUsage, TasksPerZone};
use rushwalk_scheduler::round::{PendingJob, SchedulingRound, TaskEstimate};
use rushwalk_scheduler::timeline::{MachineImage, MachineTimeline};
use rushwalk_scheduler::timeline_index::TimelineIndex;
use rushwalk_state::records::{JobPhase, MachineTypes};
use rushwalk_state::{AssignedTask, ClusterState, JobState, MachineState, TaskState, UnixMillis};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How long a task takes to stop in addition to saving its checkpoint, in seconds.
const STOP_MARGIN_S: f64 = 1.0;

/// The predicted remaining time of a task is at least this share of its predicted run time, also
/// if the task has run for longer than predicted.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Converts a point in time or a difference of two from milliseconds to seconds, the unit of the
/// scheduler.
pub(crate) fn seconds(time_ms: UnixMillis) -> f64 {
    time_ms as f64 / 1000.0
}

/// All zones of the machine types and the settings, in the order of their names.
pub(crate) fn zones(types: &MachineTypes, site: &SiteSettings) -> Vec<Arc<str>> {
    let offered = types.types.iter().flat_map(|t| &t.zones);
    let all: BTreeSet<&String> = offered.chain(&site.zones).collect();
    all.into_iter().map(|zone| zone.as_str().into()).collect()
}

/// A scheduling round without machines, with memory reserved for `machines` of them.
pub(crate) fn empty_round<'a>(
    context: &'a Context,
    now_s: f64,
    zones: Vec<Arc<str>>,
    machines: usize,
) -> SchedulingRound<'a> {
    SchedulingRound {
        planned_time_s: now_s,
        current_time_s: now_s,
        zones,
        machines: TimelineIndex::new(now_s, machines),
        rentable: Vec::new(),
        teams: &context.settings.site.teams,
        usage: QuotaUsage::default(),
        tie_s: context.timing.tie.as_secs_f64(),
        first_planned_rental: usize::MAX,
        evaluations: Default::default(),
    }
}

/// Whether tasks of a job may run on a machine type and fit on it.
pub(crate) fn is_usable_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let names = spec.types.as_ref();
    names.is_none_or(|names| names.contains(&machine_type.name))
        && Resources::of_task(spec).fits_in(&Resources::of_type(machine_type))
}

/// A pending job with estimates for each machine type, but without any tasks yet.
pub(crate) fn pending_job(
    state: &ClusterState,
    spec: &Arc<JobSpec>,
    types: &MachineTypes,
) -> PendingJob {
    let durations = &state.durations;
    let resources = Resources::of_task(spec);
    let estimates = types.types.iter().map(|machine_type| TaskEstimate {
        run_s: durations.run_time(spec, &machine_type.name),
        fetch_s: durations.fetch_time(
            spec.image_gb,
            &machine_type.name,
            machine_type.fetch_gb_per_s,
        ),
        boot_s: machine_type.boot_s,
        usable: is_usable_type(spec, machine_type),
    });
    PendingJob {
        spec: spec.clone(),
        resources,
        image: state.image_id(&spec.image),
        estimates: estimates.collect(),
        overhead_s: durations.overhead(),
        tasks: Vec::new(),
        tasks_per_zone: TasksPerZone::default(),
        avoided_machines: Vec::new(),
        price_bias: Vec::new(),
        single_probe: false,
    }
}

/// The inputs from which the timelines of machines are built.
pub(crate) struct TimelineInputs<'a> {
    /// The cluster state, with the machines and the tasks placed on them.
    pub state: &'a ClusterState,
    /// The machine types that the cloud offers.
    pub types: &'a MachineTypes,
    /// All zones, in the order of [`zones`].
    pub zones: &'a [Arc<str>],
    /// The current time, in seconds since the Unix epoch.
    pub now_s: f64,
}

impl TimelineInputs<'_> {
    /// The timeline of a machine with its tasks; `None` if its type or zone is unknown. `ready_s`
    /// is when a booting machine is expected to be ready, or the current time for a ready one, in
    /// seconds since the Unix epoch.
    pub(crate) fn timeline(
        &self,
        id: &MachineId,
        machine: &MachineState,
        ready_s: f64,
    ) -> Option<MachineTimeline> {
        let record = &machine.record;
        let zone = self.zones.iter().position(|zone| *zone == record.zone)?;
        let type_index = self.types.position(&record.machine_type)?;
        let machine_type = &self.types.types[type_index];
        let name: Arc<str> = id.clone().into();
        let mut timeline =
            MachineTimeline::new(name, type_index, machine_type, zone, record.spot, ready_s);
        timeline.shard = record.shard.clone().into();
        timeline.up = record.ready_ms.is_some();
        timeline.images = machine
            .image_ids
            .iter()
            .map(|id| MachineImage::present(*id))
            .collect();
        for task in &machine.tasks {
            if let Some(AssignedTask { job, task }) = self.state.task(task) {
                self.add_task(&mut timeline, machine, job, task);
            }
        }
        timeline.slowdown = machine.slowdown();
        let boot_s = machine_type.boot_s;
        timeline.prediction_error_s = machine.prediction_error_s.clamp(-boot_s, boot_s);
        Some(timeline)
    }

    /// Reserves the resources of a placed task on the timeline and, if the task has not started,
    /// records the fetch of its image.
    fn add_task(
        &self,
        timeline: &mut MachineTimeline,
        machine: &MachineState,
        job: &JobState,
        task: &TaskState,
    ) {
        let spec = &job.spec;
        let ready_s = timeline.ready_s;
        let end_s = predicted_end(self.state, job, task, machine, self.now_s);
        timeline.reserve(Resources::of_task(spec), ready_s, end_s.max(ready_s + 1.0));
        if task.record.started_ms.is_some() {
            return;
        }
        let machine_type = &self.types.types[timeline.type_index];
        let durations = &self.state.durations;
        let fetch_s = durations.fetch_time(
            spec.image_gb,
            &machine_type.name,
            machine_type.fetch_gb_per_s,
        );
        let fetched_s = seconds(task.record.scheduled_ms) + durations.overhead() + fetch_s;
        let image = self.state.image_id(&spec.image);
        timeline.record_fetch(image, fetched_s.max(self.now_s));
    }
}

/// When a placed task is predicted to leave its machine, in seconds since the Unix epoch;
/// infinite for a service that is not being stopped.
pub(crate) fn predicted_end(
    state: &ClusterState,
    job: &JobState,
    task: &TaskState,
    machine: &MachineState,
    now_s: f64,
) -> f64 {
    let spec = &job.spec;
    let record = &task.record;
    if job.phase != JobPhase::Active || record.stop_reason.is_some() {
        return now_s + spec.save_s + STOP_MARGIN_S;
    }
    let machine_type = &machine.record.machine_type;
    let run_s = state.durations.run_time(spec, machine_type) * machine.slowdown();
    let end_s = match record.started_ms {
        Some(started_ms) => seconds(started_ms) + run_s,
        None => {
            let fetch_s = if machine.has_image(&spec.image) {
                0.0
            } else {
                state.durations.fetch_time(spec.image_gb, machine_type, 0.0)
            };
            seconds(record.scheduled_ms) + state.durations.overhead() + fetch_s + run_s
        }
    };
    if run_s.is_finite() {
        end_s.max(now_s + MIN_REMAINING_SHARE * run_s)
    } else {
        end_s
    }
}
