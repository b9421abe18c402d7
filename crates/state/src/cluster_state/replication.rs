//! Replication from the store: the state is built from a listing of all keys, then updated
//! by the responses of watches.

use super::{ClusterState, Versioned};
use crate::codec::unframe;
use crate::keys::{self, KeyKind};
use crate::records::{LogEntry, SnapshotManifest};
use crate::{Revision, UnixMillis};
use rushwalk_protocol::store::{KeyValue, Value, WatchEvent, WatchResponse};
use rushwalk_scheduler::durations::DurationEstimator;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The snapshot in a listing is incomplete, because a newer snapshot overwrote its chunks
/// while the pages of the listing were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the snapshot was replaced during the listing")]
pub struct SnapshotReplaced;

/// The changes in a watch response begin after a revision that the replica has not reached
/// yet, so the changes up to that revision are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("watch response begins after revision {since}, but the replica is at {reached}")]
pub struct WatchGap {
    /// The revision after which the changes of the response begin.
    pub since: Revision,
    /// The revision that the replica has reached.
    pub reached: Revision,
}

impl ClusterState {
    /// Builds a state from a listing of all keys. `revision` is that of the listing's first
    /// page; newer entries of later pages are ignored, since a watch from `revision` returns
    /// them in order.
    ///
    /// # Errors
    ///
    /// `SnapshotReplaced` if a newer snapshot overwrote chunks during the listing: the store
    /// must be listed again.
    pub fn from_listing(
        entries: Vec<KeyValue>,
        revision: Revision,
        now_ms: UnixMillis,
    ) -> Result<ClusterState, SnapshotReplaced> {
        // `replace_with` replaces these durations with those that the previous state has learnt.
        let mut state = ClusterState::new(DurationEstimator::new(10, 0.0));
        let mut chunks: BTreeMap<String, Value> = BTreeMap::new();
        let mut log_entries: Vec<KeyValue> = Vec::new();
        for entry in entries {
            if entry.version > revision {
                continue;
            }
            match KeyKind::of(&entry.key) {
                Some(KeyKind::LogEntry { .. }) => log_entries.push(entry),
                Some(KeyKind::SnapshotChunk) => {
                    state.key_versions.insert(entry.key.clone(), entry.version);
                    chunks.insert(entry.key, entry.value);
                }
                _ => state.apply_put(entry.key, &entry.value, entry.version),
            }
        }
        state.apply_snapshot(&chunks, now_ms)?;
        log_entries.sort_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
        for entry in log_entries {
            state.apply_listed_entry(entry, now_ms);
        }
        state.revision = revision;
        Ok(state)
    }

    /// Applies a log entry of a listing, unless the snapshot covers it.
    fn apply_listed_entry(&mut self, entry: KeyValue, now_ms: UnixMillis) {
        if entry.version > self.snapshot.revision {
            match unframe(&entry.value) {
                Some(parsed) => self.apply_entry(parsed, entry.version, now_ms),
                None => self.mark_unreadable(&entry.key),
            }
        }
        self.log_versions.insert(entry.key, entry.version);
    }

    fn apply_snapshot(
        &mut self,
        chunks: &BTreeMap<String, Value>,
        now_ms: UnixMillis,
    ) -> Result<(), SnapshotReplaced> {
        let manifest = self.snapshot;
        for index in 0..manifest.chunks {
            let key = keys::snapshot_chunk(manifest.generation, index);
            let value = chunks.get(&key).ok_or(SnapshotReplaced)?;
            let Some(chunk) = unframe(value) else {
                self.mark_unreadable(&key);
                break;
            };
            if chunk.previous_version != manifest.revision {
                return Err(SnapshotReplaced);
            }
            for mutation in chunk.mutations {
                self.apply(mutation, manifest.revision, now_ms);
            }
        }
        Ok(())
    }

    /// Replaces this state by a newly listed one, but keeps the durations and the job counts
    /// that this process has collected. All machines are marked as changed.
    ///
    /// # Errors
    ///
    /// Returns `listed` unchanged if it is older than this state. A watch that was sent from
    /// this state's revision may be in flight. It returns only later changes, so the changes
    /// between `listed` and this state would be lost.
    pub fn replace_with(&mut self, mut listed: ClusterState) -> Result<(), Box<ClusterState>> {
        if listed.revision < self.revision {
            return Err(Box::new(listed));
        }
        std::mem::swap(&mut self.durations, &mut listed.durations);
        if !self.service_counts.classes.is_empty() {
            // The existing counts are kept, although they lack the changes that no watch returned.
            std::mem::swap(&mut self.service_counts, &mut listed.service_counts);
        }
        listed.changed_machines = listed.machines.keys().cloned().collect();
        *self = listed;
        Ok(())
    }

