//! A seeded search for combinations of faults that violate an invariant.
//!
//! A few faults, their times, durations and targets are drawn from a seed and run against a
//! small cluster with jobs of all shapes whose users query and cancel them. The same seed
//! gives the same run, to the last commit.

mod run;
mod schedule;
mod users;

pub use run::{RecordedRun, SearchOutcome, run, run_with_events};
pub use schedule::{FaultEvent, FaultKind, FaultSchedule};

/// Controllers of the cluster that is searched.
const CONTROLLERS: usize = 3;
/// For how long users submit jobs, in seconds.
const SUBMISSIONS_END_S: f64 = 150.0;
