//! Failure detection between controllers: derives the health of the peers and the order of
//! succession for leadership from recorded evidence.
//!
//! The crate does no I/O and has no clock: the caller passes the current time to every call, in
//! seconds of its monotonic clock. Health decides only which controller should do a piece of work.
//! The consensus-backed store ensures that no two controllers do the same work, since every commit
//! to it is conditional. A false positive therefore costs time, never safety.

#![deny(missing_docs)]

pub mod accrual;
pub mod damping;
pub mod detector;
pub mod reachability;
pub mod succession;
pub mod timing;

pub use damping::FlapDamping;
pub use detector::{
    DetectorConfig, FailureDetector, HealthTransition, LocalHealth, PeerHealth, ProbeFailure,
    SuspicionReason,
};
