//! The machines that are rented: what the cloud has, rentals and deletions, how machines
//! boot, and how many are needed.

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

/// The parts of each loop that calls the cloud.
#[derive(Clone)]
pub(crate) struct CloudLoopParts {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows the rentals and machines that are known.
    pub replica: Arc<Replica>,
    /// Only the leader calls the cloud.
    pub leadership: Arc<Leadership>,
    /// Calls the cloud.
    pub cloud: Arc<CloudClient>,
    /// What is in flight, and what was deleted lately.
    pub tracker: Arc<RentalTracker>,
}
