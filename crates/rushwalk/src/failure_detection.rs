//! How controllers notice that another has failed: heartbeats between them, and the loop
//! that feeds the failure detector. The detector itself is the package
//! `rushwalk-failure-detector`.

pub(crate) mod heartbeats;
pub(crate) mod local_health;
pub(crate) mod observation;

pub(crate) use heartbeats::HeartbeatSource;
pub(crate) use local_health::LocalHealthSource;
pub(crate) use observation::FailureDetection;
