//! The interface for other controllers on the peer address.

use super::forwarding::{FORWARD_PATH, JOB_STATUS_PATH};
use super::responses::{empty, read_body};
use super::user_requests::UserRequests;
use crate::failure_detection::HeartbeatSource;
use crate::failure_detection::heartbeats::HEARTBEAT_PATH;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, Response, Route, handler, post};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply, PeerHeartbeat, decode,
    encode,
};
use std::sync::Arc;

/// Upper bound of the size of a forwarded submission, as a multiple of the size of its body. CBOR
/// encodes the body as an array of numbers, each of which takes up to two bytes.
const MAX_CBOR_EXPANSION: usize = 4;

/// The dependencies of the peer interface.
pub(super) struct PeerApi {
    /// Builds this controller's heartbeat.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Carries out forwarded requests.
    pub user_requests: UserRequests,
}

/// The routes for other controllers.
pub(super) fn routes(api: Arc<PeerApi>) -> Route {
    Route::new()
        .at(HEARTBEAT_PATH, post(heartbeat.data(api.clone())))
        .at(JOB_STATUS_PATH, post(job_status.data(api.clone())))
        .at(FORWARD_PATH, post(forwarded_request.data(api)))
}

#[handler]
async fn heartbeat(body: Body, api: Data<&Arc<PeerApi>>) -> Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(heartbeat) = decode::<PeerHeartbeat>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let source = &api.heartbeats;
    let now_s = source.context.uptime_s();
    source.peers.detector().record_heartbeat(now_s, heartbeat);
    Response::builder().body(encode(&source.heartbeat()))
}

#[handler]
async fn job_status(body: Body, api: Data<&Arc<PeerApi>>) -> Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(query) = decode::<JobStatusQuery>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let UserRequests {
        context, replica, ..
    } = &api.user_requests;
    if !replica.linearizable_read(context.timing.round / 2).await {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let status = replica.state().job_status(&query.job);
    Response::builder().body(encode(&JobStatusReply { status }))
}

/// Carries out a request that a peer has forwarded, without forwarding it again.
#[handler]
async fn forwarded_request(body: Body, api: Data<&Arc<PeerApi>>) -> Response {
    let Ok(body) = body.into_bytes_limit(MAX_CBOR_EXPANSION * MAX_BODY).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let response = match decode::<ForwardedRequest>(&body) {
        Some(ForwardedRequest::Submit(body)) => api.user_requests.submit_locally(&body).await,
        Some(ForwardedRequest::Cancel(job)) => api.user_requests.cancel_locally(&job).await,
        None => return empty(StatusCode::BAD_REQUEST),
    };
    let status = response.status().as_u16();
    let body = response.into_body().into_bytes().await.unwrap_or_default();
    Response::builder().body(encode(&ForwardedResponse {
        status,
        body: body.to_vec(),
    }))
}
