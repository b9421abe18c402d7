//! Messages between controllers: CBOR over HTTP. Safety relies on none of them.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Nesting of CBOR values that is read: a malformed message must not exhaust the stack.
const MAX_DEPTH: usize = 32;

/// One controller's condition, exchanged a few times a second. Fields added by later
/// versions may be missing.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerHeartbeat {
    /// The sender's name as a member.
    pub member: String,
    /// Milliseconds since the store last answered the sender.
    #[serde(rename = "state_age_ms")]
    pub staleness_ms: u64,
    /// The newest revision of the store that the sender has seen.
    pub revision: u64,
    /// The incarnation of the sender's process; 0 if it is not sent.
    #[serde(default)]
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// The sender's event-loop lag in the mean of a round, in milliseconds.
    #[serde(default)]
    #[serde(rename = "late_ms")]
    pub lag_ms: u64,
    /// The share of time in which the sender's thread was busy of late, in thousandths.
    #[serde(default)]
    #[serde(rename = "busy")]
    pub busy_permille: u16,
    /// If the sender leads, milliseconds since it finished its last scheduling round.
    #[serde(default)]
    #[serde(rename = "planned_ms")]
    pub last_round_ms: Option<u64>,
    /// If the sender leads, the mean interval of its rounds, in milliseconds.
    #[serde(default)]
    #[serde(rename = "pace_ms")]
    pub round_interval_ms: u64,
    /// What the sender itself has observed of the other controllers.
    #[serde(default)]
    #[serde(rename = "sights")]
    pub observations: Vec<PeerObservation>,
    /// Shards leased to the sender from whose machines it receives no heartbeats, for longer
    /// than chance explains.
    #[serde(default)]
    #[serde(rename = "deaf")]
    pub unreachable_shards: Vec<String>,
    /// Workers of others' shards that sent heartbeats to the sender of late, by shard.
    #[serde(default)]
    #[serde(rename = "strays")]
    pub misrouted_workers: Vec<MisroutedCount>,
}

impl PeerHeartbeat {
    /// Whether its sender receives nothing from the machines of a shard that it owns.
    pub fn reports_unreachable(&self, shard: &str) -> bool {
        self.unreachable_shards.iter().any(|name| name == shard)
    }
}

/// What one controller has observed of another.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerObservation {
    /// The other's name as a member.
    pub member: String,
    /// The incarnation of the other's process.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// Milliseconds since the last message from that process; none if there was none.
    #[serde(rename = "heard_ms")]
    pub contact_age_ms: Option<u64>,
    /// Whether its port refused the latest heartbeats.
    pub refused: bool,
}

/// How many workers of another's shard sent heartbeats to a controller. Sent as a pair.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(String, u32)", into = "(String, u32)")]
pub struct MisroutedCount {
    /// The shard.
    pub shard: String,
    /// The number of its workers.
    pub workers: u32,
}

impl From<(String, u32)> for MisroutedCount {
    fn from((shard, workers): (String, u32)) -> Self {
        MisroutedCount { shard, workers }
    }
}

impl From<MisroutedCount> for (String, u32) {
    fn from(count: MisroutedCount) -> Self {
        (count.shard, count.workers)
    }
}

/// A query for a job's status, from a controller that can't read the store.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusQuery {
    /// The job's id.
    #[serde(rename = "uid")]
    pub job: String,
}

/// The job as of a read made after the query.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusReply {
    /// `None` if there is no such job.
    #[serde(rename = "state")]
    pub status: Option<crate::jobs::JobStatus>,
}

/// A user's request for a change that the receiving controller can't commit itself.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum ForwardedRequest {
    /// A submission, with its body.
    Submit(Vec<u8>),
    /// The cancellation of a job, with its id.
    Cancel(String),
}

/// What the peer would have answered that user.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ForwardedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Writes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types CBOR cannot hold; ours it can.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// Reads a message; `None` if the bytes hold none of that type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).ok()
}

#[cfg(test)]
mod tests;
