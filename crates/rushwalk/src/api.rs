//! The users' and workers' interface on the public address.

#[cfg(test)]
mod tests;

use crate::mesh;
use crate::meter::Work;
use crate::node::{Node, lock, now_ms};
use crate::reports::{self, Reply};
use poem::http::StatusCode;
use poem::web::{Data, Path, RemoteAddr};
use poem::{Body, Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use rushwalk_clients::store::Outcome;
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::jobs::{JobSpec, JobState, Refusal, Stance, is_job_id};
use rushwalk_protocol::peers::Change;
use rushwalk_protocol::records::Op;
use rushwalk_protocol::worker::{Elsewhere, Report};
use rushwalk_scheduler::quota::can_ever_run;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout};

pub fn routes(node: Arc<Node>) -> impl Endpoint {
    Route::new()
        .at("/api/jobs", post(submit))
        .at("/api/jobs/:uid", get(ask))
        .at("/api/jobs/:uid/abort", post(cancel))
        .at("/healthz", get(health))
        .at("/agent/beat", post(beat))
        .data(node)
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(serde_json::to_vec(value).unwrap_or_default())
}

fn refuse(status: StatusCode, error: impl Into<String>) -> Response {
    json(
        status,
        &Refusal {
            error: error.into(),
        },
    )
}

/// Refused for now, saying when to come back: in whole seconds, as HTTP has it.
fn refuse_until(status: StatusCode, why: &str, wait: Duration) -> Response {
    let mut response = refuse(status, why);
    let seconds = wait.as_secs_f64().ceil().clamp(1.0, 30.0) as u64;
    let after = poem::http::HeaderValue::from(seconds);
    response.headers_mut().insert("retry-after", after);
    response
}

/// Refused for want of changes: come back when the budget will have some.
fn too_many(node: &Node) -> Response {
    node.refused.fetch_add(1, Ordering::Relaxed);
    let wait = lock(&node.write_budget).wait(1.0, 0.0, Instant::now());
    refuse_until(StatusCode::TOO_MANY_REQUESTS, "too many requests", wait)
}

/// Refused because the state service is out of reach, or not in view yet: it is
/// tried anew within a quarter of a round.
fn not_now(node: &Node, why: &str) -> Response {
    refuse_until(StatusCode::SERVICE_UNAVAILABLE, why, node.times.round / 4)
}

/// The same to a user.
fn unserved(node: &Node, why: &str) -> Response {
    node.refused.fetch_add(1, Ordering::Relaxed);
    not_now(node, why)
}

pub async fn bytes(body: Body) -> Result<Vec<u8>, Response> {
    match body.into_bytes_limit(MAX_BODY).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"))
        }
        Err(error) => Err(refuse(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// How long a fresh read may take: users give up on a poll after 2 s.
const PATIENCE: Duration = Duration::from_millis(1500);

#[handler]
async fn submit(body: Body, node: Data<&Arc<Node>>) -> Response {
    let body = match bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let change = Change::Submit(body.clone());
    here_or_there(&node, submit_here(&node, &body), &change).await
}

/// Carries a change out here; by a peer if that is refused, and beside it if it
/// takes long. Both may do it: the second time changes nothing.
async fn here_or_there(
    node: &Node,
    here: impl Future<Output = Response>,
    change: &Change,
) -> Response {
    let refused = |r: &Response| r.status() == StatusCode::SERVICE_UNAVAILABLE;
    let mut late = cut_off(node);
    let mut here = std::pin::pin!(here);
    if !late {
        match timeout(node.times.round / 6, &mut here).await {
            Ok(response) if !refused(&response) => return response,
            Ok(_) => late = true,
            Err(_) => {}
        }
    }
    if late {
        return passed_on(node, change).await;
    }
    let mut there = std::pin::pin!(passed_on(node, change));
    tokio::select! {
        biased;
        response = &mut here => match refused(&response) {
            true => there.await,
            false => response,
        },
        response = &mut there => match refused(&response) {
            true => here.await,
            false => response,
        },
    }
}

/// Whether this node has not read the state service for longer than it does
/// when nothing is asked of it.
fn cut_off(node: &Node) -> bool {
    node.state_age() > node.times.round * 4
}

/// A peer's answer in place of ours, which would be 503.
async fn passed_on(node: &Node, change: &Change) -> Response {
    match mesh::pass_on(node, change).await {
        Some(answer) if answer.status == 429 => too_many(node),
        Some(answer) => Response::builder()
            .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY))
            .content_type("application/json")
            .body(answer.body),
        None => unserved(node, "the state service does not answer"),
    }
}

