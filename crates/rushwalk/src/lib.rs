//! One controller of a cluster scheduler: its loops, and what they share.
//!
//! The program is `main.rs`; this library is for it and for the simulator
//! (`crates/simulator`). It is no stable interface.

mod capacity;
pub mod controller;
pub mod http;
pub mod leadership;
mod lock;
pub mod observability;
pub mod observable;
mod random;
mod shards;
mod store;
pub mod view;
mod workers;

#[cfg(test)]
mod size;
