//! Stand-ins for the platform, written from its protocol, for days on paused
//! time: a state service, a cloud, workers, and a checker of the rules.

pub mod rules;
pub mod store;
pub mod worker;
pub mod world;

pub use rules::{Limit, Request, Rules};
pub use world::{Build, Fault, World, ZONES};
