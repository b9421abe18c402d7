//! The decisions, as plain functions: no I/O, time is an argument.

pub mod amount;
pub mod blocks;
pub mod boots;
pub mod fleet;
pub mod market;
pub mod predict;
pub mod quota;
pub mod retry;
pub mod round;
pub mod slot;
pub mod slots;
pub mod urgency;

pub use amount::Amount;
