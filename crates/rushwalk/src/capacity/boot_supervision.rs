//! Boot supervision: how long rented machines boot, and which of them are abandoned.

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

/// One in so many of the machines that are as late as all that were rented with them is
/// abandoned in a boot time, to try whether a new one boots faster.
const LATE_PER_TRIAL: usize = 8;

/// Boot times for which an abandoned machine still counts as a sample.
const SAMPLE_BOOT_TIMES: f64 = 8.0;

/// A machine that was abandoned before it came.
struct AbandonedBoot {
    group: BootGroup,
    nominal_s: f64,
    sample: BootSample,
}

/// A machine abandoned only to try whether a new one boots faster.
struct Trial {
    group: BootGroup,
    at: Instant,
}

/// A machine that boots.
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

/// Learns how machines boot, and abandons those that don't become ready.
#[derive(Default)]
pub(crate) struct BootSupervisor {
    boot_times: BootTimeEstimator,
    abandoned: Vec<AbandonedBoot>,
    trials: Vec<Trial>,
}

/// What the boot time of a machine depends on.
struct BootClass<'a> {
    /// The machines with which it is compared.
    group: BootGroup,
    machine_type: &'a MachineType,
}

/// The class of a machine; `None` if its type or zone is not known.
fn boot_class<'a>(
    machine: &MachineRecord,
    types: &'a MachineTypes,
    zones: &[Arc<str>],
) -> Option<BootClass<'a>> {
    let zone = zones.iter().position(|zone| *zone == machine.zone)?;
    let group = types.position(&machine.machine_type)?;
    Some(BootClass {
        group: BootGroup::new(group, zone),
        machine_type: &types.types[group],
    })
}

impl BootSupervisor {
    /// How machines boot, as of the latest update.
    pub(crate) fn boot_times(&self) -> &BootTimeEstimator {
        &self.boot_times
    }

    /// When a machine that boots should be ready, in seconds.
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

    /// Learns from the machines there are and from those that were abandoned. A machine may
    /// be ready for `heartbeat_s` before its heartbeat shows it.
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

    /// Machines to abandon since others would come sooner. One that never comes holds what
    /// can be rented of its kind: 580 did for 250 s, and all others were in use. Only if
    /// `jobs_wait` it is worth a try to abandon one of many that are all late.
    pub(crate) fn abandon_late(
        &mut self,
        state: &ClusterState,
        types: &MachineTypes,
        zones: &[Arc<str>],
        jobs_wait: bool,
    ) -> BTreeSet<MachineId> {
        let mut abandoned = BTreeSet::new();
        let mut late_like_others = Vec::new();
        for (id, machine) in &state.machines {
            let record = &machine.record;
            if !is_booting_under_an_owner(state, record) {
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
                BootLateness::LateLikeOthers => late_like_others.push(booting),
                BootLateness::ReplaceNow => {
                    abandoned.insert(id.clone());
                }
            }
        }
        if jobs_wait {
            self.try_others(late_like_others, &mut abandoned);
        }
        self.record_abandoned(state, types, zones, &abandoned);
        abandoned
    }

    /// Abandons some of the machines that are all late: if work waits, another is worth a
    /// try now and then.
    fn try_others(&mut self, mut late: Vec<BootingMachine>, abandoned: &mut BTreeSet<MachineId>) {
        late.sort_by_key(|machine| (machine.group, machine.rented_ms));
        for machines in late.chunk_by(|a, b| a.group == b.group) {
            let (group, nominal_s) = (machines[0].group, machines[0].nominal_s);
            self.trials.retain(|trial| {
                trial.group != group || trial.at.elapsed().as_secs_f64() < nominal_s
            });
            let under_way = self.trials.iter().filter(|t| t.group == group).count();
            let more = (machines.len() / LATE_PER_TRIAL).saturating_sub(under_way);
            for machine in machines.iter().take(more) {
                self.trials.push(Trial {
                    group,
                    at: Instant::now(),
                });
                abandoned.insert(machine.id.clone());
            }
        }
    }

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

/// Whether a machine boots, and a controller would receive its heartbeat.
fn is_booting_under_an_owner(state: &ClusterState, machine: &MachineRecord) -> bool {
    let lease = state.shard_leases.get(&machine.shard);
    machine.ready_ms.is_none()
        && machine.lifecycle != MachineLifecycle::Deleting
        && lease.is_some_and(|lease| state.is_owner_registered(&lease.value))
}
