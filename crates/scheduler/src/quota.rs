//! Resource limits and guarantees of teams, and the constraints on the zones of a job's tasks.

use crate::Resources;
use crate::resources::ROUNDING_TOLERANCE;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::settings::Team;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use thiserror::Error;

/// Resources in use per team, by the team's name. A task counts until it is known to have
/// ended.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage(HashMap<String, Resources>);

impl QuotaUsage {
    /// Adds an amount to the resources that a team uses.
    pub fn add(&mut self, team: &str, amount: Resources) {
        let used = self.0.entry(team.to_string()).or_default();
        *used = *used + amount;
    }

    fn of_team(&self, team: &str) -> Resources {
        self.0.get(team).copied().unwrap_or_default()
    }

    /// How many of `count` tasks, each requesting `amount`, stay within the team's limit.
    pub fn tasks_within_limit(&self, team: &Team, amount: Resources, count: usize) -> usize {
        let used = self.of_team(&team.name);
        let within_cpus = count_within(used.cpus, amount.cpus, team.cpus_max);
        let within_gpus = count_within(used.gpus, amount.gpus, team.gpus_max);
        [within_cpus, within_gpus]
            .into_iter()
            .flatten()
            .fold(count, usize::min)
    }

    /// Whether the team stays within its guarantee if it uses `amount` more. If only one of
    /// CPUs and GPUs has a guarantee, the other is not checked; without any the result is
    /// false.
    pub fn is_within_guarantee(&self, team: &Team, amount: Resources) -> bool {
        let used = self.of_team(&team.name) + amount;
        (team.cpus > 0.0 || team.gpus > 0.0) && is_within(used, team.cpus, team.gpus)
    }
}

/// How many times `each` fits between `used` and `limit`; `None` if there is no limit (0) or
/// `each` is 0.
fn count_within(used: f64, each: f64, limit: f64) -> Option<usize> {
    let limited = limit > 0.0 && each > 0.0;
    limited.then(|| ((limit + ROUNDING_TOLERANCE - used) / each).max(0.0) as usize)
}

/// Whether `used` is within the limits on CPUs and GPUs. A limit of 0 means unlimited.
fn is_within(used: Resources, cpus_limit: f64, gpus_limit: f64) -> bool {
    let within = |used: f64, limit: f64| limit <= 0.0 || used <= limit + ROUNDING_TOLERANCE;
    within(used.cpus, cpus_limit) && within(used.gpus, gpus_limit)
}

/// The reason why a job can never run. Its text is the error message that the user receives
/// in response to the submission.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unsatisfiable {
    /// The settings have no team of this name.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// The settings have no zone of this name.
    #[error("unknown zone {0}")]
    UnknownZone(String),
    /// No machine type is allowed by the job, offered in a zone that the job allows, and large
    /// enough for a task.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// The job requests that its tasks are spread over zones, but they can only be in one.
    #[error("spread: its tasks can't be in two zones at least")]
    SpreadImpossible,
    /// The tasks that must run at the same time exceed the limit of this team.
    #[error("more than the limit of team {0}")]
    TeamLimitExceeded(String),
}

/// Checks that a job could run if any number of machines were available and no other job
/// used them.
///
/// # Errors
/// The first reason found why the job can never run.
pub fn check_satisfiable(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
    zones: &[String],
) -> Result<(), Unsatisfiable> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(Unsatisfiable::UnknownTeam(spec.team.clone()));
    };
    if let Some(zone) = &spec.zone
        && !zones.contains(zone)
    {
        return Err(Unsatisfiable::UnknownZone(zone.clone()));
    }
    let possible_zones = possible_zones(spec, types);
    if possible_zones.is_empty() {
        return Err(Unsatisfiable::NoMachineTypeFits);
    }
    // A spread array can run in a single zone: its tasks need not run at the same time, so it
    // runs at most half of them, rounded up, at a time there.
    let single_zone = spec.one_zone || possible_zones.len() == 1;
    if spec.spread && single_zone && spec.tasks > 1 && spec.shape != Shape::Array {
        return Err(Unsatisfiable::SpreadImpossible);
    }
    if !is_within(min_concurrent_resources(spec), team.cpus_max, team.gpus_max) {
        return Err(Unsatisfiable::TeamLimitExceeded(team.name.clone()));
    }
    Ok(())
}

/// The zones in which a job can run: the job allows the zone, and a machine type offered there
/// is allowed by the job and large enough for a task.
fn possible_zones<'a>(spec: &JobSpec, types: &'a [MachineType]) -> BTreeSet<&'a String> {
    let amount = Resources::of_task(spec);
    let type_allowed = |name: &String| {
        let allowed = spec.types.as_ref();
        allowed.is_none_or(|names| names.contains(name))
    };
    let zone_allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
    types
        .iter()
        .filter(|t| type_allowed(&t.name) && amount.fits_in(&Resources::of_type(t)))
        .flat_map(|t| t.zones.iter().filter(zone_allowed))
        .collect()
}

/// The minimum of CPUs and GPUs that a job needs at one time: those of one task for an array,
/// those of all tasks for other jobs. The memory is 0, since teams have no memory limit.
fn min_concurrent_resources(spec: &JobSpec) -> Resources {
    let tasks = match spec.shape {
        Shape::Array => 1.0,
        _ => f64::from(spec.tasks),
    };
    let amount = Resources::of_task(spec);
    Resources {
        cpus: amount.cpus * tasks,
        gpus: amount.gpus * tasks,
        memory_gb: 0.0,
    }
}

/// Number of tasks of a job in each zone, including terminating ones.
#[derive(Debug, Clone, Default)]
pub struct TasksPerZone(Vec<ZoneTasks>);

#[derive(Debug, Clone)]
struct ZoneTasks {
    zone: Arc<str>,
    count: u32,
}

impl TasksPerZone {
    /// Counts one more task in a zone.
    pub fn add(&mut self, zone: &str) {
        match self.0.iter_mut().find(|entry| *entry.zone == *zone) {
            Some(entry) => entry.count += 1,
            None => self.0.push(ZoneTasks {
                zone: zone.into(),
                count: 1,
            }),
        }
    }

    /// Whether one more task may be placed in a zone. With `one_zone`, all tasks must be in
    /// the same zone; with `spread`, at most half of them, rounded up, may be in one zone.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        if spec.one_zone && self.0.iter().any(|entry| *entry.zone != *zone) {
            return false;
        }
        !spec.spread || self.count_in(zone) < spec.tasks.div_ceil(2)
    }

    fn count_in(&self, zone: &str) -> u32 {
        let entry = self.0.iter().find(|entry| *entry.zone == *zone);
        entry.map_or(0, |entry| entry.count)
    }
}
