//! Heartbeats between controllers. They only help to decide sooner: that one controller
//! alone acts is ensured by the store, on which every commit is conditioned.

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

/// The path at which controllers take heartbeats.
pub(crate) const HEARTBEAT_PATH: &str = "/mesh/hello";

/// Builds the heartbeats that this controller sends to its peers.
pub struct HeartbeatSource {
    /// This process's context.
    pub context: Arc<Context>,
    /// Provides the revision and its age.
    pub replica: Arc<Replica>,
    /// Shows whether this process leads and makes its rounds.
    pub leadership: Arc<Leadership>,
    /// Provides the observations of the other peers.
    pub peers: Arc<PeerMonitor>,
    /// Shows which shards' workers are unreachable.
    pub workers: Arc<WorkerRegistry>,
    /// Measures how late timers fire.
    pub runtime_lag: Arc<RuntimeLag>,
}

impl HeartbeatSource {
    /// The heartbeat at this moment.
    pub fn heartbeat(&self) -> PeerHeartbeat {
        // One lock at a time.
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

    /// If this process leads, how long ago its latest scheduling round was finished.
    fn last_round_age(&self) -> Option<Duration> {
        self.leadership.current_version()?;
        self.leadership.last_round().map(|at| at.elapsed())
    }

    /// The shards that this process owns and from whose machines no heartbeat comes.
    pub fn unreachable_shards(&self) -> Vec<String> {
        let state = self.replica.state();
        let owned = self.replica.owned_shards(&state);
        self.workers.unreachable_shards(&state, &owned)
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Sends heartbeats to each peer in a loop of its own: a peer that hangs must not delay the
/// others' heartbeats.
pub(crate) async fn heartbeat_loop(source: Arc<HeartbeatSource>, client: PeerClient) {
    let context = source.context.clone();
    let each = |peer: &PeerSettings| {
        let (source, client, peer) = (source.clone(), client.clone(), peer.clone());
        async move {
            loop {
                sleep(source.context.timing.peer_heartbeat).await;
                send_heartbeat(&source, &client, &peer).await;
            }
        }
    };
    let mut all: JoinSet<()> = context.settings.peers.iter().map(each).collect();
    // None of them ends; if this loop does, they end with it.
    all.join_next().await;
}

async fn send_heartbeat(source: &HeartbeatSource, client: &PeerClient, peer: &PeerSettings) {
    let heartbeat = source.heartbeat();
    let timeout = source.context.timing.round;
    let call = client.call::<_, PeerHeartbeat>(&peer.endpoint, HEARTBEAT_PATH, &heartbeat, timeout);
    let sent = Instant::now();
    let response = call.await;
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
