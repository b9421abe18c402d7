//! Requests of users that this controller can't carry out, forwarded to its peers.

use crate::context::Context;
use crate::peers::PeerMonitor;
use rushwalk_clients::peers::PeerClient;
use rushwalk_failure_detector::PeerHealth;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply,
};
use rushwalk_protocol::settings::PeerSettings;
use std::sync::Arc;

/// The path at which controllers answer each other about a job.
pub(super) const JOB_STATUS_PATH: &str = "/mesh/job";

/// The path at which controllers take forwarded requests.
pub(super) const FORWARD_PATH: &str = "/mesh/change";

/// Peers that are asked at most.
const MAX_PEERS: usize = 2;

/// Rounds after which a peer's heartbeat, or the read that it reports, is too old.
const MAX_AGE_ROUNDS: f64 = 4.0;

/// Statuses from here on say that the peer could not carry the request out.
const SERVER_ERROR: u16 = 500;

/// Forwards requests to peers that reach the store.
#[derive(Clone)]
pub(super) struct PeerForwarder {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows which peers are healthy.
    pub peers: Arc<PeerMonitor>,
    /// Calls the peers.
    pub client: PeerClient,
}

impl PeerForwarder {
    /// The endpoints of peers that lately reached the store, and are not suspected.
    fn able_peers(&self) -> Vec<String> {
        let max_age_s = self.context.timing.round.as_secs_f64() * MAX_AGE_ROUNDS;
        let detector = self.peers.detector();
        let now_s = self.context.uptime_s();
        let is_able = |peer: &&PeerSettings| {
            let heartbeat = detector.last_heartbeat(&peer.member, now_s);
            detector.health(&peer.member) == PeerHealth::Healthy
                && heartbeat.is_some_and(|last| {
                    let staleness_ms = last.heartbeat.staleness_ms as f64;
                    last.age_s < max_age_s && staleness_ms < max_age_s * 1000.0
                })
        };
        let able = self.context.settings.peers.iter().filter(is_able);
        able.map(|peer| peer.endpoint.clone()).collect()
    }

    /// Forwards a request; `None` if no peer could carry it out. If the response is lost it
    /// may have been: as with any lost response, users ask again.
    pub(super) async fn forward(&self, request: &ForwardedRequest) -> Option<ForwardedResponse> {
        for endpoint in self.able_peers().iter().take(MAX_PEERS) {
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

    /// Asks for a job's status; `None` if no peer answers.
    pub(super) async fn job_status(&self, job: &str) -> Option<JobStatusReply> {
        let query = JobStatusQuery { job: job.into() };
        for endpoint in self.able_peers().iter().take(MAX_PEERS) {
            let timeout = self.context.timing.round / 2;
            let call = self.client.call(endpoint, JOB_STATUS_PATH, &query, timeout);
            if let Ok(reply) = call.await {
                return Some(reply);
            }
        }
        None
    }
}
