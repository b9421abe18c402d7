//! Periodic reconciliation with the cloud: the machine types that it offers, and the machines
//! that it lists as rented by this cluster.

use super::CloudLoopParts;
use super::shard_allocation::ShardAllocator;
use crate::clock::now_ms;
use crate::leadership::LeaderVersion;
use crate::store::WritePriority;
use rushwalk_clients::Error;
use rushwalk_protocol::cloud::{ListedMachine, ListedState, MAX_LIST};
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_state::mutation::{MachineAdopted, SetLifecycle, in_batches};
use rushwalk_state::records::{MachineLifecycle, MachineRecord, MachineTypes};
use rushwalk_state::{ClusterState, Mutation, UnixMillis, keys};
use tokio::time::{Instant, sleep};

/// Interval between two reads of the machine types, in worker leases.
const TYPES_INTERVAL_LEASES: u32 = 2;

/// At most one in this many calls to the cloud may be for the machine list.
const CALLS_PER_LIST_CALL: f64 = 10.0;

/// A machine can come from a rental although it seems to have been created before the request. The
/// difference is at most this many milliseconds plus the clock skew.
const AGE_TOLERANCE_MS: UnixMillis = 2000;

/// Reads the machine types and the machine list periodically while this process leads.
pub(crate) struct Inventory {
    /// Dependencies of this loop.
    pub parts: CloudLoopParts,
}

/// The result of comparing the cloud's list with the cluster state.
struct Reconciliation {
    /// The leadership under which `mutations` are to be committed.
    leader: LeaderVersion,
    mutations: Vec<Mutation>,
}

impl Inventory {
    /// Reads the machine types and the machine list at their intervals, until the process ends.
    pub(crate) async fn run(self) {
        let mut types_read: Option<Instant> = None;
        let mut list_read: Option<Instant> = None;
        let timing = &self.parts.context.timing;
        loop {
            sleep(timing.round / 4).await;
            if !self.parts.leadership.is_leader() {
                continue;
            }
            let types_interval = timing.worker_lease * TYPES_INTERVAL_LEASES;
            if types_read.is_none_or(|at| at.elapsed() > types_interval)
                && self.update_types().await
            {
                types_read = Some(Instant::now());
            }
            let list_interval_s = self.list_interval_s();
            if list_read.is_none_or(|at| at.elapsed().as_secs_f64() > list_interval_s) {
                list_read = Some(Instant::now());
                self.reconcile_list().await;
            }
        }
    }

    /// Seconds between two reads of the machine list. The interval grows with the fleet, since
    /// each page of `MAX_LIST` machines takes a call.
    fn list_interval_s(&self) -> f64 {
        let pages = (self.parts.replica.state().machines.len() / MAX_LIST + 1) as f64;
        let lag_s = self.parts.context.settings.site.cloud.list_lag_s.max(1.0);
        (4.0 * lag_s).max(CALLS_PER_LIST_CALL * pages / self.parts.cloud.rate())
    }

    /// Reads the machine types and commits them if they have changed. Returns whether the
    /// committed types are up to date.
    async fn update_types(&self) -> bool {
        let types = match self.parts.cloud.machine_types().await {
            Ok(response) => MachineTypes {
                types: response.types,
            },
            Err(error) => {
                tracing::debug!(%error, "could not read the machine types");
                return false;
            }
        };
        let transaction = {
            let state = self.parts.replica.state();
            let Some(version) = self.parts.leadership.version(&state) else {
                return false;
            };
            if state.machine_types.as_deref() == Some(&types) {
                return true;
            }
            version
                .transaction()
                .expect_version(keys::MACHINE_TYPES, state.key_version(keys::MACHINE_TYPES))
                .put(keys::MACHINE_TYPES, &types)
        };
        self.parts
            .leadership
            .commit(transaction, WritePriority::Scheduling)
            .await
    }

