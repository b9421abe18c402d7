//! Data that an earlier version stored or sent must stay readable, and what is written
//! must stay the same to the byte. The files under `fixtures/` were written by the program
//! at f94b32f; a field renamed without `serde(rename)` fails these tests.

use rushwalk_protocol::jobs::JobStatus;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply, PeerHeartbeat, decode,
    encode,
};
use rushwalk_protocol::records::{
    self as rec, LeaderRecord, LogEntry, MachineTypes, MemberRecord, Mutation, ShardLease,
    SnapshotManifest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const MUTATIONS: &str = include_str!("fixtures/mutations.jsonl");
const RECORDS: &str = include_str!("fixtures/records.tsv");
const SNAPSHOT: &str = include_str!("fixtures/snapshot.tsv");
const PEER_MESSAGES: &str = include_str!("fixtures/peer-messages.tsv");
const JOB_STATUSES: &str = include_str!("fixtures/job-statuses.jsonl");

/// Reads a JSON value and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(json: &str) -> String {
    let value: T = serde_json::from_str(json).unwrap_or_else(|error| panic!("{json}: {error}"));
    serde_json::to_string(&value).unwrap()
}

/// Reads the value of a key by the type that the key has, and writes it again.
fn rewritten_record(key: &str, value: &str) -> String {
    let rest = key.strip_prefix(rec::ROOT).expect(key);
    match rest.split_once('/') {
        Some(("m", _)) => rewritten::<MemberRecord>(value),
        Some(("g", _)) => rewritten::<ShardLease>(value),
        Some(("l" | "s", _)) => rewritten::<LogEntry>(value),
        _ if key == rec::LEADER => rewritten::<LeaderRecord>(value),
        _ if key == rec::TYPES => rewritten::<MachineTypes>(value),
        _ if key == rec::BASE => rewritten::<SnapshotManifest>(value),
        _ => panic!("{key}: no such record"),
    }
}

fn rewritten_message(name: &str, bytes: &[u8]) -> Vec<u8> {
    fn again<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
        encode(&decode::<T>(bytes).expect("a message of that kind"))
    }
    match name {
        "peer-heartbeat" | "peer-heartbeat-of-a-follower" => again::<PeerHeartbeat>(bytes),
        "job-query" => again::<JobStatusQuery>(bytes),
        "job-reply" | "job-reply-of-an-unknown-job" => again::<JobStatusReply>(bytes),
        "forwarded-submission" | "forwarded-cancellation" => again::<ForwardedRequest>(bytes),
        "forwarded-response" => again::<ForwardedResponse>(bytes),
        _ => panic!("{name}: no such message"),
    }
}

fn unhex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap())
        .collect()
}

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
    for line in JOB_STATUSES.lines() {
        assert_eq!(rewritten::<JobStatus>(line), line);
    }
}

#[test]
fn peer_messages_are_read_and_written_as_they_were() {
    assert_eq!(pairs(PEER_MESSAGES).count(), 8);
    for (name, digits) in pairs(PEER_MESSAGES) {
        let bytes = unhex(digits);
        assert_eq!(rewritten_message(name, &bytes), bytes, "{name}");
    }
}
