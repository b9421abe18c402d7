//! Where a controller's time goes: how often each kind of work is done, how long
//! it takes, and the longest that it ever kept the others on this thread waiting.

use crate::lock::lock;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Kinds of work that are done in one go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Workers' reports: read, and answered.
    Report,
    /// Users' submissions, read and checked, and answers to their questions.
    User,
    /// Reading and applying what the state service says has changed.
    Watch,
    /// Reading everything: at a start, or after a change was missed.
    List,
    /// A holder's ticks: outcomes, placements, and what workers are sent.
    Hold,
    Lend,
    /// The leader's round: upkeep, and placing what waits.
    Place,
    /// Sizing the fleet by what is expected.
    Size,
    Snapshot,
}

const KINDS: [(Work, &str); 9] = [
    (Work::Report, "report"),
    (Work::User, "user"),
    (Work::Watch, "watch"),
    (Work::List, "list"),
    (Work::Hold, "hold"),
    (Work::Lend, "lend"),
    (Work::Place, "place"),
    (Work::Size, "size"),
    (Work::Snapshot, "snapshot"),
];

#[derive(Debug, Clone, Copy, Default)]
struct Spent {
    turns: u64,
    /// What was looked at: machines by a holder, places by the leader, entries.
    items: u64,
    time: Duration,
    longest: Duration,
}

#[derive(Default)]
pub struct Meter {
    spent: Mutex<[Spent; KINDS.len()]>,
}

/// Counts from its making until it is dropped; it must not outlive a turn.
pub struct Turn<'a> {
    meter: &'a Meter,
    work: Work,
    items: u64,
    since: Instant,
}

impl Turn<'_> {
    /// So much was looked at in it.
    pub fn looked_at(&mut self, items: usize) {
        self.items += items as u64;
    }
}

impl Meter {
    pub fn turn(&self, work: Work) -> Turn<'_> {
        Turn {
            meter: self,
            work,
            items: 0,
            since: Instant::now(),
        }
    }

    /// How many things were looked at in one kind of work so far.
    pub fn items(&self, work: Work) -> u64 {
        let spent = lock(&self.spent);
        spent[work as usize].items
    }

    /// Turns, things looked at, milliseconds and the longest turn of each kind of work so far.
    pub fn told(&self) -> Value {
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

impl Drop for Turn<'_> {
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
