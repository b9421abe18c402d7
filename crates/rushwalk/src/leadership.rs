//! Who leads: election, failover and stepping down, and what only the leader may commit.

pub mod election;
pub mod leader;
pub mod snapshot_writer;

pub use leader::{LeaderVersion, Leadership};
