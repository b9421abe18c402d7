//! Teams' limits and guarantees, and where a job's tasks may be.

use crate::Resources;
use rushwalk_protocol::jobs::{JobSpec, Shape};
use rushwalk_protocol::settings::Team;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// What teams use: tasks count until they are surely gone.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage(HashMap<String, Resources>);

impl QuotaUsage {
    pub fn add(&mut self, team: &str, amount: Resources) {
        let used = self.0.entry(team.to_string()).or_default();
        *used = *used + amount;
    }

    pub fn of(&self, team: &str) -> Resources {
        self.0.get(team).copied().unwrap_or_default()
    }

    /// How many of `n` tasks stay within the team's limit.
    pub fn tasks_within_limit(&self, team: &Team, amount: Resources, n: usize) -> usize {
        let used = self.of(&team.name);
        let fit = |used: f64, each: f64, limit: f64| match limit > 0.0 && each > 0.0 {
            true => ((limit + 1e-6 - used) / each).max(0.0) as usize,
            false => n,
        };
        n.min(fit(used.cpus, amount.cpus, team.cpus_max)).min(fit(
            used.gpus,
            amount.gpus,
            team.gpus_max,
        ))
    }

    /// Whether `amount` more stays within what the team is guaranteed.
    pub fn is_within_guarantee(&self, team: &Team, amount: Resources) -> bool {
        let used = self.of(&team.name) + amount;
        (team.cpus > 0.0 || team.gpus > 0.0) && within(used, team.cpus, team.gpus)
    }
}

fn within(used: Resources, cpus: f64, gpus: f64) -> bool {
    let ok = |used: f64, limit: f64| limit <= 0.0 || used <= limit + 1e-6;
    ok(used.cpus, cpus) && ok(used.gpus, gpus)
}

/// What can never run is refused for good; `Err` says why.
pub fn can_ever_run(
    spec: &JobSpec,
    teams: &[Team],
    types: &[rushwalk_protocol::cloud::MachineType],
    zones: &[String],
) -> Result<(), String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    if let Some(zone) = &spec.zone
        && !zones.contains(zone)
    {
        return Err(format!("unknown zone {zone}"));
    }
    let amount = Resources::of_task(spec);
    let fit = types.iter().filter(|t| {
        let names = spec.types.as_ref();
        names.is_none_or(|names| names.contains(&t.name)) && amount.fits_in(&Resources::of_type(t))
    });
    let allowed = |z: &&String| spec.zone.as_ref().is_none_or(|only| only == *z);
    let open: BTreeSet<&String> = fit.flat_map(|t| t.zones.iter().filter(allowed)).collect();
    if open.is_empty() {
        return Err("a task fits no allowed machine type".into());
    }
    // Of an array as many run at a time as may be in its zone.
    let together = spec.one_zone || open.len() == 1;
    if spec.spread && together && spec.tasks > 1 && spec.shape != Shape::Array {
        return Err("spread: its tasks can't be in two zones at least".into());
    }
    let n = match spec.shape {
        Shape::Array => 1.0,
        _ => f64::from(spec.tasks),
    };
    if !within(
        Resources {
            cpus: amount.cpus * n,
            gpus: amount.gpus * n,
            memory_gb: 0.0,
        },
        team.cpus_max,
        team.gpus_max,
    ) {
        return Err(format!("more than the limit of team {}", team.name));
    }
    Ok(())
}

/// The zones in which a job's tasks are, lingering ones included.
#[derive(Debug, Clone, Default)]
pub struct TasksPerZone(Vec<(Arc<str>, u32)>);

impl TasksPerZone {
    pub fn add(&mut self, zone: &str) {
        match self.0.iter_mut().find(|(z, _)| **z == *zone) {
            Some((_, n)) => *n += 1,
            None => self.0.push((zone.into(), 1)),
        }
    }

    /// Whether one more task may go to `zone`.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        if spec.one_zone && self.0.iter().any(|(z, _)| **z != *zone) {
            return false;
        }
        let there = self.0.iter().find(|(z, _)| **z == *zone);
        !spec.spread || there.map_or(0, |(_, n)| *n) < spec.tasks.div_ceil(2)
    }
}
