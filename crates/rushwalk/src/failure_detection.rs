//! How controllers notice that another has failed: heartbeats between them, and the loop
//! that feeds the failure detector. The detector itself is the package
//! `rushwalk-failure-detector`.

pub mod heartbeats;
pub mod local_health;
pub mod observation;

pub use heartbeats::HeartbeatSource;
pub use local_health::LocalHealthSource;
pub use observation::FailureDetection;
