//! The interface for users and workers on the public address.

use super::health::is_healthy;
use super::responses::{error, json, read_body};
use super::user_requests::{UserRequests, unavailable};
use crate::connections::ConnectionTable;
use crate::observability::work_profile::WorkKind;
use crate::peers::PeerMonitor;
use crate::workers::heartbeats::{HeartbeatHandler, HeartbeatReply};
use poem::http::StatusCode;
use poem::web::{Data, Path, RemoteAddr};
use poem::{Body, Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use rushwalk_protocol::worker::{Heartbeat, Redirect};
use std::sync::Arc;

/// The dependencies of the public interface.
pub(super) struct PublicApi {
    /// Carries out users' requests.
    pub user_requests: UserRequests,
    /// Updates the worker sessions by heartbeats and builds the responses to them.
    pub heartbeats: HeartbeatHandler,
    /// Shows the staleness of the other controllers, for the health check.
    pub peers: Arc<PeerMonitor>,
    /// The table in which workers' connections are marked as such.
    pub connections: Arc<ConnectionTable>,
}

/// The routes of the public address.
pub(super) fn routes(api: Arc<PublicApi>) -> impl Endpoint {
    Route::new()
        .at("/api/jobs", post(submit))
        .at("/api/jobs/:uid", get(status))
        .at("/api/jobs/:uid/abort", post(cancel))
        .at("/healthz", get(health))
        .at("/agent/beat", post(heartbeat))
        .data(api)
}

#[handler]
async fn submit(body: Body, api: Data<&Arc<PublicApi>>) -> Response {
    match read_body(body).await {
        Ok(body) => api.user_requests.submit(body).await,
        Err(response) => response,
    }
}

#[handler]
async fn status(Path(job): Path<String>, api: Data<&Arc<PublicApi>>) -> Response {
    api.user_requests.status(&job).await
}

#[handler]
async fn cancel(Path(job): Path<String>, api: Data<&Arc<PublicApi>>) -> Response {
    api.user_requests.cancel(job).await
}

#[handler]
async fn health(api: Data<&Arc<PublicApi>>) -> Response {
    let UserRequests {
        context, replica, ..
    } = &api.user_requests;
    if is_healthy(context, replica, &api.peers) {
        "ok".into_response()
    } else {
        unavailable(context, "no contact with the state service")
    }
}

#[handler]
async fn heartbeat(body: Body, from: &RemoteAddr, api: Data<&Arc<PublicApi>>) -> Response {
    api.connections.mark_worker(from);
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let user_requests = &api.user_requests;
    api.heartbeats
        .workers
        .events()
        .heartbeat_received(body.len());
    let mut timer = user_requests.work_profile.start(WorkKind::Heartbeat);
    timer.add_items(1);
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(cause) => return error(StatusCode::BAD_REQUEST, cause.to_string()),
    };
    match api.heartbeats.handle(&heartbeat) {
        HeartbeatReply::Accepted(response) => json(StatusCode::OK, &response),
        HeartbeatReply::Redirected(report_to) => {
            json(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
        }
        HeartbeatReply::Unavailable => unavailable(&user_requests.context, "not entitled"),
    }
}
