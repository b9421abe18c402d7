//! Trials of controllers on virtual time, under schedules of failures, against the
//! stand-ins of `rushwalk-testkit`; and of the failure detector alone, against a model
//! of the network. For tests, measurements, and to see the service survive something
//! without any platform.

pub mod cluster;
pub mod detector_model;
pub mod failover;
pub mod fault_search;
pub mod plot;

pub use cluster::{Setup, Site};
