use super::*;
use crate::workers::session::HeartbeatOrigin;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::worker::{CommandBatch, ExitCause, Heartbeat};
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::Mutation;
use rushwalk_state::mutation::{
    AssignTasks, MachineAdopted, PlaceTasks, ShardTasks, SubmitJob, TaskOnMachine,
};
use rushwalk_state::records::MachineRecord;
use std::sync::Arc;

/// A number of tasks whose start commands exceed the size limit of a message.
const TASKS: u32 = 2_000;

/// A state in which all tasks of a job with the longest id are placed on a machine.
fn state_with_many_tasks(job: &str, machine: &str) -> ClusterState {
    let mut state = ClusterState::new(DurationEstimator::new(10, 0.0));
    let record = MachineRecord::rented("box".into(), "east".into(), false, "east".into(), 5);
    let spec = format!(
        r#"{{"uid":"{job}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":{TASKS},"cpus":0.01,"gpus":0,"memoryGb":0,"kit":"i","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#
    );
    let tasks: Vec<TaskOnMachine> = (0..TASKS)
        .map(|task| TaskOnMachine {
            task,
            machine: machine.into(),
        })
        .collect();
    let mutations = [
        Mutation::MachineAdopted(MachineAdopted {
            machine: machine.into(),
            record,
        }),
        Mutation::Submit(SubmitJob {
            spec: Arc::new(JobSpec::parse(spec.as_bytes()).unwrap()),
            accepted_ms: 9,
        }),
        Mutation::Assign(AssignTasks {
            job: job.into(),
            assigned_ms: 10,
            shards: vec![ShardTasks {
                shard: "east".into(),
                tasks: tasks.clone(),
            }],
        }),
        Mutation::Place(PlaceTasks {
            job: job.into(),
            attempt: Revision::MAX,
            placed_ms: 11,
            tasks,
        }),
    ];
    for mutation in mutations {
        state.apply(mutation, Revision::MAX, 20);
    }
    state
}

/// A message with more commands than its size limit allows would be dropped by the worker, as
/// often as it is sent, and none of the tasks would start.
#[test]
fn the_commands_for_a_machine_stay_within_the_size_limit_of_a_message() {
    let job = format!("j-{:0>20}", 1);
    let state = state_with_many_tasks(&job, "m-1");
    let session = WorkerSession::default();
    let commands = commands(&state, &session, &"m-1".into(), Revision::MAX);
    assert!(commands.len() > 500, "{}", commands.len());
    let message = CommandBatch {
        token: Revision::MAX,
        session: u64::MAX,
        commands,
    };
    let bytes = serde_json::to_string(&message).unwrap().len();
    assert!(bytes <= MAX_BODY, "{bytes}");
}

/// Attempts that a worker has to keep fill its heartbeat; further starts must wait.
#[test]
fn no_task_is_started_on_a_machine_whose_heartbeat_can_list_no_more() {
    let job = format!("j-{:0>20}", 1);
    let state = state_with_many_tasks(&job, "m-1");
    let machine = MachineId::from("m-1");
    let exited = |index: u64| {
        let task = format!("{job}/{index}");
        TaskStatus {
            task,
            attempt: u64::MAX - 1,
            phase: TaskPhase::Exited,
            exit_cause: Some(ExitCause::Stopped),
            saved: Some(false),
        }
    };
    let mut heartbeat: Heartbeat =
        serde_json::from_str(r#"{"rig":"m-1","stint":1,"tally":1}"#).expect("a heartbeat");
    for kept in [
        MAX_REPORTED_TASKS - 5,
        MAX_REPORTED_TASKS,
        2 * MAX_REPORTED_TASKS,
    ] {
        heartbeat.sequence += 1;
        heartbeat.tasks = (0..kept as u64).map(exited).collect();
        let mut session = WorkerSession::default();
        session.apply_heartbeat(&heartbeat, HeartbeatOrigin::Worker);
        let commands = commands(&state, &session, &machine, Revision::MAX);
        let starts = commands.iter().filter(|c| is_start(c)).count();
        assert_eq!(starts, MAX_REPORTED_TASKS.saturating_sub(kept));
    }
    heartbeat.tasks.truncate(MAX_REPORTED_TASKS);
    let bytes = serde_json::to_string(&heartbeat).unwrap().len();
    assert!(bytes <= MAX_BODY, "{bytes}");
}
