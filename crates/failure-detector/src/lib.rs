//! Judgement of other controllers: evidence in, standing out.
//!
//! No input or output and no clock of its own: every call names the observer's
//! time, in seconds of its steady clock. A standing decides only who should do a
//! work; that only one does it is the state service's word, on which every commit
//! is conditioned. So a wrong verdict costs time, never a rule.

pub mod accrual;
pub mod damping;
pub mod detector;
pub mod reachability;
pub mod succession;

pub use damping::FlapDamping;
pub use detector::{
    DetectorConfig, FailureDetector, HealthTransition, LocalHealth, PeerHealth, ProbeFailure,
    SuspicionReason,
};
