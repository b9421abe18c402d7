//! What controllers tell each other. It only helps; nothing relies on it.

use crate::controller::{Controller, lock};
use crate::http::users;
use crate::leadership::election;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Response, Route, get, handler, post};
use rushwalk_clients::Error;
use rushwalk_failure_detector::{PeerHealth, ProbeFailure};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::peers::{
    ForwardedRequest, ForwardedResponse, JobStatusQuery, JobStatusReply, PeerHeartbeat, decode,
    encode,
};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, sleep};

pub fn routes(node: Arc<Controller>) -> impl Endpoint {
    Route::new()
        .at("/mesh/hello", post(greet))
        .at("/mesh/job", post(job))
        .at("/mesh/change", post(take_change))
        .at("/admin/status", get(crate::http::admin::get_status))
        .at("/admin/machines", get(crate::http::admin::get_machines))
        .data(node)
}

fn ours(node: &Controller) -> PeerHeartbeat {
    // One lock at a time.
    let revision = node.view().revision;
    let sights = lock(&node.detector).observations(node.uptime_s());
    let strays = lock(&node.misrouted).counts(node.uptime_s(), node.timing.heartbeat.as_secs_f64());
    PeerHeartbeat {
        member: node.member().into(),
        staleness_ms: u64::try_from(node.staleness().as_millis()).unwrap_or(u64::MAX),
        revision,
        incarnation: node.incarnation,
        lag_ms: node.runtime_lag.mean_lag().as_millis() as u64,
        busy_permille: node.busy_permille.load(Ordering::Relaxed),
        last_round_ms: election::planned(node).map(|age| age.as_millis() as u64),
        round_interval_ms: lock(&node.round_interval).as_millis() as u64,
        observations: sights,
        unreachable_shards: election::deaf(node),
        misrouted_workers: strays,
    }
}

#[handler]
async fn greet(body: Body, node: Data<&Arc<Controller>>) -> Response {
    let body = match users::bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(hello) = decode::<PeerHeartbeat>(&body) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    lock(&node.detector).record_heartbeat(node.uptime_s(), hello);
    Response::builder().body(encode(&ours(&node)))
}

#[handler]
async fn job(body: Body, node: Data<&Arc<Controller>>) -> Response {
    let body = match users::bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(question) = decode::<JobStatusQuery>(&body) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    if !node.linearizable_read(node.timing.round / 2).await {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Response::builder().status(status).finish();
    }
    let state = node.view().job_status(&question.job);
    Response::builder().body(encode(&JobStatusReply { status: state }))
}

/// Peers that lately reached the state service, and are no suspects.
fn able(node: &Controller) -> Vec<String> {
    let limit = node.timing.round.as_secs_f64() * 4.0;
    let detector = lock(&node.detector);
    let able = |p: &&rushwalk_protocol::settings::PeerSettings| {
        let hello = detector.last_heartbeat(&p.member, node.uptime_s());
        detector.health(&p.member) == PeerHealth::Healthy
            && hello.is_some_and(|(age, hello)| {
                age < limit && (hello.staleness_ms as f64) < limit * 1000.0
            })
    };
    let list = node.settings.peers.iter().filter(able);
    list.map(|p| p.endpoint.clone()).collect()
}

#[handler]
async fn take_change(body: Body, node: Data<&Arc<Controller>>) -> Response {
    // A submission of the largest size, in CBOR's clothes.
    let body = match body.into_bytes_limit(4 * MAX_BODY).await {
        Ok(body) => body,
        Err(_) => return Response::builder().status(StatusCode::BAD_REQUEST).finish(),
    };
    // Carried out here or not at all: a change is passed on once.
    let answer = match decode::<ForwardedRequest>(&body) {
        Some(ForwardedRequest::Submit(body)) => users::submit_here(&node, &body).await,
        Some(ForwardedRequest::Cancel(uid)) => users::cancel_here(&node, &uid).await,
        None => return Response::builder().status(StatusCode::BAD_REQUEST).finish(),
    };
    let status = answer.status().as_u16();
    let body = answer.into_body().into_bytes().await.unwrap_or_default();
    Response::builder().body(encode(&ForwardedResponse {
        status,
        body: body.to_vec(),
    }))
}

