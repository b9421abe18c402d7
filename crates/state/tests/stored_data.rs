//! Data that an earlier version stored must stay readable, and the same data must be written
//! byte for byte as before. The files under `fixtures/` were written by the version at commit
//! f94b32f. Renaming a stored field without `serde(rename)` fails these tests.

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

/// Deserializes a JSON value and serializes it again.
fn reserialized<T: Serialize + DeserializeOwned>(json: &str) -> String {
    let value: T = serde_json::from_str(json).unwrap_or_else(|error| panic!("{json}: {error}"));
    serde_json::to_string(&value).unwrap()
}

/// Deserializes the value of a key as the record type of that key, and serializes it again.
fn reserialized_record(key: &str, value: &str) -> String {
    match KeyKind::of(key).expect(key) {
        KeyKind::Member(_) => reserialized::<MemberRecord>(value),
        KeyKind::ShardLease(_) => reserialized::<ShardLease>(value),
        KeyKind::LogEntry { .. } | KeyKind::SnapshotChunk => reserialized::<LogEntry>(value),
        KeyKind::Leader => reserialized::<LeaderRecord>(value),
        KeyKind::MachineTypes => reserialized::<MachineTypes>(value),
        KeyKind::SnapshotManifest => reserialized::<SnapshotManifest>(value),
        KeyKind::Unknown => panic!("{key}: unknown kind of record"),
    }
}

/// The keys and values of a file with one tab-separated pair per line.
fn key_values(file: &str) -> impl Iterator<Item = (&str, &str)> {
    file.lines().map(|line| line.split_once('\t').unwrap())
}

#[test]
fn stored_records_are_reserialized_unchanged() {
    assert_eq!(MUTATIONS.lines().count(), 32);
    for line in MUTATIONS.lines() {
        assert_eq!(reserialized::<Mutation>(line), line);
    }
    assert_eq!(
        key_values(RECORDS).count() + key_values(SNAPSHOT).count(),
        11
    );
    for (key, value) in key_values(RECORDS).chain(key_values(SNAPSHOT)) {
        assert_eq!(reserialized_record(key, value), value, "{key}");
    }
}

/// A state that is restored from a snapshot must be written as the same mutations. They are
/// compared as sets, since their order depends on a hash map whose order differs between
/// processes.
#[test]
fn a_restored_snapshot_is_written_unchanged() {
    let listing = key_values(SNAPSHOT).map(|(key, value)| KeyValue {
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
        key_values(SNAPSHOT).filter(|(key, _)| KeyKind::of(key) == Some(KeyKind::SnapshotChunk));
    let stored: BTreeSet<String> = chunks
        .flat_map(|(_, value)| codec::unframe(&serde_json::from_str::<Box<_>>(value).unwrap()))
        .flat_map(|chunk| chunk.mutations)
        .map(|mutation| serde_json::to_string(&mutation).unwrap())
        .collect();
    assert_eq!(stored.len(), 12);
    assert_eq!(restored, stored);
}
