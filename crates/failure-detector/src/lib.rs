//! Failure detection between controllers: evidence in, health and succession out.
//!
//! No input or output and no clock of its own: every call names the observer's
//! time, in seconds of its steady clock. Health decides only who should do a piece of
//! work; that only one controller does it is enforced by the consensus-backed store, on
//! which every commit is conditioned. So a false positive costs time, never safety.

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
