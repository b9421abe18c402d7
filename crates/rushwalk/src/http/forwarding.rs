//! Forwards users' requests to other controllers if this one can't carry them out.

use crate::context::Context;
use crate::peers::PeerMonitor;
use rushwalk_clients::peers::PeerClient;
use rushwalk_failure_detector::PeerHealth;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply,
};
use rushwalk_protocol::settings::PeerSettings;
use std::sync::Arc;

/// The path at which a controller answers other controllers' queries for a job's status.
pub(super) const JOB_STATUS_PATH: &str = "/mesh/job";

/// The path at which a controller accepts requests that other controllers forward.
pub(super) const FORWARD_PATH: &str = "/mesh/change";

/// Maximum number of peers to which one request is sent, one after the other.
const MAX_PEERS: usize = 2;

/// Maximum age in rounds, for an eligible peer, of its last heartbeat and of the read of the
/// store that this heartbeat reports.
const MAX_AGE_ROUNDS: f64 = 4.0;

/// Lowest status code with which a peer responds if it could not carry the request out.
const SERVER_ERROR: u16 = 500;

/// Forwards requests to peers that have contact with the store.
#[derive(Clone)]
pub(super) struct PeerForwarder {
    /// Settings and timing of this process.
    pub context: Arc<Context>,
    /// The failure detector, which tells which peers are healthy and have read the store.
    pub peers: Arc<PeerMonitor>,
    /// The client that sends requests to peers.
    pub client: PeerClient,
}

impl PeerForwarder {
    /// The endpoints of the peers that have read the store recently and are not suspected to have
    /// failed.
    fn eligible_peers(&self) -> Vec<String> {
        let max_age_s = self.context.timing.round.as_secs_f64() * MAX_AGE_ROUNDS;
        let detector = self.peers.detector();
        let now_s = self.context.uptime_s();
        let is_eligible = |peer: &&PeerSettings| {
            let heartbeat = detector.last_heartbeat(&peer.member, now_s);
            detector.health(&peer.member) == PeerHealth::Healthy
                && heartbeat.is_some_and(|last| {
                    let staleness_ms = last.heartbeat.staleness_ms as f64;
                    last.age_s < max_age_s && staleness_ms < max_age_s * 1000.0
                })
        };
        let eligible = self.context.settings.peers.iter().filter(is_eligible);
        eligible.map(|peer| peer.endpoint.clone()).collect()
    }

    /// Forwards a request; `None` if no peer could carry it out. A peer may have carried it out
    /// if its response was lost: as after any lost response, the user has to send the request
    /// again.
    pub(super) async fn forward(&self, request: &ForwardedRequest) -> Option<ForwardedResponse> {
        for endpoint in self.eligible_peers().iter().take(MAX_PEERS) {
            let timeout = self.context.timing.round;
            let call =
                self.client
                    .call::<_, ForwardedResponse>(endpoint, FORWARD_PATH, request, timeout);
            if let Ok(response) = call.await
                && response.status < SERVER_ERROR
            {
                return Some(response);
            }
        }
        None
    }

    /// Asks peers for a job's status; `None` if no peer answers.
    pub(super) async fn job_status(&self, job: &str) -> Option<JobStatusReply> {
        let query = JobStatusQuery { job: job.into() };
        for endpoint in self.eligible_peers().iter().take(MAX_PEERS) {
            let timeout = self.context.timing.round / 2;
            let call = self.client.call(endpoint, JOB_STATUS_PATH, &query, timeout);
            if let Ok(reply) = call.await {
                return Some(reply);
            }
        }
        None
    }
}
