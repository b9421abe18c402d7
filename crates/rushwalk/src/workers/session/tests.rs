use super::*;
use rushwalk_protocol::settings::Settings;
use rushwalk_protocol::worker::{Command, CommandBatch};
use std::time::Duration;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

fn timing() -> Timing {
    let text = include_str!("../../../../protocol/tests/settings.toml");
    Timing::new(&Settings::parse(text).unwrap())
}

fn heartbeat(sequence: u64, token: u64) -> Heartbeat {
    let text = format!(r#"{{"rig":"i-1","stint":1,"tally":{sequence},"baton":{token}}}"#);
    serde_json::from_str(&text).unwrap()
}

fn owned_since(token: u64, since: Instant) -> Option<Ownership> {
    Some(Ownership {
        token,
        first_token: token,
        since,
    })
}

fn owned_session(token: u64) -> WorkerSession {
    WorkerSession {
        owned: owned_since(token, Instant::now()),
        ..WorkerSession::default()
    }
}

/// A call under a token that starts attempt 4 of the task `j-1/0` in the worker's first session.
fn call_with_start(token: u64) -> CommandBatch {
    CommandBatch {
        token,
        session: 1,
        commands: vec![Command::Run {
            task: "j-1/0".into(),
            attempt: 4,
        }],
    }
}

fn started_attempt() -> AttemptId {
    AttemptId {
        task: TaskId::parse("j-1/0").unwrap(),
        attempt: 4,
    }
}

/// A task that is declared lost before its worker's lease has expired may run twice.
#[tokio::test(start_paused = true)]
async fn lease_has_surely_expired_only_when_no_owner_can_have_renewed_it() {
    let timing = timing();
    let mut session = WorkerSession::default();
    assert!(
        !session.lease_must_have_expired(7, &timing),
        "the shard was never owned"
    );
    session.owned = owned_since(7, Instant::now());
    advance(timing.worker_lease + 2 * SECOND).await;
    assert!(
        !session.lease_must_have_expired(7, &timing),
        "a previous owner may have renewed the lease"
    );
    advance(timing.lease_validity).await;
    assert!(session.lease_must_have_expired(7, &timing));
    assert!(
        !session.lease_must_have_expired(8, &timing),
        "other controllers owned the shard in between"
    );
    session.record_response(&heartbeat(0, 0), true, 7, None);
    advance(timing.worker_lease).await;
    assert!(
        !session.lease_must_have_expired(7, &timing),
        "the worker's clock may be slower"
    );
    advance(SECOND).await;
    assert!(session.lease_must_have_expired(7, &timing));
}

/// A machine that receives no responses has lost its tasks once the validity of the previous
/// shard lease and a worker lease have passed. A response to it may still have been
/// received: only a newer heartbeat shows that, not a copy of the last one.
#[tokio::test(start_paused = true)]
async fn lease_expires_only_if_a_newer_heartbeat_shows_that_no_response_was_received() {
    let timing = timing();
    let (lease, validity) = (timing.worker_lease, timing.lease_validity);
    let wait = lease + validity + SECOND;
    let mut session = owned_session(7);
    assert!(session.receive(&heartbeat(5, 3), 7, &timing));
    session.record_response(&heartbeat(5, 3), true, 7, None);
    advance(wait).await;
    assert!(!session.receive(&heartbeat(5, 3), 7, &timing));
    assert!(
        !session.heartbeats_show_lease_expiry(7),
        "the heartbeat is a copy"
    );
    session.record_response(&heartbeat(5, 3), false, 7, None);
    session.receive(&heartbeat(6, 3), 7, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(7),
        "the response to the copy may have been received"
    );
    advance(lease + SECOND).await;
    session.receive(&heartbeat(7, 3), 7, &timing);
    assert!(session.heartbeats_show_lease_expiry(7));
    session.receive(&heartbeat(8, 7), 7, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(7),
        "the worker has seen the token"
    );
}

#[tokio::test(start_paused = true)]
async fn lease_does_not_expire_after_a_possible_renewal_or_with_an_unresolved_start() {
    let timing = timing();
    let (lease, validity) = (timing.worker_lease, timing.lease_validity);
    let wait = lease + validity + SECOND;
    let mut session = owned_session(7);
    advance(validity + lease / 2).await;
    session.receive(&heartbeat(5, 3), 7, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(7),
        "a previous owner may have renewed the lease"
    );
    session.record_response(&heartbeat(5, 3), true, 7, None);
    session.receive(&heartbeat(6, 7), 7, &timing);
    session.record_response(&heartbeat(6, 7), true, 9, None);
    advance(lease).await;
    session.owned = owned_since(9, Instant::now() - wait);
    session.receive(&heartbeat(7, 7), 9, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(9),
        "the lease was renewed under an earlier token of this owner"
    );
    session.record_response(&heartbeat(7, 7), true, 9, None);
    advance(SECOND).await;
    session.starts.record_call(&call_with_start(9));
    session.starts.finish_call(CallDelivery::MayArrive);
    session.receive(&heartbeat(8, 7), 9, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(9),
        "a start is unresolved"
    );
    session.starts = OutstandingStarts::default();
    session.receive(&heartbeat(9, 7), 9, &timing);
    assert!(session.heartbeats_show_lease_expiry(9));
}

/// An owner that gets a shard back still has the sessions of its earlier ownership. Their old
/// heartbeats must not make all machines of the shard look unable to send.
#[tokio::test(start_paused = true)]
async fn heartbeats_of_an_earlier_ownership_do_not_indicate_outbound_loss() {
    let timing = timing();
    let mut session = owned_session(7);
    session.apply_heartbeat(&heartbeat(5, 7), HeartbeatOrigin::Worker);
    advance(timing.worker_lease + SECOND).await;
    assert!(
        session.has_outbound_loss(7, &timing),
        "no heartbeat for a worker lease"
    );
    assert!(
        !session.has_outbound_loss(9, &timing),
        "the shard has just come back"
    );
    session.owned = owned_since(9, Instant::now());
    session.apply_heartbeat(&heartbeat(6, 7), HeartbeatOrigin::Call);
    assert!(
        !session.has_outbound_loss(9, &timing),
        "it answers calls, and still has time to send a heartbeat"
    );
    advance(timing.worker_lease + SECOND).await;
    assert!(session.has_outbound_loss(9, &timing));
    session.apply_heartbeat(&heartbeat(7, 9), HeartbeatOrigin::Worker);
    assert!(
        !session.has_outbound_loss(9, &timing),
        "it sends heartbeats again"
    );
}

/// An answered call may be copied, one that was not sent can't arrive.
#[tokio::test(start_paused = true)]
async fn an_attempt_may_start_until_the_worker_refuses_its_calls() {
    let attempt = started_attempt();
    let mut session = owned_session(7);
    session.starts.record_call(&call_with_start(7));
    assert!(!session.may_forget(&attempt, 7), "the call is in flight");
    session.starts.finish_call(CallDelivery::NotSent);
    assert!(session.may_forget(&attempt, 7));
    session.starts.record_call(&call_with_start(7));
    session.starts.finish_call(CallDelivery::MayArrive);
    session.apply_heartbeat(&heartbeat(5, 7), HeartbeatOrigin::Call);
    assert!(!session.may_forget(&attempt, 7), "a copy may arrive");
    assert!(!session.proves_absence(&attempt, 7));
    assert!(
        session.may_forget(&attempt, 8),
        "the worker adopts the token before it forgets the attempt"
    );
    session.apply_heartbeat(&heartbeat(6, 8), HeartbeatOrigin::Worker);
    session.owned = owned_since(8, Instant::now());
    assert!(session.proves_absence(&attempt, 8));
}

/// The worker may drop a response or accept it until it sends its next heartbeat.
#[tokio::test(start_paused = true)]
async fn an_attempt_may_start_until_its_response_has_been_received_or_dropped() {
    let attempt = started_attempt();
    let mut session = owned_session(7);
    session.apply_heartbeat(&heartbeat(5, 7), HeartbeatOrigin::Worker);
    session.record_response(&heartbeat(5, 7), true, 7, Some(attempt.clone()));
    session.apply_heartbeat(&heartbeat(6, 7), HeartbeatOrigin::Call);
    assert!(!session.may_forget(&attempt, 7));
    assert!(!session.proves_absence(&attempt, 7));
    session.apply_heartbeat(&heartbeat(7, 7), HeartbeatOrigin::Worker);
    assert!(session.may_forget(&attempt, 7));
    assert!(session.proves_absence(&attempt, 7));
}

/// Advancing its token must not delay what an owner derives from the time of its ownership.
#[tokio::test(start_paused = true)]
async fn an_owner_that_advances_its_token_keeps_the_time_and_the_evidence_of_its_ownership() {
    let timing = timing();
    let mut session = owned_session(7);
    session.apply_heartbeat(&heartbeat(5, 7), HeartbeatOrigin::Worker);
    advance(timing.worker_lease + timing.lease_validity + 2 * SECOND).await;
    session.owned = session.owned.map(|owned| owned.advanced_to(9));
    assert!(session.lease_must_have_expired(9, &timing));
    assert!(session.has_outbound_loss(9, &timing));
    assert!(session.proves_absence(&started_attempt(), 9));
    session.owned = owned_since(9, Instant::now());
    assert!(
        !session.proves_absence(&started_attempt(), 9),
        "a previous owner may have started it"
    );
}
