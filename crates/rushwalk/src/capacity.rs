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

pub(crate) use deletion::Deletion;
pub(crate) use inventory::Inventory;
pub(crate) use rentals::{RentalTracker, Rentals};
