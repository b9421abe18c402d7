//! Stand-ins for the platform, written from its protocol, for days on paused
//! time: a state service, a cloud, workers, and a checker of the rules.

pub mod invariants;
pub mod platform;
pub mod store;
pub mod worker;

pub use invariants::{Limit, Request, Rules};
pub use platform::{Build, Fault, World, ZONES};
