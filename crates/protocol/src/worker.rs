//! Workers' reports and the commands given to them.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    Fetching,
    #[serde(rename = "gathering")]
    WaitingForGang,
    Running,
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know: the task is there.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    Done,
    Stopped,
    #[serde(rename = "peers")]
    GangPeerLost,
    #[serde(rename = "alone")]
    GangIncomplete,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "stance")]
    pub phase: TaskPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "rig")]
    pub machine: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "build", default)]
    pub machine_type: String,
    #[serde(rename = "yard", default)]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "stint")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    Run {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent to a worker's own address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "stint")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421: where the worker should report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_protocols_report_is_read() {
        let report: Heartbeat = serde_json::from_str(
            r#"{"rig":"i-000231","address":"10.1.0.232:9000","build":"g8","yard":"a",
            "loaners":true,"stint":1,"tally":88,"baton":41,"recallS":null,
            "pieces":[{"piece":"j-000412/3","try":2,"stance":"running"},
            {"piece":"j-000398/0","try":1,"stance":"ended","cause":"done"}]}"#,
        )
        .unwrap();
        assert_eq!((report.session, report.sequence, report.token), (1, 88, 41));
        assert_eq!(report.tasks[1].exit_cause, Some(ExitCause::Done));
    }

    #[test]
    fn commands_are_written_as_the_protocol_says() {
        let answer = HeartbeatResponse {
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
        assert_eq!(serde_json::to_string(&answer).unwrap(), expected);
    }
}
