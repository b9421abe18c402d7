//! One controller of a cluster scheduler: its parts, their loops, and its HTTP interfaces.
//!
//! This library is used by the program (`main.rs`) and by the simulator (`crates/simulator`).
//! Its API is not stable.

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
