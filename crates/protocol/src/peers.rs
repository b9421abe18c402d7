//! Messages between controllers, sent as CBOR over HTTP. The safety of scheduling decisions
//! doesn't depend on any of them: messages may be lost, delayed or outdated.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum nesting of CBOR values that the decoder accepts, so that a malformed message can't
/// exhaust the stack.
const MAX_DEPTH: usize = 32;

/// A controller's report of its own state and of its observations, which controllers exchange
/// a few times per second. The fields with a default may be missing: controllers of earlier
/// versions don't send them.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerHeartbeat {
    /// The sender's name, see [`Settings::member`](crate::settings::Settings::member).
    pub member: String,
    /// Milliseconds since the sender sent its latest successful read to the store;
    /// `u64::MAX` if none has succeeded yet.
    #[serde(rename = "state_age_ms")]
    pub staleness_ms: u64,
    /// The latest revision of the store that the sender has seen.
    pub revision: u64,
    /// The incarnation of the sender's process, which differs after each restart; 0 if the
    /// field is missing.
    #[serde(default)]
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// The sender's event-loop lag in milliseconds, averaged over about one scheduling round.
    #[serde(default)]
    #[serde(rename = "late_ms")]
    pub lag_ms: u64,
    /// The share of time in which the sender's thread is busy, in thousandths: a moving average,
    /// and 1000 until the sender knows it; 0 if the field is missing.
    #[serde(default)]
    #[serde(rename = "busy")]
    pub busy_permille: u16,
    /// Milliseconds since the sender finished its latest scheduling round, or since it became
    /// the leader if that is more recent; `None` if the sender is not the leader.
    #[serde(default)]
    #[serde(rename = "planned_ms")]
    pub last_round_ms: Option<u64>,
    /// The mean interval between the sender's scheduling rounds in milliseconds. It is only
    /// meaningful if the sender is the leader; 0 if the field is missing.
    #[serde(default)]
    #[serde(rename = "pace_ms")]
    pub round_interval_ms: u64,
    /// The sender's own observations of the other controllers.
    #[serde(default)]
    #[serde(rename = "sights")]
    pub observations: Vec<PeerObservation>,
    /// The shards that are leased to the sender but whose heartbeats don't reach it: more of
    /// their machines are overdue than chance explains, and the sender has recently received no
    /// heartbeat from any of their machines.
    #[serde(default)]
    #[serde(rename = "deaf")]
    pub unreachable_shards: Vec<String>,
    /// For each shard that is leased to another controller, the number of its workers that
    /// sent a heartbeat to the sender within the last heartbeat interval. Workers whose machines
    /// have just booted are not counted, and shards without such workers are omitted.
    #[serde(default)]
    #[serde(rename = "strays")]
    pub misrouted_workers: Vec<MisroutedCount>,
}

impl PeerHeartbeat {
    /// Whether the sender reports a shard in `unreachable_shards`.
    pub fn reports_unreachable(&self, shard: &str) -> bool {
        self.unreachable_shards.iter().any(|name| name == shard)
    }
}

/// One controller's observation of another.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct PeerObservation {
    /// The name of the observed controller.
    pub member: String,
    /// The incarnation of the observed controller's process.
    #[serde(rename = "nonce")]
    pub incarnation: u64,
    /// Milliseconds since the observer received the latest heartbeat from that process;
    /// `None` if it has received none.
    #[serde(rename = "heard_ms")]
    pub contact_age_ms: Option<u64>,
    /// Whether the observed controller's port refused the connections for the observer's latest
    /// heartbeats.
    pub refused: bool,
}

/// The number of workers of a shard that sent heartbeats to a controller that doesn't own
/// the shard. It is encoded as a pair.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(String, u32)", into = "(String, u32)")]
pub struct MisroutedCount {
    /// The id of the shard.
    pub shard: String,
    /// The number of workers that sent misrouted heartbeats.
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

/// A query for a job's status, sent by a controller that can't read the store.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusQuery {
    /// The id of the job to look up.
    #[serde(rename = "uid")]
    pub job: String,
}

/// The response to a [`JobStatusQuery`]: the job's status, read from the store after the
/// query was received.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobStatusReply {
    /// The job's status; `None` if there is no such job.
    #[serde(rename = "state")]
    pub status: Option<crate::jobs::JobStatus>,
}

/// A user's write request, forwarded to a peer by a controller that can't commit it itself.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub enum ForwardedRequest {
    /// A submission, with the body that the user sent.
    Submit(Vec<u8>),
    /// The cancellation of a job, with the job's id.
    Cancel(String),
}

/// The response to a [`ForwardedRequest`]: the HTTP response for the user.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ForwardedResponse {
    /// The HTTP status for the user.
    pub status: u16,
    /// The body for the user.
    pub body: Vec<u8>,
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for values that CBOR can't represent, and no message has any.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Decodes a message; `None` if the bytes are not CBOR or not a message of that type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).ok()
}

#[cfg(test)]
mod tests;
