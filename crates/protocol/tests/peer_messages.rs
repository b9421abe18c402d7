//! Compatibility of messages between controllers of different versions: messages of an
//! earlier version must still be decoded, and encoding them again must give the same bytes.
//! The files under `fixtures/` were written by the program at commit f94b32f. The tests fail,
//! for example, if a field is renamed without `serde(rename)`.

use rushwalk_protocol::jobs::JobStatus;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply, PeerHeartbeat, decode,
    encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const PEER_MESSAGES: &str = include_str!("fixtures/peer-messages.tsv");
const JOB_STATUSES: &str = include_str!("fixtures/job-statuses.jsonl");

/// Decodes a message and encodes it again.
fn reencode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    encode(&decode::<T>(bytes).expect("fixture decodes as a message of this type"))
}

fn reencode_message(name: &str, bytes: &[u8]) -> Vec<u8> {
    match name {
        "peer-heartbeat" | "peer-heartbeat-of-a-follower" => reencode::<PeerHeartbeat>(bytes),
        "job-query" => reencode::<JobStatusQuery>(bytes),
        "job-reply" | "job-reply-of-an-unknown-job" => reencode::<JobStatusReply>(bytes),
        "forwarded-submission" | "forwarded-cancellation" => reencode::<ForwardedRequest>(bytes),
        "forwarded-response" => reencode::<ForwardedResponse>(bytes),
        _ => panic!("{name}: unknown message name in fixture"),
    }
}

fn from_hex(digits: &str) -> Vec<u8> {
    let positions = (0..digits.len()).step_by(2);
    positions
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap())
        .collect()
}

#[test]
fn peer_messages_keep_their_encoding() {
    assert_eq!(PEER_MESSAGES.lines().count(), 8);
    for line in PEER_MESSAGES.lines() {
        let (name, digits) = line.split_once('\t').unwrap();
        let bytes = from_hex(digits);
        assert_eq!(reencode_message(name, &bytes), bytes, "{name}");
    }
}

#[test]
fn job_statuses_keep_their_encoding() {
    assert_eq!(JOB_STATUSES.lines().count(), 4);
    for line in JOB_STATUSES.lines() {
        let status: JobStatus = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&status).unwrap(), line);
    }
}
