//! Data that an earlier version stored must stay readable, and what is written must stay
//! the same to the byte. The files under `fixtures/` were written by the program at f94b32f;
//! a field renamed without `serde(rename)` fails these tests.

use rushwalk_protocol::store::KeyValue;
use rushwalk_state::keys::KeyKind;
use rushwalk_state::records::{
    LeaderRecord, LogEntry, MachineTypes, MemberRecord, ShardLease, SnapshotManifest,
};
use rushwalk_state::{ClusterState, Mutation, codec};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

const MUTATIONS: &str = include_str!("fixtures/mutations.jsonl");
const RECORDS: &str = include_str!("fixtures/records.tsv");
const SNAPSHOT: &str = include_str!("fixtures/snapshot.tsv");

/// Reads a JSON value and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(json: &str) -> String {
    let value: T = serde_json::from_str(json).unwrap_or_else(|error| panic!("{json}: {error}"));
    serde_json::to_string(&value).unwrap()
}

/// Reads the value of a key by the type that the key has, and writes it again.
fn rewritten_record(key: &str, value: &str) -> String {
    match KeyKind::of(key).expect(key) {
        KeyKind::Member(_) => rewritten::<MemberRecord>(value),
        KeyKind::ShardLease(_) => rewritten::<ShardLease>(value),
        KeyKind::LogEntry { .. } | KeyKind::SnapshotChunk => rewritten::<LogEntry>(value),
        KeyKind::Leader => rewritten::<LeaderRecord>(value),
        KeyKind::MachineTypes => rewritten::<MachineTypes>(value),
        KeyKind::SnapshotManifest => rewritten::<SnapshotManifest>(value),
        KeyKind::Unknown => panic!("{key}: no such record"),
    }
}

/// The lines of a file, each a key and a value.
fn pairs(file: &str) -> impl Iterator<Item = (&str, &str)> {
    file.lines().map(|line| line.split_once('\t').unwrap())
}

#[test]
fn stored_records_are_read_and_written_as_they_were() {
    assert_eq!(MUTATIONS.lines().count(), 32);
    for line in MUTATIONS.lines() {
        assert_eq!(rewritten::<Mutation>(line), line);
    }
    assert_eq!(pairs(RECORDS).count() + pairs(SNAPSHOT).count(), 11);
    for (key, value) in pairs(RECORDS).chain(pairs(SNAPSHOT)) {
        assert_eq!(rewritten_record(key, value), value, "{key}");
    }
}

/// A state restored from the snapshot is written as the same mutations. Their order follows
/// a map's, which is another in every process.
#[test]
fn a_stored_snapshot_is_restored_and_written_as_it_was() {
    let listing = pairs(SNAPSHOT).map(|(key, value)| KeyValue {
        key: key.into(),
        value: serde_json::from_str(value).unwrap(),
        version: 13,
    });
    let state = ClusterState::from_listing(listing.collect(), 13, 1_700_000_100_000).unwrap();
    let restored: BTreeSet<String> = state
        .to_mutations()
        .iter()
        .map(|mutation| serde_json::to_string(mutation).unwrap())
        .collect();
    let chunks =
        pairs(SNAPSHOT).filter(|(key, _)| KeyKind::of(key) == Some(KeyKind::SnapshotChunk));
    let stored: BTreeSet<String> = chunks
        .flat_map(|(_, value)| codec::unframe(&serde_json::from_str::<Box<_>>(value).unwrap()))
        .flat_map(|chunk| chunk.mutations)
        .map(|mutation| serde_json::to_string(&mutation).unwrap())
        .collect();
    assert_eq!(stored.len(), 12);
    assert_eq!(restored, stored);
}
