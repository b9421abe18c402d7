//! A seeded search for combinations of faults that violate an invariant.
//!
//! A schedule of a few faults with their times, durations and targets is drawn from a seed
//! and run against a small cluster, while simulated users submit, query and cancel jobs of
//! all shapes. A run is deterministic: the same seed gives the same events, down to each
//! commit.

mod run;
mod schedule;
mod users;

pub use run::{RecordedRun, SearchOutcome, run, run_with_events};
pub use schedule::{FaultEvent, FaultKind, FaultSchedule};

/// Number of controllers in the cluster of each run.
const CONTROLLERS: usize = 3;
/// End of the period in which users submit jobs, in seconds from the first submission.
const SUBMISSIONS_END_S: f64 = 150.0;
