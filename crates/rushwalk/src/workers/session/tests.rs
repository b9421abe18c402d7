use super::*;
use rushwalk_protocol::settings::Settings;
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
    Some(Ownership { token, since })
}

fn owned_session(token: u64) -> WorkerSession {
    WorkerSession {
        owned: owned_since(token, Instant::now()),
        ..WorkerSession::default()
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
    session.unresolved_start = Some(UnresolvedStart {
        token: 9,
        session: 1,
    });
    session.receive(&heartbeat(8, 7), 9, &timing);
    assert!(
        !session.heartbeats_show_lease_expiry(9),
        "a start is unresolved"
    );
    session.unresolved_start = None;
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
