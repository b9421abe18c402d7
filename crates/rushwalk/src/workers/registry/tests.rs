use super::*;
use std::time::Duration;

/// Declaring tasks gone a moment too soon would run them twice.
#[tokio::test(start_paused = true)]
async fn a_lease_is_over_only_when_nobody_can_have_renewed_it() {
    let text = include_str!("../../../../protocol/tests/settings.toml");
    let settings = rushwalk_protocol::settings::Settings::parse(text).unwrap();
    let times = Timing::new(&settings);
    let (lease, loan) = (times.worker_lease, times.lease_validity);
    let mut worker = WorkerSession::default();
    assert!(
        !worker.lease_surely_expired(7, &times),
        "never looked after"
    );
    worker.owned_since = Some((7, Instant::now()));
    tokio::time::advance(lease + Duration::from_secs(2)).await;
    assert!(
        !worker.lease_surely_expired(7, &times),
        "an earlier holder may have answered"
    );
    tokio::time::advance(loan).await;
    assert!(worker.lease_surely_expired(7, &times));
    assert!(
        !worker.lease_surely_expired(8, &times),
        "lent to others in between"
    );
    worker.record_response(true, 7, None);
    tokio::time::advance(lease).await;
    assert!(!worker.lease_surely_expired(7, &times), "clocks drift");
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(worker.lease_surely_expired(7, &times));
}

fn report(seq: u64, token: u64) -> Heartbeat {
    let text = format!(r#"{{"rig":"i-1","stint":1,"tally":{seq},"baton":{token}}}"#);
    serde_json::from_str(&text).unwrap()
}

/// A machine that hears nothing has lost its tasks when a loan and a lease are over. But
/// its answer may have come through: only the next report tells, not a copy of the last.
#[tokio::test(start_paused = true)]
async fn a_lease_lapses_only_if_a_newer_report_shows_that_no_answer_came_through() {
    let text = include_str!("../../../../protocol/tests/settings.toml");
    let settings = rushwalk_protocol::settings::Settings::parse(text).unwrap();
    let times = Timing::new(&settings);
    let (lease, loan) = (times.worker_lease, times.lease_validity);
    let begin = || WorkerSession {
        owned_since: Some((7, Instant::now())),
        ..WorkerSession::default()
    };
    let wait = lease + loan + Duration::from_secs(1);
    let mut worker = begin();
    assert!(worker.receive(&report(5, 3), 7, &times));
    worker.record_response(true, 7, None);
    tokio::time::advance(wait).await;
    assert!(!worker.receive(&report(5, 3), 7, &times));
    assert!(!worker.lease_expired(7), "a copy");
    worker.record_response(false, 7, None);
    worker.receive(&report(6, 3), 7, &times);
    assert!(
        !worker.lease_expired(7),
        "the copy's answer may have come through"
    );
    tokio::time::advance(lease + Duration::from_secs(1)).await;
    worker.receive(&report(7, 3), 7, &times);
    assert!(worker.lease_expired(7));
    worker.receive(&report(8, 7), 7, &times);
    assert!(!worker.lease_expired(7), "it has heard us");

    let mut worker = begin();
    tokio::time::advance(loan + lease / 2).await;
    worker.receive(&report(5, 3), 7, &times);
    assert!(
        !worker.lease_expired(7),
        "who had it before may have answered"
    );
    worker.record_response(true, 7, None);
    worker.receive(&report(6, 7), 7, &times);
    worker.record_response(true, 9, None);
    tokio::time::advance(lease).await;
    worker.owned_since = Some((9, Instant::now() - wait));
    worker.receive(&report(7, 7), 9, &times);
    assert!(!worker.lease_expired(9), "renewed under our token before");
    worker.record_response(true, 9, None);
    tokio::time::advance(Duration::from_secs(1)).await;
    worker.unresolved_start = Some((9, 1));
    worker.receive(&report(8, 7), 9, &times);
    assert!(!worker.lease_expired(9), "a start of ours is in doubt");
    worker.unresolved_start = None;
    worker.receive(&report(9, 7), 9, &times);
    assert!(worker.lease_expired(9));
}

/// A block that comes back to a holder brings what it last knew of its machines.
#[tokio::test(start_paused = true)]
async fn what_was_known_under_an_earlier_token_makes_no_machine_mute() {
    let text = include_str!("../../../../protocol/tests/settings.toml");
    let settings = rushwalk_protocol::settings::Settings::parse(text).unwrap();
    let times = Timing::new(&settings);
    let mut worker = WorkerSession {
        owned_since: Some((7, Instant::now())),
        ..WorkerSession::default()
    };
    worker.apply_heartbeat(&report(5, 7), true);
    tokio::time::advance(times.worker_lease + Duration::from_secs(1)).await;
    assert!(worker.has_outbound_loss(7, &times), "no report for a lease");
    assert!(!worker.has_outbound_loss(9, &times), "just come back");
    worker.owned_since = Some((9, Instant::now()));
    worker.apply_heartbeat(&report(6, 7), false);
    assert!(
        !worker.has_outbound_loss(9, &times),
        "answers when asked, and has time to report"
    );
    tokio::time::advance(times.worker_lease + Duration::from_secs(1)).await;
    assert!(worker.has_outbound_loss(9, &times));
    worker.apply_heartbeat(&report(7, 9), true);
    assert!(!worker.has_outbound_loss(9, &times), "it reports again");
}
