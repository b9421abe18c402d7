//! The users' and workers' interface on the public address.

#[cfg(test)]
mod tests;

use crate::controller::{Controller, lock, now_ms};
use crate::http::peers;
use crate::observability::work_profile::WorkKind;
use crate::workers::registry::{self, HeartbeatReply};
use poem::http::StatusCode;
use poem::web::{Data, Path, RemoteAddr};
use poem::{Body, Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::jobs::{ErrorBody, JobSpec, JobStatus, StatusPhase, is_job_id};
use rushwalk_protocol::peers::ForwardedRequest;
use rushwalk_protocol::records::Mutation;
use rushwalk_protocol::worker::{Heartbeat, Redirect};
use rushwalk_scheduler::quota::can_ever_run;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout};

pub fn routes(node: Arc<Controller>) -> impl Endpoint {
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
        &ErrorBody {
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
fn too_many(node: &Controller) -> Response {
    node.rejected_requests.fetch_add(1, Ordering::Relaxed);
    let wait = lock(&node.write_budget).time_until(1.0, 0.0, Instant::now());
    refuse_until(StatusCode::TOO_MANY_REQUESTS, "too many requests", wait)
}

/// Refused because the state service is out of reach, or not in view yet: it is
/// tried anew within a quarter of a round.
fn not_now(node: &Controller, why: &str) -> Response {
    refuse_until(StatusCode::SERVICE_UNAVAILABLE, why, node.timing.round / 4)
}

/// The same to a user.
fn unserved(node: &Controller, why: &str) -> Response {
    node.rejected_requests.fetch_add(1, Ordering::Relaxed);
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
async fn submit(body: Body, node: Data<&Arc<Controller>>) -> Response {
    let body = match bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let change = ForwardedRequest::Submit(body.clone());
    here_or_there(&node, submit_here(&node, &body), &change).await
}

/// Carries a change out here; by a peer if that is refused, and beside it if it
/// takes long. Both may do it: the second time changes nothing.
async fn here_or_there(
    node: &Controller,
    here: impl Future<Output = Response>,
    change: &ForwardedRequest,
) -> Response {
    let refused = |r: &Response| r.status() == StatusCode::SERVICE_UNAVAILABLE;
    let mut late = cut_off(node);
    let mut here = std::pin::pin!(here);
    if !late {
        match timeout(node.timing.round / 6, &mut here).await {
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
fn cut_off(node: &Controller) -> bool {
    node.staleness() > node.timing.round * 4
}

/// A peer's answer in place of ours, which would be 503.
async fn passed_on(node: &Controller, change: &ForwardedRequest) -> Response {
    match peers::pass_on(node, change).await {
        Some(answer) if answer.status == 429 => too_many(node),
        Some(answer) => Response::builder()
            .status(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY))
            .content_type("application/json")
            .body(answer.body),
        None => unserved(node, "the state service does not answer"),
    }
}

pub async fn submit_here(node: &Arc<Controller>, body: &[u8]) -> Response {
    let mut turn = node.work_profile.start(WorkKind::UserRequest);
    turn.add_items(1);
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
            let Some(types) = node.view().machine_types.clone() else {
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
            if !node.linearizable_read(PATIENCE).await {
                return not_now(node, "the state service does not answer");
            }
            let known = node.view().job_status(uid);
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
    let uid = spec.id.clone();
    let (class, tasks) = (spec.class.clone(), spec.tasks);
    match change(node, Mutation::Submit(Arc::new(spec), now_ms())).await {
        Some(CommitOutcome::Committed(_)) => {
            // Who was first decides: a known job's state is told as it is.
            tracing::info!(job = uid, class, tasks, "job accepted");
            let state = node.view().job_status(&uid);
            match state {
                Some(state) if state.phase == StatusPhase::Queued => {
                    json(StatusCode::CREATED, &state)
                }
                Some(state) => json(StatusCode::OK, &state),
                None => not_now(node, "try again"),
            }
        }
        Some(CommitOutcome::Rejected(error)) if error.status() == Some(429) => too_many(node),
        None => too_many(node),
        _ => not_now(node, "the state service does not answer"),
    }
}

/// A user's change goes into the log with those that arrive beside it; `None`
/// if there are too many.
async fn change(node: &Controller, op: Mutation) -> Option<CommitOutcome> {
    let (tell, told) = tokio::sync::oneshot::channel();
    node.user_writes.try_send((op, tell)).ok()?;
    told.await.ok()
}

/// A job's state: final ones from memory, others from a fresh view.
async fn answer(node: &Controller, uid: &str) -> Response {
    let known = {
        let view = node.view();
        view.is_finished(uid)
            .then(|| view.job_status(uid))
            .flatten()
    };
    if let Some(state) = known {
        return json(StatusCode::OK, &state);
    }
    // Known to be cut off: a peer's fresh read is as good, and comes sooner. Only slow:
    // it may come sooner, and it is waited for as long as the user waits.
    let (patience, most) = match cut_off(node) {
        false => (node.timing.round * 2 / 3, PATIENCE),
        true => (node.timing.round / 10, node.timing.round / 10),
    };
    let mut fresh = std::pin::pin!(node.linearizable_read(most));
    let read = match timeout(patience, &mut fresh).await {
        Ok(read) => read,
        Err(_) => tokio::select! {
            biased;
            read = &mut fresh => read,
            answer = peers::ask_peers(node, uid) => match answer {
                Some(answer) => return told(node, answer.status),
                None => fresh.await,
            },
        },
    };
    if read {
        let state = node.view().job_status(uid);
        return told(node, state);
    }
    if cut_off(node)
        && let Some(answer) = peers::ask_peers(node, uid).await
    {
        return told(node, answer.status);
    }
    unserved(node, "the state service does not answer")
}

fn told(node: &Controller, state: Option<JobStatus>) -> Response {
    let mut turn = node.work_profile.start(WorkKind::UserRequest);
    turn.add_items(1);
    match state {
        Some(state) => json(StatusCode::OK, &state),
        None => refuse(StatusCode::NOT_FOUND, "no such job"),
    }
}

#[handler]
async fn ask(Path(uid): Path<String>, node: Data<&Arc<Controller>>) -> Response {
    answer(&node, &uid).await
}

#[handler]
async fn cancel(Path(uid): Path<String>, node: Data<&Arc<Controller>>) -> Response {
    let change = ForwardedRequest::Cancel(uid.clone());
    here_or_there(&node, cancel_here(&node, &uid), &change).await
}

pub async fn cancel_here(node: &Arc<Controller>, uid: &str) -> Response {
    if !node.view().knows(uid) {
        if !node.linearizable_read(PATIENCE).await {
            return not_now(node, "the state service does not answer");
        }
        if !node.view().knows(uid) {
            return refuse(StatusCode::NOT_FOUND, "no such job");
        }
    }
    if node.view().is_finished(uid) {
        return answer(node, uid).await;
    }
    match change(node, Mutation::Cancel(uid.into())).await {
        // Cancelled, or done just before: the order of the log says which.
        Some(CommitOutcome::Committed(_)) => {
            tracing::info!(job = uid, "job cancelled");
            answer(node, uid).await
        }
        Some(CommitOutcome::Rejected(error)) if error.status() == Some(429) => too_many(node),
        None => too_many(node),
        _ => not_now(node, "the state service does not answer"),
    }
}

#[handler]
async fn health(node: Data<&Arc<Controller>>) -> Response {
    match peers::healthy(&node) {
        true => "ok".into_response(),
        false => not_now(&node, "no contact with the state service"),
    }
}

#[handler]
async fn beat(body: Body, from: &RemoteAddr, node: Data<&Arc<Controller>>) -> Response {
    node.connections.mark_worker(from);
    let body = match bytes(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let mut turn = node.work_profile.start(WorkKind::Heartbeat);
    turn.add_items(1);
    let report: Heartbeat = match serde_json::from_slice(&body) {
        Ok(report) => report,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match registry::beat(&node, &report) {
        HeartbeatReply::Accepted(answer) => json(StatusCode::OK, &answer),
        HeartbeatReply::Redirected(report_to) => {
            json(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
        }
        HeartbeatReply::Unavailable => not_now(&node, "not entitled"),
    }
}
