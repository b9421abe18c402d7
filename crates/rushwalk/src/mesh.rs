//! What controllers tell each other. It only helps; nothing relies on it.

use crate::api;
use crate::node::{Node, lock};
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Response, Route, get, handler, post};
use rushwalk_wire::mesh::{AskJob, Hello, JobAnswer, decode, encode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub fn routes(node: Arc<Node>) -> impl Endpoint {
    Route::new()
        .at("/mesh/hello", post(greet))
        .at("/mesh/job", post(job))
        .at("/admin/status", get(crate::admin::status))
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

/// Asks the peers that reach the state service; `None` if none answers.
pub async fn ask_peers(node: &Node, uid: &str) -> Option<JobAnswer> {
    let limit = node.times.round * 2;
    let able: Vec<String> = {
        let peers = lock(&node.peers);
        let able = |p: &&rushwalk_wire::settings::Peer| {
            peers.get(&p.member).is_some_and(|(at, hello)| {
                at.elapsed() < limit * 2 && Duration::from_millis(hello.state_age_ms) < limit
            })
        };
        let list = node.settings.peers.iter().filter(able);
        list.map(|p| p.endpoint.clone()).collect()
    };
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
    let recent = Duration::from_secs(5);
    let peers = lock(&node.peers);
    !peers.values().any(|(at, hello)| {
        at.elapsed() < recent && Duration::from_millis(hello.state_age_ms) < limit
    })
}
