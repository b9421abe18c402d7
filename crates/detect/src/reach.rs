//! Whether a block's holder still reaches its machines, by who hears them.
//!
//! Two things together show a cut that another controller can help with: the holder
//! hears none of a block's machines for longer than chance allows, and workers of
//! that block turn up at somebody else. Silence alone may be the machines' own; those
//! that turn up alone may have lost a single answer.

use std::collections::BTreeMap;

/// A silence of a whole block is not chance if it has the likelihood of e to the
/// minus this, with reports at random within their interval.
const SURE: f64 = 8.0;

/// How long a holder may hear nothing of `machines` that are up before that can't be
/// chance, in seconds; never less than a quarter of a report interval.
pub fn deaf_after_s(machines: usize, report_s: f64) -> f64 {
    (SURE * report_s / machines.max(1) as f64).max(report_s / 4.0)
}

/// Workers that must turn up elsewhere before a deaf holder counts as cut off: one
/// in sixteen, three at least, but not more than half of a small block.
pub fn strays_needed(machines: usize) -> usize {
    (machines / 16).max(3).min(machines / 2 + 1)
}

/// Workers of others' blocks that turned up here, by block. Each counts once.
#[derive(Debug, Clone, Default)]
pub struct Strays {
    /// With the token under which the block was lent then.
    seen: BTreeMap<String, (u64, BTreeMap<String, f64>)>,
}

impl Strays {
    /// A worker reported here while its block is lent to another under `token`.
    pub fn turned_up(&mut self, now_s: f64, block: &str, token: u64, machine: &str) {
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
    pub fn told(&mut self, now_s: f64, span_s: f64) -> Vec<(String, u32)> {
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
    fn large_blocks_show_a_cut_sooner_than_small_ones() {
        assert_eq!(deaf_after_s(200, 8.0), 2.0);
        assert_eq!(deaf_after_s(10, 3.0), 2.4);
        assert_eq!(deaf_after_s(2, 3.0), 12.0);
        assert_eq!([1, 4, 30, 256].map(strays_needed), [1, 3, 3, 16]);
    }

    #[test]
    fn a_worker_counts_once_and_not_after_its_block_was_lent_anew() {
        let mut strays = Strays::default();
        strays.turned_up(1.0, "east", 7, "i-1");
        strays.turned_up(2.0, "east", 7, "i-1");
        strays.turned_up(2.0, "east", 7, "i-2");
        assert_eq!(strays.told(3.0, 8.0), [("east".to_string(), 2)]);
        strays.turned_up(4.0, "east", 9, "i-1");
        assert_eq!(strays.told(4.0, 8.0), [("east".to_string(), 1)]);
        assert!(strays.told(13.0, 8.0).is_empty());
    }
}