pub async fn submit_here(node: &Arc<Node>, body: &[u8]) -> Response {
    let mut turn = node.meter.turn(Work::User);
    turn.looked_at(1);
    // A known job is answered by its state, however the request looks now.
    let named = serde_json::from_slice::<serde_json::Value>(body).ok();
    let uid = named
        .as_ref()
        .and_then(|v| v.get("uid")?.as_str())
        .filter(|uid| is_job_id(uid));
    if let Some(uid) = uid {
        let known = node.view().knows(uid);
        if known {
            drop(turn);
            return answer(node, uid).await;
        }
    }
    let parsed = JobSpec::parse(body);
    drop(turn);
    let refused = match &parsed {
        Ok(spec) => {
            let Some(types) = node.view().types.clone() else {
                return not_now(node, "the machine types are not known yet");
            };
            let site = &node.settings.site;
            let can = can_ever_run(spec, &site.teams, &types.types, &site.zones);
            let can = can.and_then(|()| node.fits_a_value(spec));
            can.err().map(|why| (StatusCode::UNPROCESSABLE_ENTITY, why))
        }
        Err(why) => Some((StatusCode::BAD_REQUEST, why.clone())),
    };
    if let Some((status, why)) = refused {
        // It may have been accepted elsewhere, with another body.
        if let Some(uid) = uid {
            if !node.fresh(PATIENCE).await {
                return not_now(node, "the state service does not answer");
            }
            let known = node.view().state_of(uid);
            if let Some(state) = known {
                return json(StatusCode::OK, &state);
            }
        }
        tracing::info!(uid, %status, why, "submission refused");
        return refuse(status, why);
    }
    let Ok(spec) = parsed else {
        return refuse(StatusCode::BAD_REQUEST, "malformed");
    };
    let uid = spec.uid.clone();
    let (class, tasks) = (spec.class.clone(), spec.tasks);
    match change(node, Op::Submit(Arc::new(spec), now_ms())).await {
        Some(Outcome::Done(_)) => {
            // Who was first decides: a known job's state is told as it is.
            tracing::info!(job = uid, class, tasks, "job accepted");
            let state = node.view().state_of(&uid);
            match state {
                Some(state) if state.state == Stance::Queued => json(StatusCode::CREATED, &state),
                Some(state) => json(StatusCode::OK, &state),
                None => not_now(node, "try again"),
            }
        }
        Some(Outcome::Refused(error)) if error.status() == Some(429) => too_many(node),
        None => too_many(node),
        _ => not_now(node, "the state service does not answer"),
    }
}

/// A user's change goes into the log with those that arrive beside it; `None`
/// if there are too many.
async fn change(node: &Node, op: Op) -> Option<Outcome> {
    let (tell, told) = tokio::sync::oneshot::channel();
    node.users.try_send((op, tell)).ok()?;
    told.await.ok()
}

/// A job's state: final ones from memory, others from a fresh view.
async fn answer(node: &Node, uid: &str) -> Response {
    let known = {
        let view = node.view();
        view.is_over(uid).then(|| view.state_of(uid)).flatten()
    };
    if let Some(state) = known {
        return json(StatusCode::OK, &state);
    }
    // Known to be cut off: a peer's fresh read is as good, and comes sooner. Only slow:
    // it may come sooner, and it is waited for as long as the user waits.
    let (patience, most) = match cut_off(node) {
        false => (node.times.round * 2 / 3, PATIENCE),
        true => (node.times.round / 10, node.times.round / 10),
    };
    let mut fresh = std::pin::pin!(node.fresh(most));
    let read = match timeout(patience, &mut fresh).await {
        Ok(read) => read,
        Err(_) => tokio::select! {
            biased;
            read = &mut fresh => read,
            answer = mesh::ask_peers(node, uid) => match answer {
                Some(answer) => return told(node, answer.state),
                None => fresh.await,
            },
        },
    };
    if read {
        let state = node.view().state_of(uid);
        return told(node, state);
    }
    if cut_off(node)
        && let Some(answer) = mesh::ask_peers(node, uid).await
    {
        return told(node, answer.state);
    }
    unserved(node, "the state service does not answer")
}

fn told(node: &Node, state: Option<JobState>) -> Response {
    let mut turn = node.meter.turn(Work::User);
    turn.looked_at(1);
    match state {
        Some(state) => json(StatusCode::OK, &state),
        None => refuse(StatusCode::NOT_FOUND, "no such job"),
    }
}

#[handler]
async fn ask(Path(uid): Path<String>, node: Data<&Arc<Node>>) -> Response {
    answer(&node, &uid).await
}

#[handler]
async fn cancel(Path(uid): Path<String>, node: Data<&Arc<Node>>) -> Response {
    let change = Change::Cancel(uid.clone());
    here_or_there(&node, cancel_here(&node, &uid), &change).await
}

pub async fn cancel_here(node: &Arc<Node>, uid: &str) -> Response {
    if !node.view().knows(uid) {
        if !node.fresh(PATIENCE).await {
            return not_now(node, "the state service does not answer");
        }
        if !node.view().knows(uid) {
            return refuse(StatusCode::NOT_FOUND, "no such job");
        }
    }
    if node.view().is_over(uid) {
        return answer(node, uid).await;
    }
    match change(node, Op::Cancel(uid.into())).await {
        // Cancelled, or done just before: the order of the log says which.
        Some(Outcome::Done(_)) => {
            tracing::info!(job = uid, "job cancelled");
            answer(node, uid).await
        }
        Some(Outcome::Refused(error)) if error.status() == Some(429) => too_many(node),
        None => too_many(node),
        _ => not_now(node, "the state service does not answer"),
    }
}

#[handler]
async fn health(node: Data<&Arc<Node>>) -> Response {
    match mesh::healthy(&node) {
        true => "ok".into_response(),
        false => not_now(&node, "no contact with the state service"),
    }
}

#[handler]
async fn beat(body: Body, from: &RemoteAddr, node: Data<&Arc<Node>>) -> Response {
    node.seats.worker(from);
    let body = match bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let mut turn = node.meter.turn(Work::Report);
    turn.looked_at(1);
    let report: Report = match serde_json::from_slice(&body) {
        Ok(report) => report,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match reports::beat(&node, &report) {
        Reply::Here(answer) => json(StatusCode::OK, &answer),
        Reply::Elsewhere(report_to) => {
            json(StatusCode::MISDIRECTED_REQUEST, &Elsewhere { report_to })
        }
        Reply::NotNow => not_now(&node, "not entitled"),
    }
}
