//! Tests of the JSON form of heartbeats and commands.

use super::*;

#[test]
fn example_heartbeat_is_parsed() {
    let heartbeat: Heartbeat = serde_json::from_str(
        r#"{"rig":"i-000231","address":"10.1.0.232:9000","build":"g8","yard":"a",
        "loaners":true,"stint":1,"tally":88,"baton":41,"recallS":null,
        "pieces":[{"piece":"j-000412/3","try":2,"stance":"running"},
        {"piece":"j-000398/0","try":1,"stance":"ended","cause":"done"}]}"#,
    )
    .unwrap();
    assert_eq!(
        (heartbeat.session, heartbeat.sequence, heartbeat.token),
        (1, 88, 41)
    );
    assert_eq!(heartbeat.tasks[1].exit_cause, Some(ExitCause::Done));
}

#[test]
fn commands_serialize_to_the_wire_format() {
    let response = HeartbeatResponse {
        token: 41,
        commands: vec![
            Command::Run {
                task: "j-000412/4".into(),
                attempt: 2,
            },
            Command::Stop {
                task: "j-000377/1".into(),
                attempt: 1,
                grace_s: 10.0,
            },
            Command::Forget {
                task: "j-000398/0".into(),
                attempt: 1,
            },
        ],
    };
    let expected = r#"{"baton":41,"orders":[{"verb":"run","piece":"j-000412/4","try":2},{"verb":"stop","piece":"j-000377/1","try":1,"leewayS":10.0},{"verb":"forget","piece":"j-000398/0","try":1}]}"#;
    assert_eq!(serde_json::to_string(&response).unwrap(), expected);
}