    /// Applies the response to a watch from the revision `since`. Sets
    /// [`ClusterState::has_gap`] if the response shows that a log entry was missed.
    ///
    /// # Errors
    ///
    /// `WatchGap` if this state has not reached `since`; nothing is applied then.
    pub fn apply_watch(
        &mut self,
        since: Revision,
        response: WatchResponse,
        now_ms: UnixMillis,
    ) -> Result<(), WatchGap> {
        let reached = self.revision;
        if since > reached {
            return Err(WatchGap { since, reached });
        }
        let mut events: Vec<WatchEvent> = response.events;
        events.sort_by(|a, b| (a.version, a.key()).cmp(&(b.version, b.key())));
        for event in events {
            // Responses of concurrent watches may overlap; each change is applied only once.
            if event.version > reached {
                self.apply_event(event, now_ms);
            }
        }
        self.revision = reached.max(response.revision);
        Ok(())
    }

    fn apply_event(&mut self, event: WatchEvent, now_ms: UnixMillis) {
        match (event.put, event.value, event.delete) {
            (Some(key), Some(value), _) => match KeyKind::of(&key) {
                Some(KeyKind::LogEntry { member }) => {
                    self.record_write(member, event.version);
                    match unframe(&value) {
                        Some(entry) => {
                            self.check_for_gap(&key, &entry);
                            self.apply_entry(entry, event.version, now_ms);
                        }
                        None => self.mark_unreadable(&key),
                    }
                    self.log_versions.insert(key, event.version);
                }
                _ => self.apply_put(key, &value, event.version),
            },
            (_, _, Some(key)) => self.apply_delete(&key),
            _ => {}
        }
    }

    fn record_write(&mut self, member: &str, revision: Revision) {
        match self.last_writes.get_mut(member) {
            Some(last) => *last = revision,
            None => {
                self.last_writes.insert(member.to_string(), revision);
            }
        }
    }

    fn mark_unreadable(&mut self, key: &str) {
        if self.unreadable.is_none() {
            tracing::error!(key, "unreadable record: this controller makes no decisions");
            self.unreadable = Some(key.to_string());
        }
    }

    /// Sets `has_gap` if the version that the entry's key had before this write differs from
    /// the one known here, since then an earlier entry under the same key was missed.
    fn check_for_gap(&mut self, key: &str, entry: &LogEntry) {
        let known_version = self.log_versions.get(key).copied().unwrap_or(0);
        if entry.previous_version != known_version {
            self.has_gap = true;
        }
    }

    fn apply_entry(&mut self, entry: LogEntry, version: Revision, now_ms: UnixMillis) {
        self.entries_since_snapshot += 1;
        for mutation in entry.mutations {
            self.apply(mutation, version, now_ms);
        }
    }

    fn apply_put(&mut self, key: String, value: &Value, version: Revision) {
        let Some(kind) = KeyKind::of(&key) else {
            return;
        };
        let applied = match kind {
            KeyKind::ShardLease(shard) => parse(value).map(|lease| {
                let lease = Versioned {
                    version,
                    value: lease,
                };
                self.shard_leases.insert(shard.into(), lease);
            }),
            KeyKind::Member(member) => parse(value).map(|record| {
                self.members.insert(member.into(), record);
                self.record_write(member, version);
            }),
            KeyKind::Leader => parse(value).map(|leader| {
                self.leader = Some(Versioned {
                    version,
                    value: leader,
                });
            }),
            KeyKind::MachineTypes => parse(value).map(|types| {
                self.machine_types = Some(Arc::new(types));
            }),
            KeyKind::SnapshotManifest => parse(value).map(|manifest| {
                self.set_snapshot(manifest);
            }),
            // All changes in a snapshot's chunk were already applied from the log.
            KeyKind::SnapshotChunk => Some(()),
            KeyKind::LogEntry { .. } | KeyKind::Unknown => None,
        };
        if applied.is_none() {
            self.mark_unreadable(&key);
        }
        self.key_versions.insert(key, version);
    }

    fn set_snapshot(&mut self, manifest: SnapshotManifest) {
        self.snapshot = manifest;
        if self.unreadable.as_deref() == Some(keys::SNAPSHOT_MANIFEST) {
            // The state lacks a part that the new snapshot may have.
            self.has_gap = true;
        }
        let versions = self.log_versions.values();
        let newer_versions = versions.filter(|version| **version > manifest.revision);
        self.entries_since_snapshot = newer_versions.count();
    }

    fn apply_delete(&mut self, key: &str) {
        self.key_versions.remove(key);
        match KeyKind::of(key) {
            Some(KeyKind::ShardLease(shard)) => {
                self.shard_leases.remove(shard);
            }
            Some(KeyKind::Member(member)) => {
                self.members.remove(member);
            }
            Some(KeyKind::Leader) => self.leader = None,
            _ => {}
        }
    }
}

fn parse<T: DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}
