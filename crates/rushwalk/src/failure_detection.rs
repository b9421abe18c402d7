//! Detection of failed controllers by their peers: the heartbeats between controllers, and the
//! loop that passes observations to the failure detector. The detector itself is the crate
//! `rushwalk-failure-detector`.

pub(crate) mod heartbeats;
pub(crate) mod local_health;
pub(crate) mod observation;

pub(crate) use heartbeats::HeartbeatSource;
pub(crate) use local_health::LocalHealthSource;
pub(crate) use observation::FailureDetection;
