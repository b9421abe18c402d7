//! Commands that bring a machine from the state that its worker reports to the state in the
//! store.

#[cfg(test)]
mod tests;

use super::session::{ReportedTask, WorkerSession};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::ids::{AttemptId, MachineId, TaskId};
use rushwalk_protocol::worker::{Command, TaskPhase, TaskStatus};
use rushwalk_state::records::JobPhase;
use rushwalk_state::{AssignedTask, ClusterState, JobState, Revision, TaskState};

/// Seconds added to the time in which a task may save a checkpoint before it is killed.
const CHECKPOINT_MARGIN_S: f64 = 1.0;

/// The size of a command in a message to a worker is at most this, in bytes.
const COMMAND_BYTES: usize = 120;

/// The number of commands in a message, so that it stays within the size limit of the protocol. The
/// others follow in the next message.
const MAX_COMMANDS: usize = MAX_BODY / COMMAND_BYTES - 1;

/// The size of a task's entry in a heartbeat is at most this, in bytes.
const REPORTED_TASK_BYTES: usize = 128;

/// The number of tasks in a heartbeat, exited ones included, so that it stays within the size limit
/// of the protocol. No further task is started on a machine that reports as many.
const MAX_REPORTED_TASKS: usize = MAX_BODY / REPORTED_TASK_BYTES - 4;

/// The commands for a machine whose shard this process owns under the fencing token `token`, at
/// most [`MAX_COMMANDS`].
pub(crate) fn commands(
    state: &ClusterState,
    session: &WorkerSession,
    machine: &MachineId,
    token: Revision,
) -> Vec<Command> {
    let Some(machine_state) = state.machines.get(machine) else {
        return Vec::new();
    };
    let mut commands = Vec::new();
    for id in &machine_state.tasks {
        if let Some(AssignedTask { job, task }) = state.task(id) {
            commands.extend(command_for_task(session, token, id, job, task));
        }
    }
    for reported in &session.tasks {
        if !is_wanted(state, machine, reported) {
            commands.extend(command_for_unwanted(session, token, reported));
        }
    }
    let mut free_entries = MAX_REPORTED_TASKS.saturating_sub(session.tasks.len());
    commands.retain(|command| !is_start(command) || take_one(&mut free_entries));
    commands.truncate(MAX_COMMANDS);
    commands
}

/// Takes one of the free entries; false if none is left.
fn take_one(free_entries: &mut usize) -> bool {
    let is_free = *free_entries > 0;
    *free_entries = free_entries.saturating_sub(1);
    is_free
}

/// Whether a command starts a task.
pub(crate) fn is_start(command: &Command) -> bool {
    matches!(command, Command::Run { .. })
}

/// The command for a task that is placed on the machine.
fn command_for_task(
    session: &WorkerSession,
    token: Revision,
    id: &TaskId,
    job: &JobState,
    task: &TaskState,
) -> Option<Command> {
    let attempt = task.record.attempt;
    let is_cancelled = job.phase != JobPhase::Active;
    let must_stop = is_cancelled || task.record.stop_reason.is_some();
    let attempt_id = AttemptId {
        task: id.clone(),
        attempt,
    };
    match session.reported(&attempt_id) {
        // A task that had started and is missing was lost. It is started again only as a new
        // attempt.
        None if must_stop || task.record.started_ms.is_some() => None,
        None if session.heartbeats_show_lease_expiry(token) => None,
        None if session.ended_attempts.contains(&attempt_id) => None,
        None => Some(Command::Run {
            task: id.to_string(),
            attempt,
        }),
        Some(status) if status.phase == TaskPhase::Exited || !must_stop => None,
        // The task is already saving a checkpoint before it exits.
        Some(status) if status.phase == TaskPhase::Saving && !is_cancelled => None,
        Some(_) => Some(Command::Stop {
            task: id.to_string(),
            attempt,
            grace_s: grace_s(job, is_cancelled),
        }),
    }
}

/// Grace period of a stop command in seconds, in which the task may save a checkpoint; 0 if
/// its job is cancelled or has no checkpoints.
fn grace_s(job: &JobState, is_cancelled: bool) -> f64 {
    if !is_cancelled && job.spec.checkpoint_s > 0.0 {
        job.spec.save_s + CHECKPOINT_MARGIN_S
    } else {
        0.0
    }
}

/// Whether the state places a reported attempt on the machine.
pub(crate) fn is_wanted(
    state: &ClusterState,
    machine: &MachineId,
    reported: &ReportedTask,
) -> bool {
    let Some(AssignedTask { task, .. }) = state.task(&reported.task) else {
        return false;
    };
    task.record.attempt == reported.status.attempt && task.record.machine.as_ref() == Some(machine)
}

/// The command for a reported attempt that the state does not place on the machine. An exited
/// attempt stays known to the worker as long as a copy of its start may arrive.
fn command_for_unwanted(
    session: &WorkerSession,
    token: Revision,
    reported: &ReportedTask,
) -> Option<Command> {
    let TaskStatus {
        task,
        attempt,
        phase,
        ..
    } = reported.status.clone();
    if phase != TaskPhase::Exited {
        return Some(Command::Stop {
            task,
            attempt,
            grace_s: 0.0,
        });
    }
    let attempt_id = AttemptId {
        task: reported.task.clone(),
        attempt,
    };
    session
        .may_forget(&attempt_id, token)
        .then_some(Command::Forget { task, attempt })
}
