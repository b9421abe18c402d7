//! What controllers tell each other: CBOR over HTTP. Nothing relies on it.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// One controller's condition, exchanged a few times a second. Fields that came
/// later may be missing.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerHeartbeat {
    pub member: String,
    /// Milliseconds since the state service last answered this node.
    #[serde(rename = "state_age_ms")]
    pub staleness_ms: u64,
    /// The newest revision that this node has seen.
    pub revision: u64,
    /// One per process; 0 if it isn't told.
    #[serde(default)]
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// How late its timers are in the mean of a round, in milliseconds.
    #[serde(default)]
    #[serde(rename = "late_ms")]
    pub lag_ms: u64,
    /// The share of time in which its thread was busy of late, in thousandths.
    #[serde(default)]
    #[serde(rename = "busy")]
    pub busy_permille: u16,
    /// If it leads, milliseconds since its last planning round was finished.
    #[serde(default)]
    #[serde(rename = "planned_ms")]
    pub last_round_ms: Option<u64>,
    /// And how far its rounds are apart in the mean, in milliseconds.
    #[serde(default)]
    #[serde(rename = "pace_ms")]
    pub round_interval_ms: u64,
    /// What it knows of the other controllers at first hand.
    #[serde(default)]
    #[serde(rename = "sights")]
    pub observations: Vec<PeerObservation>,
    /// Blocks lent to it of whose machines it has heard none for longer than chance
    /// allows.
    #[serde(default)]
    #[serde(rename = "deaf")]
    pub unreachable_shards: Vec<String>,
    /// Workers of others' blocks that turned up at it of late, by block.
    #[serde(default)]
    #[serde(rename = "strays")]
    pub misrouted_workers: Vec<(String, u32)>,
}

/// What one controller knows of another.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerObservation {
    pub member: String,
    /// The process that it means.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// Milliseconds since that process was heard of; none if never.
    #[serde(rename = "heard_ms")]
    pub last_heard_ms: Option<u64>,
    /// Its port refused the latest greetings.
    pub refused: bool,
}

/// A node that can't read the state service asks for a job on a user's behalf.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusQuery {
    #[serde(rename = "uid")]
    pub job: String,
}

/// The job as of a read made after the question; `None` if there is none.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusReply {
    #[serde(rename = "state")]
    pub status: Option<crate::jobs::JobStatus>,
}

/// A user's change that a node can't commit itself: a submission, or the
/// cancellation of a job.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum ForwardedRequest {
    Submit(Vec<u8>),
    Cancel(String),
}

/// What the peer would have answered that user.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ForwardedResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types CBOR cannot hold; ours it can.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    // A bounded depth: a peer's nonsense must not exhaust the stack.
    ciborium::de::from_reader_with_recursion_limit(bytes, 32).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A controller of the version before says less of itself.
    #[test]
    fn an_older_greeting_is_read() {
        #[derive(Serialize)]
        struct Older {
            member: &'static str,
            state_age_ms: u64,
            revision: u64,
        }
        let older = Older {
            member: "walker-0",
            state_age_ms: 3,
            revision: 9,
        };
        let hello: PeerHeartbeat = decode(&encode(&older)).unwrap();
        assert_eq!(
            (hello.revision, hello.incarnation, hello.last_round_ms),
            (9, 0, None)
        );
    }

    #[test]
    fn garbage_is_no_message() {
        let hello = PeerHeartbeat {
            member: "walker-0".into(),
            staleness_ms: 3,
            revision: 9,
            observations: vec![PeerObservation::default()],
            ..PeerHeartbeat::default()
        };
        assert_eq!(decode(&encode(&hello)), Some(hello));
        assert_eq!(decode::<PeerHeartbeat>(&[0xff, 0x00, 0x9f]), None);
        assert_eq!(decode::<PeerHeartbeat>(&[0x9f; 4096]), None);
    }
}
