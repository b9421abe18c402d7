//! Boot supervision: estimates how long rented machines take to boot, and abandons those that
//! take too long.

use crate::clock::now_ms;
use crate::scheduler_inputs::seconds;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::ids::MachineId;
use rushwalk_scheduler::boot_times::{BootGroup, BootLateness, BootSample, BootTimeEstimator};
use rushwalk_state::records::{MachineLifecycle, MachineRecord, MachineTypes};
use rushwalk_state::{ClusterState, UnixMillis};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::time::Instant;

/// Of the machines in a group that are all late alike, one in this many is abandoned per nominal
/// boot time, as a trial of whether a new machine boots faster.
const LATE_PER_TRIAL: usize = 8;

/// How long an abandoned machine counts as a sample, in nominal boot times since it was rented.
const SAMPLE_BOOT_TIMES: f64 = 8.0;

/// A machine that was abandoned before it became ready.
struct AbandonedBoot {
    group: BootGroup,
    nominal_s: f64,
    sample: BootSample,
}

/// A machine that was abandoned only as a trial of whether a new one boots faster.
struct Trial {
    group: BootGroup,
    /// When the machine was abandoned.
    at: Instant,
}

/// A machine that is booting.
struct BootingMachine<'a> {
    group: BootGroup,
    rented_ms: UnixMillis,
    id: &'a MachineId,
    nominal_s: f64,
}

impl BootingMachine<'_> {
    fn lateness(&self, boot_times: &BootTimeEstimator) -> BootLateness {
        boot_times.lateness(self.group, self.nominal_s, seconds(self.rented_ms))
    }
}

/// Estimates boot times, and abandons machines that do not become ready in time.
#[derive(Default)]
pub(crate) struct BootSupervisor {
    /// The estimates as of the latest update.
    boot_times: BootTimeEstimator,
    /// Machines that were abandoned recently: they remain samples after their deletion.
    abandoned: Vec<AbandonedBoot>,
    /// Trials. Those that began at least a nominal boot time ago are removed when new trials of
    /// their group are considered.
    trials: Vec<Trial>,
}

/// The properties of a machine that determine its expected boot time.
struct BootClass<'a> {
    /// The machines that should boot alike: those of the same type in the same zone.
    group: BootGroup,
    machine_type: &'a MachineType,
}

/// The boot class of a machine; `None` if its type or zone is not known.
fn boot_class<'a>(
    machine: &MachineRecord,
    types: &'a MachineTypes,
    zones: &[Arc<str>],
) -> Option<BootClass<'a>> {
    let zone = zones.iter().position(|zone| *zone == machine.zone)?;
    let type_index = types.position(&machine.machine_type)?;
    Some(BootClass {
        group: BootGroup::new(type_index, zone),
        machine_type: &types.types[type_index],
    })
}

impl BootSupervisor {
    /// The boot time estimates as of the latest update.
    pub(crate) fn boot_times(&self) -> &BootTimeEstimator {
        &self.boot_times
    }

    /// When a booting machine should be ready, in seconds since the Unix epoch; at least a second
    /// after `now_s`.
    pub(crate) fn expected_ready_s(
        &self,
        machine: &MachineRecord,
        types: &MachineTypes,
        zones: &[Arc<str>],
        now_s: f64,
    ) -> f64 {
        let remaining_s = boot_class(machine, types, zones).map_or(0.0, |class| {
            let rented_s = seconds(machine.rented_ms);
            self.boot_times
                .remaining_s(class.group, class.machine_type.boot_s, rented_s)
        });
        now_s + remaining_s.max(1.0)
    }

    /// Replaces the estimates with new ones, from the machines in the cluster state and from those
    /// that were abandoned. `heartbeat_s` is the interval of worker heartbeats: a machine may have
    /// been ready for that long before a heartbeat shows it.
    pub(crate) fn update(
        &mut self,
        state: &ClusterState,
        types: &MachineTypes,
        zones: &[Arc<str>],
        now_ms: UnixMillis,
        heartbeat_s: f64,
    ) {
        let now_s = seconds(now_ms);
        let mut boot_times = BootTimeEstimator::new(now_s, heartbeat_s);
        for machine in state.machines.values() {
            let record = &machine.record;
            if let Some(class) = boot_class(record, types, zones) {
                let rented_s = seconds(record.rented_ms);
                let until_s = record.ready_ms.map_or(now_s, seconds);
                let sample = BootSample {
                    rented_s,
                    elapsed_s: (until_s - rented_s).max(0.0),
                    booted: record.ready_ms.is_some(),
                };
                boot_times.add_sample(class.group, class.machine_type.boot_s, sample);
            }
        }
        self.abandoned
            .retain(|boot| now_s - boot.sample.rented_s < SAMPLE_BOOT_TIMES * boot.nominal_s);
        for boot in &self.abandoned {
            boot_times.add_sample(boot.group, boot.nominal_s, boot.sample);
        }
        boot_times.finish_sampling();
        self.boot_times = boot_times;
    }

