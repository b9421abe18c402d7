//! Which keys a controller may write its log entries to.

#[cfg(test)]
mod tests;

use crate::cluster_state::ClusterState;
use crate::{Revision, keys};
use std::collections::{HashMap, VecDeque};

/// A key for a log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryKey {
    /// The number of the key in its member's series.
    pub number: u64,
    /// The version that the key has; 0 if it was never written. Every write is conditioned
    /// on it, so that a commit that arrives late can't replace an entry that still counts.
    pub version: Revision,
}

/// Hands out the keys of one member's log entries. A key whose entry is in the snapshot is
/// used again.
#[derive(Debug, Default)]
pub struct EntryKeyAllocator {
    free: VecDeque<u64>,
    next: u64,
    /// Keys of commits in flight or of unknown outcome, with the version they had.
    in_use: HashMap<u64, Revision>,
    /// The snapshot for which `free` was made.
    snapshot: Option<Revision>,
}

impl EntryKeyAllocator {
    /// Takes a key of `member`'s series that is free according to `state`.
    pub fn allocate(&mut self, state: &ClusterState, member: &str) -> EntryKey {
        if self.snapshot != Some(state.snapshot.revision) {
            self.reclaim(state, member);
        }
        loop {
            let number = self.free.pop_front().unwrap_or_else(|| {
                self.next += 1;
                self.next - 1
            });
            let key = keys::log_entry(member, number);
            let version = state.log_versions.get(&key).copied().unwrap_or(0);
            // Written since, by a commit of the previous process that arrived late: its
            // entry is in no snapshot, and would be lost to a replica that lists anew.
            if version > state.snapshot.revision {
                continue;
            }
            self.in_use.insert(number, version);
            return EntryKey { number, version };
        }
    }

    /// Finds the keys whose entries a new snapshot covers.
    fn reclaim(&mut self, state: &ClusterState, member: &str) {
        self.snapshot = Some(state.snapshot.revision);
        let prefix = keys::log_entries(member);
        let mut written: Vec<EntryKey> = state
            .log_versions
            .iter()
            .filter_map(|(key, version)| {
                Some(EntryKey {
                    number: key.strip_prefix(&prefix)?.parse().ok()?,
                    version: *version,
                })
            })
            .collect();
        written.sort_unstable_by_key(|key| key.number);
        self.next = written
            .last()
            .map_or(0, |key| key.number + 1)
            .max(self.next);
        for key in &written {
            let used = self.in_use.get(&key.number);
            if used.is_some_and(|before| key.version > *before) {
                self.in_use.remove(&key.number);
            }
        }
        let covered = written.iter().filter(|key| {
            key.version <= state.snapshot.revision && !self.in_use.contains_key(&key.number)
        });
        self.free = covered.map(|key| key.number).collect();
    }

    /// Returns a key to which nothing was written.
    pub fn release(&mut self, number: u64) {
        if self.in_use.remove(&number).is_some() {
            self.free.push_back(number);
        }
    }
}
