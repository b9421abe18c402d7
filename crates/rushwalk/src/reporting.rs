//! What a controller tells whoever follows its log: where its time goes, who is served, and
//! how long it did not serve as usual.

pub mod incidents;
pub mod usage;

pub use incidents::IncidentObserver;
pub use usage::UsageReport;
