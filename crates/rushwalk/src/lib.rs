//! One controller of a cluster scheduler: its parts, their loops, and its HTTP interfaces.
//!
//! The program is `main.rs`; this library is for it and for the simulator
//! (`crates/simulator`). It is no stable interface.

mod capacity;
pub mod clock;
pub mod connections;
pub mod context;
pub mod controller;
pub mod failure_detection;
pub mod http;
pub mod leadership;
pub mod observability;
pub mod observable;
pub mod peers;
pub mod reporting;
mod scheduler_inputs;
pub mod scheduling;
mod shards;
pub mod store;
pub mod timing;
pub mod workers;