/// Passes a change on to a peer; `None` if none could carry it out. If the
/// answer is lost it may have been: as with any lost answer, users ask again.
pub async fn pass_on(node: &Controller, change: &ForwardedRequest) -> Option<ForwardedResponse> {
    for endpoint in able(node).iter().take(2) {
        let call = node.peers.call::<_, ForwardedResponse>(
            endpoint,
            "/mesh/change",
            change,
            node.timing.round,
        );
        if let Ok(answer) = call.await
            && answer.status < 500
        {
            return Some(answer);
        }
    }
    None
}

/// Asks the peers that reach the state service; `None` if none answers.
pub async fn ask_peers(node: &Controller, uid: &str) -> Option<JobStatusReply> {
    let able = able(node);
    let question = JobStatusQuery { job: uid.into() };
    for endpoint in able.iter().take(2) {
        let patience = node.timing.round / 2;
        let call = node.peers.call(endpoint, "/mesh/job", &question, patience);
        if let Ok(answer) = call.await {
            return Some(answer);
        }
    }
    None
}

/// Greets each peer in a loop of its own: one that hangs must not keep the others from
/// being heard.
pub async fn hello_loop(node: Arc<Controller>) {
    let each = |peer: &rushwalk_protocol::settings::PeerSettings| {
        let (node, peer) = (node.clone(), peer.clone());
        async move {
            loop {
                sleep(node.timing.peer_heartbeat).await;
                greet_one(&node, &peer).await;
            }
        }
    };
    let mut all: tokio::task::JoinSet<()> = node.settings.peers.iter().map(each).collect();
    // None of them ends; if this loop does, they end with it.
    all.join_next().await;
}

async fn greet_one(node: &Controller, peer: &rushwalk_protocol::settings::PeerSettings) {
    let hello = ours(node);
    let call = node.peers.call::<_, PeerHeartbeat>(
        &peer.endpoint,
        "/mesh/hello",
        &hello,
        node.timing.round,
    );
    let asked = Instant::now();
    let answer = call.await;
    let hung = asked.elapsed() >= node.timing.round.mul_f64(0.9);
    let mut detector = lock(&node.detector);
    let now = node.uptime_s();
    match answer {
        Ok(hello) => detector.record_response(now, hello),
        Err(Error::ConnectionRefused) => {
            detector.record_probe_failure(now, &peer.member, ProbeFailure::Refused)
        }
        Err(Error::Unanswered(_) | Error::NotSent(_)) => {
            let contact = if hung {
                ProbeFailure::TimedOut
            } else {
                ProbeFailure::ConnectionBroken
            };
            detector.record_probe_failure(now, &peer.member, contact);
        }
        Err(Error::Status(_) | Error::ResponseTooLarge) => {}
    }
}

/// Whether users should be sent here: with the state service in reach, or, if
/// it is out of everybody's reach, as good as any other node.
pub fn healthy(node: &Controller) -> bool {
    let limit = node.timing.round * 5;
    if node.staleness() < limit {
        return true;
    }
    if node.last_read_sent.get().is_none() {
        return false;
    }
    // In an outage all ages grow alike, and a peer's is known as of its last
    // message: only one that is well below the limit by now is better off.
    // One that hears no other either has nothing to compare with and is rather the one
    // that is cut off: users who kept to it got no answer for as long as that lasted.
    let detector = lock(&node.detector);
    let limit = limit.as_secs_f64();
    let age = |(at, hello): (f64, &PeerHeartbeat)| at + hello.staleness_ms as f64 / 1000.0;
    let told = |most: f64, of: fn(f64, f64) -> f64| {
        let mut hellos = detector.last_heartbeats(node.uptime_s());
        hellos.any(|told| of(told.0, age(told)) < most)
    };
    let heard = told(limit, |at, _| at) || node.settings.peers.is_empty();
    heard && !told(limit / 2.0, |_, age| age)
}
