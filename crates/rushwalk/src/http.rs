//! The HTTP interfaces. The public address serves users and workers; the peer address serves
//! other controllers and operators.

mod admin;
pub mod admission;
mod forwarding;
mod health;
mod peers;
mod public;
mod responses;
mod submission_size;
mod user_requests;

use crate::controller::Controller;
use crate::workers::heartbeats::HeartbeatHandler;
use forwarding::PeerForwarder;
use peers::PeerApi;
use poem::{Endpoint, EndpointExt, get};
use public::PublicApi;
use std::sync::Arc;
use user_requests::UserRequests;

/// The routes of the public address, for users and workers.
pub fn public_routes(controller: &Controller) -> impl Endpoint + use<> {
    public::routes(Arc::new(PublicApi {
        user_requests: user_requests(controller),
        heartbeats: HeartbeatHandler {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            workers: controller.workers.clone(),
            peers: controller.peers.clone(),
        },
        peers: controller.peers.clone(),
        connections: controller.connections.clone(),
    }))
}

/// The routes of the peer address, for other controllers and operators.
pub fn peer_routes(controller: &Arc<Controller>) -> impl Endpoint + use<> {
    let api = Arc::new(PeerApi {
        heartbeats: controller.heartbeats.clone(),
        user_requests: user_requests(controller),
    });
    peers::routes(api)
        .at("/admin/status", get(admin::get_status))
        .at("/admin/machines", get(admin::get_machines))
        .data(controller.clone())
}

fn user_requests(controller: &Controller) -> UserRequests {
    UserRequests {
        context: controller.context.clone(),
        replica: controller.replica.clone(),
        log: controller.log.clone(),
        writes: controller.user_writes.clone(),
        committer: controller.committer.clone(),
        forwarder: PeerForwarder {
            context: controller.context.clone(),
            peers: controller.peers.clone(),
            client: controller.peer_client.clone(),
        },
        rejections: controller.rejections.clone(),
        work_profile: controller.work_profile.clone(),
    }
}
