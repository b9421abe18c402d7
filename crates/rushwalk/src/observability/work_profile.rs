//! Where a controller's time goes: how often each kind of work is done, how long it takes,
//! and the longest that it ever kept the other tasks of the thread waiting.

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
    /// Users' submissions, parsed and validated, and responses to their queries.
    UserRequest,
    /// Parsing and applying the store's watch events.
    Watch,
    /// Listing the whole store: at a start, or after a watch gap.
    List,
    /// A shard owner's reconciliation: outcomes, placements, and commands to workers.
    Reconcile,
    /// The leader's assignment of shards.
    AssignShards,
    /// The leader's scheduling round: maintenance, and placement of pending tasks.
    Schedule,
    /// Sizing the fleet by the expected demand.
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

/// Measures one slice of work, from its creation to its drop. It must not be held over an
/// await: the slices of other tasks would count, too.
pub struct WorkTimer<'a> {
    profile: &'a WorkProfile,
    kind: WorkKind,
    items: u64,
    started: Instant,
}

/// The totals of one kind of work, as shown by the administration API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorkKindSummary {
    /// What was processed: machines by a shard owner, tasks by the leader, log entries.
    pub items: u64,
    /// The longest slice, in milliseconds.
    pub longest_ms: f64,
    /// All slices together, in milliseconds.
    pub ms: f64,
    /// How often the work was done.
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
    /// Counts processed items.
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
    /// Begins a slice of work.
    pub fn start(&self, kind: WorkKind) -> WorkTimer<'_> {
        WorkTimer {
            profile: self,
            kind,
            items: 0,
            started: Instant::now(),
        }
    }

    /// How many items one kind of work has processed so far.
    pub fn items(&self, kind: WorkKind) -> u64 {
        self.totals.lock()[kind as usize].items
    }

    /// The totals of each kind of work so far.
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
