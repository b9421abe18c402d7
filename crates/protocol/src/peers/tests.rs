//! Tests of the encoding of messages.

use super::*;

/// A controller of an earlier version sends fewer fields.
#[test]
fn a_heartbeat_of_an_older_version_is_read() {
    #[derive(Serialize)]
    struct Older {
        member: &'static str,
        state_age_ms: u64,
        revision: u64,
    }
    let older = Older {
        member: "walker-0",
        state_age_ms: 3,
        revision: 9,
    };
    let heartbeat: PeerHeartbeat = decode(&encode(&older)).unwrap();
    assert_eq!(
        (
            heartbeat.revision,
            heartbeat.incarnation,
            heartbeat.last_round_ms
        ),
        (9, 0, None)
    );
}

#[test]
fn malformed_bytes_are_rejected() {
    let heartbeat = PeerHeartbeat {
        member: "walker-0".into(),
        staleness_ms: 3,
        revision: 9,
        observations: vec![PeerObservation::default()],
        ..PeerHeartbeat::default()
    };
    assert_eq!(decode(&encode(&heartbeat)), Some(heartbeat));
    assert_eq!(decode::<PeerHeartbeat>(&[0xff, 0x00, 0x9f]), None);
    assert_eq!(decode::<PeerHeartbeat>(&[0x9f; 4096]), None);
}
