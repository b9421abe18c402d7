//! Regular entries in the log: where a controller's time goes, who is served, and how long it
//! did not serve as usual.

pub(crate) mod incidents;
pub(crate) mod usage;

pub(crate) use incidents::IncidentObserver;
pub(crate) use usage::UsageReport;
