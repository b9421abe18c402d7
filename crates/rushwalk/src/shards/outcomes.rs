//! Reconciliation of the workers' heartbeats with the cluster's state.

use super::findings::HeartbeatFindings;
use crate::clock::now_ms;
use crate::observability::worker_events::WorkerEvents;
use crate::timing::Timing;
use crate::workers::WorkerSession;
use crate::workers::commands::is_wanted;
use crate::workers::registry::Sessions;
use crate::workers::session::ReportedTask;
use rushwalk_protocol::ids::{AttemptId, MachineId, ShardId};
use rushwalk_protocol::worker::{ExitCause, TaskPhase, TaskStatus};
use rushwalk_state::records::{AttemptOutcome, JobPhase};
use rushwalk_state::{
    AssignedTask, ClusterState, JobState, MachineState, Mutation, Revision, TaskState,
};
use std::collections::{BTreeMap, BTreeSet};

/// Compares the sessions of `machines` with the state, and returns the mutations that bring
/// the state up to date. Skips machines whose shard is not in `owned`.
pub(super) fn outcomes(
    state: &ClusterState,
    sessions: &mut Sessions,
    owned: &BTreeMap<ShardId, Revision>,
    machines: &BTreeSet<MachineId>,
    timing: &Timing,
    events: &WorkerEvents,
) -> Vec<Mutation> {
    let mut findings = HeartbeatFindings::default();
    for id in machines {
        let Some(machine) = state.machines.get(id) else {
            continue;
        };
        let Some(&token) = owned.get(&machine.record.shard) else {
            continue;
        };
        let Some(session) = sessions.by_machine.get_mut(id) else {
            continue;
        };
        let observer = Observer {
            state,
            timing,
            id,
            machine,
            token,
            events,
        };
        observer.observe_machine(session, &mut findings);
        observer.observe_tasks(session, &mut findings);
    }
    findings.into_mutations(now_ms())
}

/// Compares the session of one machine with the state.
struct Observer<'a> {
    state: &'a ClusterState,
    timing: &'a Timing,
    id: &'a MachineId,
    machine: &'a MachineState,
    /// Fencing token under which this process owns the machine's shard.
    token: Revision,
    events: &'a WorkerEvents,
}

/// Change to a placed task that a heartbeat, or its absence, shows.
enum TaskTransition {
    Unchanged,
    Started,
    Ended(AttemptOutcome),
}

