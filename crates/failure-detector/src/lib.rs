//! Failure detection between controllers: derives the health of the peers and the order of
//! succession for leadership from recorded evidence.
//!
//! The crate does no I/O and has no clock: the caller passes the current time to every call,
//! in seconds of its monotonic clock. Health decides only which controller should do a piece
//! of work. That no two controllers do it is enforced by the consensus-backed store, where
//! every commit is conditional. So a false positive costs time, never safety.

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
