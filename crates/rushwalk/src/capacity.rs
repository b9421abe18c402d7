//! Placement and the number of machines.

pub mod cloud;
pub mod round;
pub mod timelines;