    /// Reads the machine list and commits which machines are to be deleted: those that have
    /// failed, and those that are not in the cluster state and can't come from an open rental.
    async fn reconcile_list(&self) {
        let listed = match self.list().await {
            Ok(listed) => listed,
            Err(error) => {
                tracing::debug!(%error, "could not read the machine list");
                return;
            }
        };
        if let Some(Reconciliation { leader, mutations }) = self.compare(&listed) {
            self.parts
                .leadership
                .append(leader, &mutations, WritePriority::Maintenance)
                .await;
        }
    }

    async fn list(&self) -> Result<Vec<ListedMachine>, Error> {
        let mut all: Vec<ListedMachine> = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.parts.cloud.list(&after).await?;
            let has_more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if let Some(last) = all.last() {
                after = last.name.clone();
            }
            if !has_more {
                return Ok(all);
            }
        }
    }

    fn compare(&self, listed: &[ListedMachine]) -> Option<Reconciliation> {
        let state = self.parts.replica.state();
        let leader = self.parts.leadership.version(&state)?;
        let lag_s = self.parts.context.settings.site.cloud.list_lag_s;
        let mut tracked = self.parts.tracker.state();
        // The list lags behind: it may still contain a machine that was just deleted.
        tracked
            .deleted
            .retain(|_, at| at.elapsed().as_secs_f64() < 4.0 * lag_s + 10.0);
        let mut allocator = ShardAllocator::new(&state, self.parts.context.controllers());
        let mut mutations = Vec::new();
        let mut failed: Vec<MachineId> = Vec::new();
        for machine in listed {
            if tracked.deleted.contains_key(&*machine.name) {
                continue;
            }
            let is_failed = machine.state == ListedState::Failed;
            match state.machines.get(&*machine.name) {
                None if is_failed || self.is_unexpected(&state, machine) => {
                    let shard = allocator.allocate(&machine.zone, 1).into_iter().next();
                    mutations.extend(shard.map(|shard| adopt_to_delete(machine, shard)));
                }
                Some(known)
                    if is_failed && known.record.lifecycle != MachineLifecycle::Deleting =>
                {
                    tracing::info!(machine = machine.name, "cloud lists machine as failed");
                    failed.push(machine.name.as_str().into());
                }
                _ => {}
            }
        }
        mutations.extend(in_batches(&failed, |machines| {
            Mutation::SetLifecycle(SetLifecycle {
                lifecycle: MachineLifecycle::Deleting,
                machines,
            })
        }));
        Some(Reconciliation { leader, mutations })
    }

    /// Whether a listed machine can't come from any open rental. Machines younger than twice the
    /// list's lag are never unexpected.
    fn is_unexpected(&self, state: &ClusterState, machine: &ListedMachine) -> bool {
        let site = &self.parts.context.settings.site;
        if machine.age_s <= 2.0 * site.cloud.list_lag_s {
            return false;
        }
        let tolerance_ms = site.skew_ms as UnixMillis + AGE_TOLERANCE_MS;
        let rented_ms = rented_ms(machine);
        let mut rentals = state.rentals.values();
        !rentals.any(|rental| rental.requested_ms <= rented_ms + tolerance_ms)
    }
}

/// When the cloud created a listed machine, by this process's clock. The result is late by the lag
/// of the list, since the machine's age is given for the time that the list describes.
fn rented_ms(machine: &ListedMachine) -> UnixMillis {
    now_ms().saturating_sub((machine.age_s * 1000.0) as UnixMillis)
}

/// Adds a listed machine to the cluster state with the lifecycle `Deleting`, so that it is
/// returned to the cloud. Such a machine can come from a rental whose response was late.
fn adopt_to_delete(machine: &ListedMachine, shard: ShardId) -> Mutation {
    tracing::info!(
        machine = machine.name,
        "unexpected machine adopted to be deleted"
    );
    let record = MachineRecord {
        lifecycle: MachineLifecycle::Deleting,
        address: machine.address.as_str().into(),
        ..MachineRecord::rented(
            machine.machine_type.as_str().into(),
            machine.zone.as_str().into(),
            machine.spot,
            shard,
            rented_ms(machine),
        )
    };
    Mutation::MachineAdopted(MachineAdopted {
        machine: machine.name.as_str().into(),
        record,
    })
}
