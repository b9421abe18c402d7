//! The keys of rushwalk's records in the key-value store.

use crate::Revision;

/// The prefix of every key that rushwalk uses.
pub const ROOT: &str = "w/";

/// The key of the [`LeaderRecord`](crate::records::LeaderRecord).
pub const LEADER: &str = "w/leader";

/// The key of the [`MachineTypes`](crate::records::MachineTypes).
pub const MACHINE_TYPES: &str = "w/types";

/// The key of the [`SnapshotManifest`](crate::records::SnapshotManifest).
pub const SNAPSHOT_MANIFEST: &str = "w/base";

/// The kind of record that a key holds, as determined by the key alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind<'a> {
    /// The record of the leader.
    Leader,
    /// The machine types that the cloud offers.
    MachineTypes,
    /// The manifest of the current snapshot.
    SnapshotManifest,
    /// The record of the member with this name.
    Member(&'a str),
    /// The lease of the shard with this name.
    ShardLease(&'a str),
    /// An entry of the log, written by a member.
    LogEntry {
        /// The member's name; empty if the key lacks the entry's number.
        member: &'a str,
    },
    /// A chunk of a snapshot.
    SnapshotChunk,
    /// A kind of record that this version of rushwalk does not know.
    Unknown,
}

impl KeyKind<'_> {
    /// The kind of a key that begins with [`ROOT`]; `None` for any other key.
    pub fn of(key: &str) -> Option<KeyKind<'_>> {
        let path = key.strip_prefix(ROOT)?;
        let kind = match path.split_once('/') {
            Some(("g", shard)) => KeyKind::ShardLease(shard),
            Some(("m", member)) => KeyKind::Member(member),
            Some(("l", rest)) => KeyKind::LogEntry {
                member: rest.split_once('/').map_or("", |(member, _)| member),
            },
            Some(("s", _)) => KeyKind::SnapshotChunk,
            _ if key == LEADER => KeyKind::Leader,
            _ if key == MACHINE_TYPES => KeyKind::MachineTypes,
            _ if key == SNAPSHOT_MANIFEST => KeyKind::SnapshotManifest,
            _ => KeyKind::Unknown,
        };
        Some(kind)
    }
}

/// The key of a shard's lease.
pub fn shard_lease(shard: &str) -> String {
    format!("w/g/{shard}")
}

/// The key of a member's record.
pub fn member(member: &str) -> String {
    format!("w/m/{member}")
}

/// The key of a log entry. Every member has its own series of keys, numbered from 0.
pub fn log_entry(member: &str, number: u64) -> String {
    format!("w/l/{member}/{number}")
}

/// The prefix of the keys of a member's log entries.
pub fn log_entries(member: &str) -> String {
    format!("w/l/{member}/")
}

/// The key of a chunk of a snapshot. Even and odd generations have different keys, so that a
/// snapshot that is being written never overwrites chunks of the current one.
pub fn snapshot_chunk(generation: Revision, index: usize) -> String {
    format!("w/s/{}/{index:05}", generation % 2)
}
