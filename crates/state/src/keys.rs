//! The keys of the records.

use crate::Revision;

/// The prefix of every key that rushwalk uses.
pub const ROOT: &str = "w/";

/// The key of the [`LeaderRecord`](crate::records::LeaderRecord).
pub const LEADER: &str = "w/leader";

/// The key of the [`MachineTypes`](crate::records::MachineTypes).
pub const MACHINE_TYPES: &str = "w/types";

/// The key of the [`SnapshotManifest`](crate::records::SnapshotManifest).
pub const SNAPSHOT_MANIFEST: &str = "w/base";

/// What a key holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind<'a> {
    /// The leader's record.
    Leader,
    /// The machine types that the cloud offers.
    MachineTypes,
    /// The manifest of the snapshot that counts.
    SnapshotManifest,
    /// The record of a member, by its name.
    Member(&'a str),
    /// The lease of a shard, by its name.
    ShardLease(&'a str),
    /// An entry of the log, written by a member.
    LogEntry {
        /// The member's name.
        member: &'a str,
    },
    /// A chunk of a snapshot.
    SnapshotChunk,
    /// Nothing that this version knows.
    Unknown,
}

impl KeyKind<'_> {
    /// What a key below [`ROOT`] holds; `None` for any other key.
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

/// The key of a log entry; every member has its own series, numbered from 0.
pub fn log_entry(member: &str, number: u64) -> String {
    format!("w/l/{member}/{number}")
}

/// The prefix of a member's log entries.
pub fn log_entries(member: &str) -> String {
    format!("w/l/{member}/")
}

/// The key of a snapshot's chunk. Two generations alternate, so that a snapshot being
/// written never replaces the one that counts.
pub fn snapshot_chunk(generation: Revision, index: usize) -> String {
    format!("w/s/{}/{index:05}", generation % 2)
}