impl Observer<'_> {
    /// Adds findings if the machine became ready, reachable or unreachable, or if its
    /// reclaim was announced.
    fn observe_machine(&self, session: &mut WorkerSession, findings: &mut HeartbeatFindings) {
        let record = &self.machine.record;
        if session.last_contact.is_some() {
            if record.ready_ms.is_none() || *record.address != *session.address {
                findings.machine_ready(self.id, &session.address);
            }
            if let Some(reclaim_ms) = session.reclaim_ms
                && record.reclaim_ms.is_none()
            {
                tracing::info!(machine = &**self.id, "spot reclaim notice");
                findings.reclaim_announced(self.id, reclaim_ms);
            }
        }
        if record.ready_ms.is_some() {
            self.observe_reachability(session, findings);
        }
    }

    /// Adds a finding if the machine became reachable or unreachable. Without contact, it is
    /// unreachable only after [`Timing::unreachable_after`], counted from the start of this
    /// ownership at the earliest, because a worker needs time to find a new owner. It must also
    /// have left a probe unanswered, because a single heartbeat may be lost. Neither applies if
    /// messages are lost in one direction.
    fn observe_reachability(&self, session: &mut WorkerSession, findings: &mut HeartbeatFindings) {
        let owned_since = session.owned.map(|owned| owned.since);
        let Some(last) = session.last_contact.max(owned_since) else {
            return;
        };
        let has_loss = session.has_inbound_loss(self.timing)
            || session.has_outbound_loss(self.token, self.timing);
        let is_silent = last.elapsed() > self.timing.unreachable_after;
        if is_silent || has_loss {
            // A machine whose messages are lost in one direction is unreachable without a
            // probe: it receives no commands, or its heartbeats do not arrive and so do not
            // renew its lease.
            let is_confirmed = has_loss || session.last_probe.is_some_and(|at| at > last);
            let is_recorded = self.machine.record.unreachable_since_ms.is_some();
            if !is_recorded && is_confirmed && !session.call_in_flight {
                if !std::mem::replace(&mut session.unreachable_logged, true) {
                    tracing::info!(machine = &**self.id, "machine unreachable");
                }
                findings.machine_unreachable(self.id);
            }
        } else if self.machine.record.unreachable_since_ms.is_some()
            && self.is_reachable_both_ways(session)
        {
            findings.machine_reachable(self.id);
        }
    }

    /// Whether messages arrive in both directions: the machine is in contact, and its
    /// heartbeats carry a token that it can only have received from this owner.
    /// When contact alone counted, new owners took a machine that receives no responses to be
    /// healthy, and gave it work.
    fn is_reachable_both_ways(&self, session: &WorkerSession) -> bool {
        let last_contact = session.last_contact;
        session.has_seen_ownership(self.token)
            && last_contact.is_some_and(|at| at.elapsed() <= self.timing.unreachable_after)
    }

    fn observe_tasks(&self, session: &mut WorkerSession, findings: &mut HeartbeatFindings) {
        self.forget_ended_attempts(session);
        self.log_unplaced_attempts(session);
        let is_unreachable = self.machine.record.unreachable_since_ms.is_some();
        let is_lost = is_unreachable && session.lease_must_have_expired(self.token, self.timing);
        for id in &self.machine.tasks {
            let Some(AssignedTask { job, task }) = self.state.task(id) else {
                continue;
            };
            let attempt = AttemptId {
                task: id.clone(),
                attempt: task.record.attempt,
            };
            match self.task_transition(session, &attempt, job, task, is_lost) {
                TaskTransition::Unchanged => {}
                TaskTransition::Started => findings.task_started(&attempt),
                TaskTransition::Ended(outcome) => {
                    findings.task_ended(&attempt, outcome);
                    session.ended_attempts.insert(attempt);
                }
            }
        }
    }

    /// Logs the attempts on the machine that the state does not place there, each time that the
    /// machine is examined.
    fn log_unplaced_attempts(&self, session: &WorkerSession) {
        let is_unplaced = |reported: &&ReportedTask| {
            reported.status.phase != TaskPhase::Exited && !is_wanted(self.state, self.id, reported)
        };
        for unplaced in session.tasks.iter().filter(is_unplaced) {
            let status = &unplaced.status;
            let attempt = AttemptId {
                task: unplaced.task.clone(),
                attempt: status.attempt,
            };
            self.events
                .unplaced_attempt(self.id, &attempt, self.token, status.phase);
        }
    }

    /// Drops ended attempts that are no longer the current attempt of their task.
    fn forget_ended_attempts(&self, session: &mut WorkerSession) {
        session.ended_attempts.retain(|ended| {
            let task = self.state.task(&ended.task);
            task.is_some_and(|assigned| assigned.task.record.attempt == ended.attempt)
        });
    }

    /// The change to a placed task that the session shows. `is_lost` says that the worker's
    /// lease has certainly expired.
    fn task_transition(
        &self,
        session: &WorkerSession,
        attempt: &AttemptId,
        job: &JobState,
        task: &TaskState,
        is_lost: bool,
    ) -> TaskTransition {
        let id = &attempt.task;
        match session.reported(attempt) {
            Some(status) if status.phase == TaskPhase::Exited => {
                if task.record.started_ms.is_none() {
                    let cause = status.exit_cause;
                    self.events
                        .exit_never_running(self.id, attempt, self.token, cause);
                }
                TaskTransition::Ended(self.outcome_of_exit(status))
            }
            _ if is_lost => {
                tracing::info!(task = %id, machine = &**self.id, "task lost: the worker lease expired");
                TaskTransition::Ended(AttemptOutcome::Lost)
            }
            Some(status) => {
                if status.phase != TaskPhase::Running || task.record.started_ms.is_some() {
                    return TaskTransition::Unchanged;
                }
                self.log_start(status, job, task);
                TaskTransition::Started
            }
            None => {
                if !self.is_surely_absent(session, attempt, job, task) {
                    return TaskTransition::Unchanged;
                }
                tracing::info!(task = %id, machine = &**self.id, "task lost: it is no longer on its machine");
                TaskTransition::Ended(AttemptOutcome::Lost)
            }
        }
    }

    fn outcome_of_exit(&self, status: &TaskStatus) -> AttemptOutcome {
        let outcome = match status.exit_cause {
            Some(ExitCause::Done) => AttemptOutcome::Completed,
            Some(ExitCause::Error | ExitCause::Unknown | ExitCause::NoRoom) => {
                AttemptOutcome::Failed
            }
            _ => AttemptOutcome::Lost,
        };
        if outcome != AttemptOutcome::Completed {
            let cause = status.exit_cause;
            tracing::info!(
                task = status.task,
                machine = &**self.id,
                ?cause,
                "task exited without completing"
            );
        }
        outcome
    }

    /// Whether a task that its worker does not report is certainly not on the machine, and will
    /// not be started there under this attempt.
    fn is_surely_absent(
        &self,
        session: &WorkerSession,
        attempt: &AttemptId,
        job: &JobState,
        task: &TaskState,
    ) -> bool {
        let must_not_start = job.phase != JobPhase::Active
            || task.record.stop_reason.is_some()
            || task.record.started_ms.is_some();
        let has_ended = session.ended_attempts.contains(attempt);
        // Commands may not arrive at an unreachable machine, so a task that it has not started
        // is moved to another machine.
        let is_unreachable = self.machine.record.unreachable_since_ms.is_some();
        let will_not_start = must_not_start || has_ended || is_unreachable;
        will_not_start && session.proves_absence(attempt, self.token)
            || session.heartbeats_show_lease_expiry(self.token)
    }

    fn log_start(&self, status: &TaskStatus, job: &JobState, task: &TaskState) {
        let now_ms = now_ms();
        tracing::debug!(
            task = status.task,
            machine = &**self.id,
            class = job.spec.class,
            kind = &*self.machine.record.machine_type,
            spot = self.machine.record.spot,
            since_accepted_ms = now_ms.saturating_sub(job.accepted_ms),
            since_placed_ms = now_ms.saturating_sub(task.record.scheduled_ms),
            image_gb = job.spec.image_gb,
            "task started"
        );
    }
}
