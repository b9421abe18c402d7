//! What controllers tell each other: CBOR over HTTP. Nothing relies on it.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// One controller's condition, exchanged about once a second.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Hello {
    pub member: String,
    /// Milliseconds since the state service last answered this node.
    pub state_age_ms: u64,
    /// The newest revision that this node has seen.
    pub revision: u64,
}

/// A node that can't read the state service asks for a job on a user's behalf.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct AskJob {
    pub uid: String,
}

/// The job as of a read made after the question; `None` if there is none.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobAnswer {
    pub state: Option<crate::jobs::JobState>,
}

/// A user's change that a node can't commit itself: a submission, or the
/// cancellation of a job.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum Change {
    Submit(Vec<u8>),
    Cancel(String),
}

/// What the peer would have answered that user.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Changed {
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

    #[test]
    fn garbage_is_no_message() {
        let hello = Hello {
            member: "walker-0".into(),
            state_age_ms: 3,
            revision: 9,
        };
        assert_eq!(decode(&encode(&hello)), Some(hello));
        assert_eq!(decode::<Hello>(&[0xff, 0x00, 0x9f]), None);
        assert_eq!(decode::<Hello>(&[0x9f; 4096]), None);
    }
}
