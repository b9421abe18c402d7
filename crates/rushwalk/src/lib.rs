//! One controller of a cluster scheduler: its parts, their loops, and its HTTP interfaces.
//!
//! The program is `main.rs`; this library is for it and for the simulator
//! (`crates/simulator`). It is no stable interface.

#![deny(missing_docs)]

mod capacity;
pub mod clock;
mod connections;
mod context;
pub mod controller;
mod failure_detection;
pub mod http;
mod job_attempt;
mod leadership;
pub mod observability;
pub mod observable;
mod peers;
mod reporting;
mod scheduler_inputs;
mod scheduling;
mod shards;
mod store;
pub mod timing;
mod workers;
