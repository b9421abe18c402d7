//! What controllers tell each other. It only helps; nothing relies on it.

use crate::api;
use crate::node::{Node, lock};
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Response, Route, handler, post};
use rushwalk_wire::mesh::{Hello, decode, encode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub fn routes(node: Arc<Node>) -> impl Endpoint {
    Route::new().at("/mesh/hello", post(greet)).data(node)
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
