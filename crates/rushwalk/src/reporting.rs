//! What a controller tells whoever follows its log: where its time goes, who is served, and
//! how long it did not serve as usual.

pub(crate) mod incidents;
pub(crate) mod usage;

pub(crate) use incidents::IncidentObserver;
pub(crate) use usage::UsageReport;
