//! Who leads: election, failover and stepping down, and what only the leader may commit.

pub(crate) mod election;
pub(crate) mod leader;
pub(crate) mod snapshot_writer;

pub(crate) use leader::{LeaderVersion, Leadership};
