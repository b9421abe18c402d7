//! What controllers tell each other. It only helps; nothing relies on it.

use crate::api;
use crate::handover;
use crate::node::{Node, lock};
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Response, Route, get, handler, post};
use rushwalk_clients::Error;
use rushwalk_failure_detector::{Contact, Standing};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::peers::{AskJob, Change, Changed, Hello, JobAnswer, decode, encode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, sleep};

pub fn routes(node: Arc<Node>) -> impl Endpoint {
    Route::new()
        .at("/mesh/hello", post(greet))
        .at("/mesh/job", post(job))
        .at("/mesh/change", post(take_change))
        .at("/admin/status", get(crate::admin::status))
        .at("/admin/machines", get(crate::admin::page))
        .data(node)
}

fn ours(node: &Node) -> Hello {
    // One lock at a time.
    let revision = node.view().revision;
    let sights = lock(&node.detector).sights(node.uptime());
    let strays = lock(&node.strays).told(node.uptime(), node.times.report.as_secs_f64());
    Hello {
        member: node.me().into(),
        state_age_ms: u64::try_from(node.state_age().as_millis()).unwrap_or(u64::MAX),
        revision,
        nonce: node.nonce,
        late_ms: node.load.lag().as_millis() as u64,
        busy: node.busy_share.load(Ordering::Relaxed),
        planned_ms: handover::planned(node).map(|age| age.as_millis() as u64),
        pace_ms: lock(&node.pace).as_millis() as u64,
        sights,
        deaf: handover::deaf(node),
        strays,
    }
}

#[handler]
async fn greet(body: Body, node: Data<&Arc<Node>>) -> Response {
    let body = match api::bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(hello) = decode::<Hello>(&body) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    lock(&node.detector).greeted(node.uptime(), hello);
    Response::builder().body(encode(&ours(&node)))
}

#[handler]
async fn job(body: Body, node: Data<&Arc<Node>>) -> Response {
    let body = match api::bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some(question) = decode::<AskJob>(&body) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    if !node.fresh(node.times.round / 2).await {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Response::builder().status(status).finish();
    }
    let state = node.view().state_of(&question.uid);
    Response::builder().body(encode(&JobAnswer { state }))
}

/// Peers that lately reached the state service, and are no suspects.
fn able(node: &Node) -> Vec<String> {
    let limit = node.times.round.as_secs_f64() * 4.0;
    let detector = lock(&node.detector);
    let able = |p: &&rushwalk_protocol::settings::Peer| {
        let hello = detector.hello(&p.member, node.uptime());
        detector.standing(&p.member) == Standing::Trusted
            && hello.is_some_and(|(age, hello)| {
                age < limit && (hello.state_age_ms as f64) < limit * 1000.0
            })
    };
    let list = node.settings.peers.iter().filter(able);
    list.map(|p| p.endpoint.clone()).collect()
}

#[handler]
async fn take_change(body: Body, node: Data<&Arc<Node>>) -> Response {
    // A submission of the largest size, in CBOR's clothes.
    let body = match body.into_bytes_limit(4 * MAX_BODY).await {
        Ok(body) => body,
        Err(_) => return Response::builder().status(StatusCode::BAD_REQUEST).finish(),
    };
    // Carried out here or not at all: a change is passed on once.
    let answer = match decode::<Change>(&body) {
        Some(Change::Submit(body)) => api::submit_here(&node, &body).await,
        Some(Change::Cancel(uid)) => api::cancel_here(&node, &uid).await,
        None => return Response::builder().status(StatusCode::BAD_REQUEST).finish(),
    };
    let status = answer.status().as_u16();
    let body = answer.into_body().into_bytes().await.unwrap_or_default();
    Response::builder().body(encode(&Changed {
        status,
        body: body.to_vec(),
    }))
}

/// Passes a change on to a peer; `None` if none could carry it out. If the
/// answer is lost it may have been: as with any lost answer, users ask again.
pub async fn pass_on(node: &Node, change: &Change) -> Option<Changed> {
    for endpoint in able(node).iter().take(2) {
        let call = node
            .mesh
            .ask::<_, Changed>(endpoint, "/mesh/change", change, node.times.round);
        if let Ok(answer) = call.await
            && answer.status < 500
        {
            return Some(answer);
        }
    }
    None
}

/// Asks the peers that reach the state service; `None` if none answers.
pub async fn ask_peers(node: &Node, uid: &str) -> Option<JobAnswer> {
    let able = able(node);
    let question = AskJob { uid: uid.into() };
    for endpoint in able.iter().take(2) {
        let patience = node.times.round / 2;
        let call = node.mesh.ask(endpoint, "/mesh/job", &question, patience);
        if let Ok(answer) = call.await {
            return Some(answer);
        }
    }
    None
}

/// Greets each peer in a loop of its own: one that hangs must not keep the others from
/// being heard.
pub async fn hello_loop(node: Arc<Node>) {
    let each = |peer: &rushwalk_protocol::settings::Peer| {
        let (node, peer) = (node.clone(), peer.clone());
        async move {
            loop {
                sleep(node.times.greet).await;
                greet_one(&node, &peer).await;
            }
        }
    };
    let mut all: tokio::task::JoinSet<()> = node.settings.peers.iter().map(each).collect();
    // None of them ends; if this loop does, they end with it.
    all.join_next().await;
}

async fn greet_one(node: &Node, peer: &rushwalk_protocol::settings::Peer) {
    let hello = ours(node);
    let call = node
        .mesh
        .ask::<_, Hello>(&peer.endpoint, "/mesh/hello", &hello, node.times.round);
    let asked = Instant::now();
    let answer = call.await;
    let hung = asked.elapsed() >= node.times.round.mul_f64(0.9);
    let mut detector = lock(&node.detector);
    let now = node.uptime();
    match answer {
        Ok(hello) => detector.answered(now, hello),
        Err(Error::Refused) => detector.failed(now, &peer.member, Contact::Refused),
        Err(Error::Unknown(_) | Error::NotSent(_)) => {
            let contact = if hung {
                Contact::Silent
            } else {
                Contact::Broken
            };
            detector.failed(now, &peer.member, contact);
        }
        Err(Error::Status(_) | Error::TooLarge) => {}
    }
}

/// Whether users should be sent here: with the state service in reach, or, if
/// it is out of everybody's reach, as good as any other node.
pub fn healthy(node: &Node) -> bool {
    let limit = node.times.round * 5;
    if node.state_age() < limit {
        return true;
    }
    if node.synced.get().is_none() {
        return false;
    }
    // In an outage all ages grow alike, and a peer's is known as of its last
    // message: only one that is well below the limit by now is better off.
    // One that hears no other either has nothing to compare with and is rather the one
    // that is cut off: users who kept to it got no answer for as long as that lasted.
    let detector = lock(&node.detector);
    let limit = limit.as_secs_f64();
    let age = |(at, hello): (f64, &Hello)| at + hello.state_age_ms as f64 / 1000.0;
    let told = |most: f64, of: fn(f64, f64) -> f64| {
        let mut hellos = detector.hellos(node.uptime());
        hellos.any(|told| of(told.0, age(told)) < most)
    };
    let heard = told(limit, |at, _| at) || node.settings.peers.is_empty();
    heard && !told(limit / 2.0, |_, age| age)
}
