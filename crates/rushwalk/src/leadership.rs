//! Who leads, and what the leader does.

pub mod election;
pub mod leader;
