//! Allocation of the keys that a controller writes its log entries to.

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
    /// The current version of the key; 0 if it was never written. Every write is conditioned
    /// on it, so that a commit that arrives late can't overwrite an entry that no snapshot
    /// covers yet.
    pub version: Revision,
}

/// Allocates the keys of one member's log entries. A key is reused once a snapshot covers
/// its entry.
#[derive(Debug, Default)]
pub struct EntryKeyAllocator {
    /// Numbers of keys that can be reused, in the order of their reuse.
    free: VecDeque<u64>,
    /// The number that is allocated next if no key is free.
    next_number: u64,
    /// Numbers of the keys of commits in flight or of unknown outcome, with the version that
    /// each key had when it was allocated.
    in_use: HashMap<u64, Revision>,
    /// The revision of the snapshot for which `free` was computed; `None` before the first
    /// allocation.
    snapshot_revision: Option<Revision>,
}

impl EntryKeyAllocator {
    /// Allocates a key of `member`'s series that is free according to `state`.
    pub fn allocate(&mut self, state: &ClusterState, member: &str) -> EntryKey {
        if self.snapshot_revision != Some(state.snapshot.revision) {
            self.free_covered_keys(state, member);
        }
        loop {
            let number = self.free.pop_front().unwrap_or_else(|| {
                self.next_number += 1;
                self.next_number - 1
            });
            let key = keys::log_entry(member, number);
            let version = state.log_versions.get(&key).copied().unwrap_or(0);
            // A late commit of an earlier process of this member wrote the key after the snapshot.
            // Reusing the key would overwrite that entry, and a replica that lists the
            // store afterwards would miss it.
            if version > state.snapshot.revision {
                continue;
            }
            self.in_use.insert(number, version);
            return EntryKey { number, version };
        }
    }

    /// Frees the keys whose entries a new snapshot covers, except keys of commits that may
    /// still arrive.
    fn free_covered_keys(&mut self, state: &ClusterState, member: &str) {
        self.snapshot_revision = Some(state.snapshot.revision);
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
        self.next_number = written
            .last()
            .map_or(0, |key| key.number + 1)
            .max(self.next_number);
        for key in &written {
            let allocated = self.in_use.get(&key.number);
            if allocated.is_some_and(|allocated_version| key.version > *allocated_version) {
                self.in_use.remove(&key.number);
            }
        }
        let covered = written.iter().filter(|key| {
            key.version <= state.snapshot.revision && !self.in_use.contains_key(&key.number)
        });
        self.free = covered.map(|key| key.number).collect();
    }

    /// Makes an allocated key free again, because its commit certainly did not write it.
    pub fn release(&mut self, number: u64) {
        if self.in_use.remove(&number).is_some() {
            self.free.push_back(number);
        }
    }
}
