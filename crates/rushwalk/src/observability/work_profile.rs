//! Where a controller's time goes: how often each kind of work is done, how long
//! it takes, and the longest that it ever kept the others on this thread waiting.

use crate::lock::lock;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Kinds of work that are done in one go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Workers' reports: read, and answered.
    Heartbeat,
    /// Users' submissions, read and checked, and answers to their questions.
    UserRequest,
    /// Reading and applying what the state service says has changed.
    Watch,
    /// Reading everything: at a start, or after a change was missed.
    List,
    /// A holder's ticks: outcomes, placements, and what workers are sent.
    Reconcile,
    AssignShards,
    /// The leader's round: upkeep, and placing what waits.
    Schedule,
    /// Sizing the fleet by what is expected.
    ScaleOut,
    Snapshot,
}

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
    turns: u64,
    /// What was looked at: machines by a holder, places by the leader, entries.
    items: u64,
    time: Duration,
    longest: Duration,
}

#[derive(Default)]
pub struct WorkProfile {
    spent: Mutex<[WorkTotals; KINDS.len()]>,
}

/// Counts from its making until it is dropped; it must not outlive a turn.
pub struct WorkTimer<'a> {
    meter: &'a WorkProfile,
    work: WorkKind,
    items: u64,
    since: Instant,
}

impl WorkTimer<'_> {
    /// So much was looked at in it.
    pub fn add_items(&mut self, items: usize) {
        self.items += items as u64;
    }
}

impl WorkProfile {
    pub fn start(&self, work: WorkKind) -> WorkTimer<'_> {
        WorkTimer {
            meter: self,
            work,
            items: 0,
            since: Instant::now(),
        }
    }

    /// How many things were looked at in one kind of work so far.
    pub fn items(&self, work: WorkKind) -> u64 {
        let spent = lock(&self.spent);
        spent[work as usize].items
    }

    /// Turns, things looked at, milliseconds and the longest turn of each kind of work so far.
    pub fn summary(&self) -> Value {
        let spent = lock(&self.spent);
        let ms = |d: Duration| (d.as_secs_f64() * 1e4).round() / 10.0;
        let kinds = KINDS.iter().zip(spent.iter());
        kinds
            .map(|((_, name), s)| {
                let told = json!({"turns": s.turns, "items": s.items, "ms": ms(s.time), "longest_ms": ms(s.longest)});
                (name.to_string(), told)
            })
            .collect::<serde_json::Map<_, _>>()
            .into()
    }
}

impl Drop for WorkTimer<'_> {
    fn drop(&mut self) {
        let time = self.since.elapsed();
        let mut spent = lock(&self.meter.spent);
        let spent = &mut spent[self.work as usize];
        spent.turns += 1;
        spent.items += self.items;
        spent.time += time;
        spent.longest = spent.longest.max(time);
    }
}

#[cfg(test)]
mod tests;
