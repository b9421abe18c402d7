//! Simulations of controllers on virtual time: whole controllers under schedules of faults,
//! against the simulated platform of `rushwalk-testkit`; and the failure detector alone,
//! against a model of the network. For tests, for measurements, and to see the service
//! survive failures without any platform.
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
