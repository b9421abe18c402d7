//! Trials of controllers on virtual time, under schedules of failures, against the
//! stand-ins of `rushwalk-testkit`; and of the failure detector alone, against a model
//! of the network. For tests, measurements, and to see the service survive something
//! without any platform.

pub mod meetings;
pub mod model;
pub mod plot;
pub mod site;
pub mod trial;

pub use site::{Setup, Site};