    /// Selects machines to abandon because new ones should be ready sooner. A machine that never
    /// becomes ready takes up rentable capacity of its kind: 580 such machines did so for 250 s
    /// while all others were in use. If `jobs_wait`, this also abandons some of the machines that
    /// are all late alike, as a trial.
    pub(crate) fn abandon_late(
        &mut self,
        state: &ClusterState,
        types: &MachineTypes,
        zones: &[Arc<str>],
        jobs_wait: bool,
    ) -> BTreeSet<MachineId> {
        let mut abandoned = BTreeSet::new();
        let mut late_alike = Vec::new();
        for (id, machine) in &state.machines {
            let record = &machine.record;
            if !is_booting_in_owned_shard(state, record) {
                continue;
            }
            let Some(class) = boot_class(record, types, zones) else {
                continue;
            };
            let booting = BootingMachine {
                group: class.group,
                rented_ms: record.rented_ms,
                id,
                nominal_s: class.machine_type.boot_s,
            };
            match booting.lateness(&self.boot_times) {
                BootLateness::OnTime => {}
                BootLateness::LateLikeOthers => late_alike.push(booting),
                BootLateness::ReplaceNow => {
                    abandoned.insert(id.clone());
                }
            }
        }
        if jobs_wait {
            self.start_trials(late_alike, &mut abandoned);
        }
        self.record_abandoned(state, types, zones, &abandoned);
        abandoned
    }

    /// Abandons some of the machines that are all late alike, the oldest rentals first. While
    /// jobs wait, such trials show whether new machines boot faster by now.
    fn start_trials(&mut self, mut late: Vec<BootingMachine>, abandoned: &mut BTreeSet<MachineId>) {
        late.sort_by_key(|machine| (machine.group, machine.rented_ms));
        for machines in late.chunk_by(|a, b| a.group == b.group) {
            let (group, nominal_s) = (machines[0].group, machines[0].nominal_s);
            self.trials.retain(|trial| {
                trial.group != group || trial.at.elapsed().as_secs_f64() < nominal_s
            });
            let running = self.trials.iter().filter(|t| t.group == group).count();
            let new_trials = (machines.len() / LATE_PER_TRIAL).saturating_sub(running);
            for machine in machines.iter().take(new_trials) {
                self.trials.push(Trial {
                    group,
                    at: Instant::now(),
                });
                abandoned.insert(machine.id.clone());
            }
        }
    }

    /// Keeps the abandoned machines as samples of machines that have not booted.
    fn record_abandoned(
        &mut self,
        state: &ClusterState,
        types: &MachineTypes,
        zones: &[Arc<str>],
        abandoned: &BTreeSet<MachineId>,
    ) {
        let now_ms = now_ms();
        for machine in abandoned.iter().filter_map(|id| state.machines.get(id)) {
            let record = &machine.record;
            if let Some(class) = boot_class(record, types, zones) {
                let sample = BootSample {
                    rented_s: seconds(record.rented_ms),
                    elapsed_s: seconds(now_ms.saturating_sub(record.rented_ms)),
                    booted: false,
                };
                self.abandoned.push(AbandonedBoot {
                    group: class.group,
                    nominal_s: class.machine_type.boot_s,
                    sample,
                });
            }
        }
    }
}

/// Whether a machine is booting in a shard whose owner is a registered member. In any other shard
/// no controller receives the machine's heartbeats, so it may be ready without being known to be.
fn is_booting_in_owned_shard(state: &ClusterState, machine: &MachineRecord) -> bool {
    let lease = state.shard_leases.get(&machine.shard);
    machine.ready_ms.is_none()
        && machine.lifecycle != MachineLifecycle::Deleting
        && lease.is_some_and(|lease| state.is_owner_registered(&lease.value))
}
