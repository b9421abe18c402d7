//! Cloud capacity: reads the cloud's machine types and machine list, rents and deletes machines,
//! supervises booting machines, and decides how many machines to rent or remove.

pub(crate) mod boot_supervision;
pub(crate) mod deletion;
pub(crate) mod inventory;
pub(crate) mod machines;
pub(crate) mod rentals;
pub(crate) mod scale_in;
pub(crate) mod scale_out;
pub(crate) mod scarcity;
mod shard_allocation;

use crate::context::Context;
use crate::leadership::Leadership;
use crate::store::Replica;
use rushwalk_clients::cloud::CloudClient;
use std::sync::Arc;

pub(crate) use deletion::Deletion;
pub(crate) use inventory::Inventory;
pub(crate) use rentals::{RentalTracker, Rentals};

/// The dependencies of each background loop that calls the cloud.
#[derive(Clone)]
pub(crate) struct CloudLoopParts {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// The local replica of the cluster state, with its machines and open rentals.
    pub replica: Arc<Replica>,
    /// Whether this process leads: only the leader calls the cloud, and it commits the outcomes.
    pub leadership: Arc<Leadership>,
    /// The client of the cloud's API, which keeps to the allowed rate of calls.
    pub cloud: Arc<CloudClient>,
    /// Rentals in flight and recently deleted machines, which are not part of the cluster state.
    pub tracker: Arc<RentalTracker>,
}
