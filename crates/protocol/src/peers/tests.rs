//! Tests of encoding and decoding messages between controllers.

use super::*;

/// Controllers of earlier versions send fewer fields; the missing ones get their defaults.
#[test]
fn heartbeat_of_an_earlier_version_is_decoded() {
    #[derive(Serialize)]
    struct EarlierHeartbeat {
        member: &'static str,
        state_age_ms: u64,
        revision: u64,
    }
    let earlier = EarlierHeartbeat {
        member: "walker-0",
        state_age_ms: 3,
        revision: 9,
    };
    let heartbeat: PeerHeartbeat = decode(&encode(&earlier)).unwrap();
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
