//! How a controller's thread spends its time: how often each kind of work is done, how long it
//! takes, and its longest time slice, during which all other tasks of the thread wait.

#[cfg(test)]
mod tests;

use parking_lot::Mutex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Kinds of work that run without yielding to other tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Workers' heartbeats: parsing and responding.
    Heartbeat,
    /// Users' requests: parsing and validation of submissions, and responses to status queries.
    UserRequest,
    /// Parsing and applying the store's watch events.
    Watch,
    /// Listing the whole store, at the start of the process or after a gap in the watch events.
    List,
    /// A shard owner's reconciliation: outcomes, placements, and commands to workers.
    Reconcile,
    /// The leader's assignment of shards to controllers.
    AssignShards,
    /// The leader's scheduling round: maintenance, and placement of pending tasks.
    Schedule,
    /// Scale out and scale in of the fleet for the expected demand.
    ScaleOut,
    /// Encoding and writing a snapshot.
    Snapshot,
}

/// All kinds of work, in the order of [`WorkKind`], with their names in the administration
/// API and in the log.
const KINDS: [(WorkKind, &str); 9] = [
    (WorkKind::Heartbeat, "report"),
    (WorkKind::UserRequest, "user"),
    (WorkKind::Watch, "watch"),
    (WorkKind::List, "list"),
    (WorkKind::Reconcile, "hold"),
    (WorkKind::AssignShards, "lend"),
    (WorkKind::Schedule, "place"),
    (WorkKind::ScaleOut, "size"),
    (WorkKind::Snapshot, "snapshot"),
];

#[derive(Debug, Clone, Copy, Default)]
struct WorkTotals {
    slices: u64,
    items: u64,
    time: Duration,
    longest: Duration,
}

/// The totals of each kind of work since the start of the process.
#[derive(Default)]
pub struct WorkProfile {
    totals: Mutex<[WorkTotals; KINDS.len()]>,
}

/// Measures one time slice of work, from its creation to its drop. It must not be held across an
/// `await`, or the time slices of other tasks would be included.
pub struct WorkTimer<'a> {
    profile: &'a WorkProfile,
    kind: WorkKind,
    items: u64,
    started: Instant,
}

/// The totals of one kind of work, as shown by the administration API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkKindSummary {
    /// Number of items processed: requests of workers or users, watch events, machines that a
    /// shard owner reconciled, machines that the scheduler evaluated, or mutations in snapshots.
    pub items: u64,
    /// The longest time slice, in milliseconds.
    pub longest_ms: f64,
    /// The total duration of all time slices, in milliseconds.
    pub ms: f64,
    /// Number of time slices.
    #[serde(rename = "turns")]
    pub slices: u64,
}

/// The totals of all kinds of work by their names; displayed as JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(transparent)]
pub struct WorkSummary {
    kinds: BTreeMap<&'static str, WorkKindSummary>,
}

impl WorkTimer<'_> {
    /// Adds to the number of items processed in this time slice.
    pub fn add_items(&mut self, items: usize) {
        self.items += items as u64;
    }
}

impl Drop for WorkTimer<'_> {
    fn drop(&mut self) {
        let time = self.started.elapsed();
        let mut totals = self.profile.totals.lock();
        let total = &mut totals[self.kind as usize];
        total.slices += 1;
        total.items += self.items;
        total.time += time;
        total.longest = total.longest.max(time);
    }
}

impl WorkProfile {
    /// Begins a time slice of work, which ends when the timer is dropped.
    pub fn start(&self, kind: WorkKind) -> WorkTimer<'_> {
        WorkTimer {
            profile: self,
            kind,
            items: 0,
            started: Instant::now(),
        }
    }

    /// How many items of one kind of work were processed since the start of the process.
    pub fn items(&self, kind: WorkKind) -> u64 {
        self.totals.lock()[kind as usize].items
    }

    /// The totals of each kind of work since the start of the process.
    pub fn summary(&self) -> WorkSummary {
        let totals = self.totals.lock();
        let kinds = KINDS.iter().zip(totals.iter());
        WorkSummary {
            kinds: kinds
                .map(|((_, name), total)| (*name, total.summary()))
                .collect(),
        }
    }
}

impl WorkTotals {
    fn summary(&self) -> WorkKindSummary {
        WorkKindSummary {
            items: self.items,
            longest_ms: rounded_ms(self.longest),
            ms: rounded_ms(self.time),
            slices: self.slices,
        }
    }
}

impl fmt::Display for WorkSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&json)
    }
}

/// Milliseconds, rounded to tenths.
fn rounded_ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
