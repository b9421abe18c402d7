//! The machines that are rented: what the cloud has, rentals and deletions, how machines
//! boot, and how many are needed.

pub mod boot_supervision;
pub mod deletion;
pub mod inventory;
pub mod machines;
pub mod rentals;
pub mod scale_in;
pub mod scale_out;
pub mod scarcity;
mod shard_allocation;

pub use deletion::Deletion;
pub use inventory::Inventory;
pub use rentals::{RentalTracker, Rentals};
