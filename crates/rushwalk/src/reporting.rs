//! Regular log entries on a controller's load, the least served jobs, and incidents: periods in
//! which the controller did not serve normally.

pub(crate) mod incidents;
pub(crate) mod usage;

pub(crate) use incidents::IncidentObserver;
pub(crate) use usage::UsageReport;
