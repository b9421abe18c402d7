//! Messages between controllers of different versions must stay readable, and be written
//! the same to the byte. The files under `fixtures/` were written by the program at f94b32f;
//! a field renamed without `serde(rename)` fails these tests.

use rushwalk_protocol::jobs::JobStatus;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply, PeerHeartbeat, decode,
    encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const PEER_MESSAGES: &str = include_str!("fixtures/peer-messages.tsv");
const JOB_STATUSES: &str = include_str!("fixtures/job-statuses.jsonl");

/// Reads a message and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    encode(&decode::<T>(bytes).expect("a message of that kind"))
}

fn rewritten_message(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name {
        "peer-heartbeat" | "peer-heartbeat-of-a-follower" => rewritten::<PeerHeartbeat>(bytes),
        "job-query" => rewritten::<JobStatusQuery>(bytes),
        "job-reply" | "job-reply-of-an-unknown-job" => rewritten::<JobStatusReply>(bytes),
        "forwarded-submission" | "forwarded-cancellation" => rewritten::<ForwardedRequest>(bytes),
        "forwarded-response" => rewritten::<ForwardedResponse>(bytes),
        _ => panic!("{name}: no such message"),
    }
}

fn from_hex(digits: &str) -> Vec<u8> {
    let positions = (0..digits.len()).step_by(2);
    positions
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap())
        .collect()
}

#[test]
fn peer_messages_are_read_and_written_as_they_were() {
    assert_eq!(PEER_MESSAGES.lines().count(), 8);
    for line in PEER_MESSAGES.lines() {
        let (name, digits) = line.split_once('\t').unwrap();
        let bytes = from_hex(digits);
        assert_eq!(rewritten_message(name, &bytes), bytes, "{name}");
    }
}

#[test]
fn job_statuses_are_read_and_written_as_they_were() {
    assert_eq!(JOB_STATUSES.lines().count(), 4);
    for line in JOB_STATUSES.lines() {
        let status: JobStatus = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&status).unwrap(), line);
    }
}
