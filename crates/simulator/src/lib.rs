//! Simulations on virtual time: whole controllers under schedules of faults, on the simulated
//! platform of `rushwalk-testkit`; and the failure detector alone, on a model of the network.
//! They are used in tests, for measurements, and to demonstrate failover without a real
//! platform.
#![deny(missing_docs)]

pub mod cluster;
pub mod detector_model;
pub mod error;
pub mod failover;
pub mod fault_search;
pub mod inspect;
pub mod plot;
pub mod value_name;
pub mod virtual_time;

pub use cluster::{ClusterConfig, SimulatedCluster};
pub use error::SimulatorError;
