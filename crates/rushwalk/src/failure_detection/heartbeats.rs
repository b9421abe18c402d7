//! Heartbeats between controllers. They only speed up the detection of failures. Safety does not
//! depend on them: every commit has preconditions that the store checks, so a controller that has
//! lost leadership or a shard can't act on it.

use crate::context::Context;
use crate::leadership::Leadership;
use crate::observability::runtime_lag::RuntimeLag;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use crate::workers::WorkerRegistry;
use rushwalk_clients::Error;
use rushwalk_clients::peers::PeerClient;
use rushwalk_failure_detector::ProbeFailure;
use rushwalk_protocol::peers::PeerHeartbeat;
use rushwalk_protocol::settings::PeerSettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// HTTP path at which controllers receive heartbeats of their peers.
pub(crate) const HEARTBEAT_PATH: &str = "/mesh/hello";

/// Builds the heartbeats that this controller sends to its peers.
pub struct HeartbeatSource {
    /// Identity, settings and timing of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster's state, with its revision and the age of the last read.
    pub replica: Arc<Replica>,
    /// The leadership of this process, with the times of its scheduling rounds.
    pub leadership: Arc<Leadership>,
    /// The failure detector with the observations of peers, the misrouted workers, and the share of
    /// time in which this controller's thread is busy.
    pub peers: Arc<PeerMonitor>,
    /// The worker sessions, from which unreachable shards are derived.
    pub workers: Arc<WorkerRegistry>,
    /// The lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
}

impl HeartbeatSource {
    /// Builds a heartbeat from the current state.
    pub fn heartbeat(&self) -> PeerHeartbeat {
        // Each value is read in a statement of its own, so that only one lock is held at a time.
        let revision = self.replica.state().revision;
        let observations = self.peers.detector().observations(self.context.uptime_s());
        let misrouted_workers = self.peers.misrouted_workers();
        let staleness_ms = self.replica.staleness().as_millis();
        PeerHeartbeat {
            member: self.context.member().into(),
            staleness_ms: u64::try_from(staleness_ms).unwrap_or(u64::MAX),
            revision,
            incarnation: self.context.incarnation,
            lag_ms: millis(self.runtime_lag.mean_lag()),
            busy_permille: self.peers.busy_permille(),
            last_round_ms: self.last_round_age().map(millis),
            round_interval_ms: millis(self.leadership.round_interval()),
            observations,
            unreachable_shards: self.unreachable_shards(),
            misrouted_workers,
        }
    }

    /// Time since the latest scheduling round ended, or since this process last won an election if
    /// that is later; `None` if it does not lead.
    fn last_round_age(&self) -> Option<Duration> {
        self.leadership.current_version()?;
        self.leadership.last_round().map(|at| at.elapsed())
    }

    /// The names of the owned shards whose machines' heartbeats do not reach this process.
    pub fn unreachable_shards(&self) -> Vec<String> {
        let state = self.replica.state();
        let owned = self.replica.owned_shards(&state);
        self.workers.unreachable_shards(&state, &owned)
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Sends heartbeats to all peers, each in a loop of its own, so that a peer that hangs does not
/// delay the heartbeats to the others.
pub(crate) async fn heartbeat_loop(source: Arc<HeartbeatSource>, client: PeerClient) {
    let context = source.context.clone();
    let send_loop = |peer: &PeerSettings| {
        let (source, client, peer) = (source.clone(), client.clone(), peer.clone());
        async move {
            loop {
                sleep(source.context.timing.peer_heartbeat).await;
                send_heartbeat(&source, &client, &peer).await;
            }
        }
    };
    let mut loops: JoinSet<()> = context.settings.peers.iter().map(send_loop).collect();
    // The loops never end by themselves. If this future is dropped, the set aborts them.
    loops.join_next().await;
}

/// Sends one heartbeat and records the peer's response or failure in the detector. An error
/// status or an oversized response counts as neither.
async fn send_heartbeat(source: &HeartbeatSource, client: &PeerClient, peer: &PeerSettings) {
    let heartbeat = source.heartbeat();
    let timeout = source.context.timing.round;
    let call = client.call::<_, PeerHeartbeat>(&peer.endpoint, HEARTBEAT_PATH, &heartbeat, timeout);
    let sent = Instant::now();
    let response = call.await;
    // The kind of error does not distinguish a time-out from a broken connection, but the elapsed
    // time does.
    let timed_out = sent.elapsed() >= timeout.mul_f64(0.9);
    let mut detector = source.peers.detector();
    let now_s = source.context.uptime_s();
    let failure = match response {
        Ok(heartbeat) => {
            detector.record_response(now_s, heartbeat);
            return;
        }
        Err(Error::ConnectionRefused) => ProbeFailure::Refused,
        Err(Error::Unanswered(_) | Error::NotSent(_)) if timed_out => ProbeFailure::TimedOut,
        Err(Error::Unanswered(_) | Error::NotSent(_)) => ProbeFailure::ConnectionBroken,
        Err(Error::Status(_) | Error::ResponseTooLarge) => return,
    };
    detector.record_probe_failure(&peer.member, failure);
}
