//! One controller of a cluster scheduler: its loops, and what they share.
//!
//! The program is `main.rs`; this library is for it and for trials against stand-ins
//! (`crates/simulator`). It is no stable interface.

pub mod admin;
pub mod api;
mod chance;
mod cloud;
mod fleet;
pub mod gate;
pub mod handover;
mod holder;
mod leader;
pub mod load;
mod lock;
mod log;
pub mod mesh;
pub mod meter;
pub mod node;
mod recovery;
mod reports;
mod seats;
pub mod signal;
mod slots;
mod snapshot;
mod sync;
pub mod view;

#[cfg(test)]
mod size;
