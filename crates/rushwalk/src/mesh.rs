//! What controllers tell each other. It only helps; nothing relies on it.

use crate::api;
use crate::node::{Node, lock};
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Response, Route, get, handler, post};
use rushwalk_wire::MAX_BODY;
use rushwalk_wire::mesh::{AskJob, Change, Changed, Hello, JobAnswer, decode, encode};
use std::sync::Arc;
use std::time::Duration;
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
    Hello {
        member: node.me().into(),
        state_age_ms: u64::try_from(node.state_age().as_millis()).unwrap_or(u64::MAX),
        revision: node.view().revision,
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
    heard(&node, hello);
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

/// Peers that lately reached the state service.
fn able(node: &Node) -> Vec<String> {
    let limit = node.times.round * 4;
    let peers = lock(&node.peers);
    let able = |p: &&rushwalk_wire::settings::Peer| {
        peers.get(&p.member).is_some_and(|(at, hello)| {
            at.elapsed() < limit && Duration::from_millis(hello.state_age_ms) < limit
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

fn heard(node: &Node, hello: Hello) {
    let known = node.settings.peers.iter().any(|p| p.member == hello.member);
    if known {
        lock(&node.peers).insert(hello.member.clone(), (Instant::now(), hello));
    }
}

pub async fn hello_loop(node: Arc<Node>) {
    loop {
        for peer in &node.settings.peers {
            let hello = ours(&node);
            let patience = node.times.round / 2;
            let call = node
                .mesh
                .ask::<_, Hello>(&peer.endpoint, "/mesh/hello", &hello, patience);
            if let Ok(answer) = call.await {
                heard(&node, answer);
            }
        }
        sleep(node.times.round).await;
    }
}

/// Whether users should be sent here: with the state service in reach, or, if
/// it is out of everybody's reach, as good as any other node.
pub fn healthy(node: &Node) -> bool {
    let limit = node.times.round * 5;
    if node.state_age() < limit {
        return true;
    }
    if node.synced.borrow().is_none() {
        return false;
    }
    // In an outage all ages grow alike, and a peer's is known as of its last
    // message: only one that is well below the limit by now is better off.
    let peers = lock(&node.peers);
    !peers
        .values()
        .any(|(at, hello)| at.elapsed() + Duration::from_millis(hello.state_age_ms) < limit / 2)
}
