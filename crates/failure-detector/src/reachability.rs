//! Whether a block's holder still reaches its machines, by who hears them.
//!
//! Two things together show a cut that another controller can help with: the holder
//! hears none of a block's machines though some are overdue, and workers of that block
//! turn up at somebody else. Silence alone may be the machines' own; those that turn up
//! alone may have lost a single answer.

use std::collections::BTreeMap;

/// A worker's report comes at most so many intervals after the one before.
const LATEST: f64 = 1.25;

/// When a worker that was last heard at `heard_s`, or never since its block came to this
/// holder at `lent_s`, should have been heard again, in seconds of the same clock. One
/// that is new to a holder is given half an interval to find it.
///
/// Not the time since anybody was heard: workers that started together, or came together
/// after a crash, report together, and leave their holder in silence in between. Blocks
/// were taken from holders that heard all of their machines, each three seconds.
pub fn due_s(heard_s: Option<f64>, lent_s: f64, report_s: f64) -> f64 {
    match heard_s.filter(|at| *at > lent_s) {
        Some(at) => at + LATEST * report_s,
        None => lent_s + (LATEST + 0.5) * report_s,
    }
}

/// Whether a holder hears nothing of a block: so many of its machines are overdue, and
/// none at all was heard for an eighth of a report interval.
pub fn deaf(machines: usize, overdue: usize, quiet_s: f64, report_s: f64) -> bool {
    machines > 0 && overdue >= enough(machines) && quiet_s > report_s / 8.0
}

/// Machines of a block that must be overdue, or turn up elsewhere: one in sixteen, three
/// at least, but not more than half of a small block.
pub fn enough(machines: usize) -> usize {
    (machines / 16).max(3).min(machines / 2 + 1)
}

/// Workers of others' blocks that turned up here, by block. Each counts once.
#[derive(Debug, Clone, Default)]
pub struct MisroutedWorkers {
    /// With the token under which the block was lent then.
    seen: BTreeMap<String, (u64, BTreeMap<String, f64>)>,
}

impl MisroutedWorkers {
    /// A worker reported here while its block is lent to another under `token`.
    pub fn record(&mut self, now_s: f64, block: &str, token: u64, machine: &str) {
        if !self.seen.contains_key(block) {
            self.seen.insert(block.to_string(), Default::default());
        }
        let Some((under, machines)) = self.seen.get_mut(block) else {
            return;
        };
        if *under != token {
            // Lent anew: that they look for the holder is no wonder.
            (*under, *machines) = (token, BTreeMap::new());
        }
        match machines.get_mut(machine) {
            Some(at) => *at = now_s,
            None => {
                machines.insert(machine.to_string(), now_s);
            }
        }
    }

    /// How many turned up of each block in the last `span_s`; older ones are dropped.
    pub fn counts(&mut self, now_s: f64, span_s: f64) -> Vec<(String, u32)> {
        self.seen.retain(|_, (_, machines)| {
            machines.retain(|_, at| now_s - *at < span_s);
            !machines.is_empty()
        });
        let counts = self.seen.iter();
        counts
            .map(|(block, (_, machines))| (block.clone(), machines.len() as u32))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_between_reports_that_come_together_is_no_cut() {
        let report = 8.0;
        // All heard at 0; by 9 s none is due, though all has been silent that long.
        let due: Vec<f64> = (0..20).map(|_| due_s(Some(0.5), 0.0, report)).collect();
        let overdue = |now: f64| due.iter().filter(|at| **at < now).count();
        assert!(!deaf(20, overdue(9.0), 8.5, report));
        assert!(deaf(20, overdue(11.0), 10.5, report));
        // Some are cut off, the others are heard.
        assert!(!deaf(200, 60, 0.1, report));
        assert!(deaf(200, 12, 1.5, report));
        // A new holder is given time.
        assert_eq!(due_s(Some(3.0), 100.0, report), 114.0);
        assert!(!deaf(0, 0, 100.0, report));
        assert_eq!([1, 4, 30, 256].map(enough), [1, 3, 3, 16]);
    }

    #[test]
    fn a_worker_counts_once_and_not_after_its_block_was_lent_anew() {
        let mut strays = MisroutedWorkers::default();
        strays.record(1.0, "east", 7, "i-1");
        strays.record(2.0, "east", 7, "i-1");
        strays.record(2.0, "east", 7, "i-2");
        assert_eq!(strays.counts(3.0, 8.0), [("east".to_string(), 2)]);
        strays.record(4.0, "east", 9, "i-1");
        assert_eq!(strays.counts(4.0, 8.0), [("east".to_string(), 1)]);
        assert!(strays.counts(13.0, 8.0).is_empty());
    }
}
