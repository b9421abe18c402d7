//! Leadership: election, failover and stepping down, and the commits that only the leader may
//! make.

pub(crate) mod election;
pub(crate) mod leader;
pub(crate) mod snapshot_writer;

pub(crate) use leader::{LeaderVersion, Leadership};
