//! Sends to workers' own addresses what can't wait for their next heartbeat: commands, and
//! probes of workers without contact.

#[cfg(test)]
mod tests;

use crate::context::Context;
use crate::observability::runtime_lag::RuntimeLag;
use crate::store::Replica;
use crate::timing::Timing;
use crate::workers::commands::commands;
use crate::workers::registry::{Ownership, Sessions};
use crate::workers::session::{CallInFlight, HeartbeatOrigin, UnresolvedStart};
use crate::workers::{WorkerRegistry, WorkerSession};
use rushwalk_clients::Error;
use rushwalk_clients::workers::WorkerClient;
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_protocol::worker::{Command, CommandBatch, Heartbeat};
use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, MachineState, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Workers that may be probed in a tick however few there are.
const MIN_PROBES: f64 = 8.0;

/// Ticks of the owner's loop in a round.
const TICKS_PER_ROUND: f64 = 3.0;

/// Sends commands and probes.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows which tasks should be on which machine.
    pub replica: Arc<Replica>,
    /// Shows what workers report.
    pub workers: Arc<WorkerRegistry>,
    /// Calls the workers.
    pub client: WorkerClient,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
}

/// How many workers one tick probes.
struct ProbeBudget {
    /// All that may be probed.
    total: usize,
    /// Of these, workers without any contact since their shard is ours.
    never_contacted: usize,
}

impl ProbeBudget {
    /// Workers without any contact yet come by themselves, unless this thread is too late for
    /// them: while it lags few are probed. Not so those whose heartbeats stopped: probed
    /// later, the failure of a third of the fleet was detected later.
    fn new(total: usize, is_lagging: bool) -> ProbeBudget {
        let never_contacted = if is_lagging {
            MIN_PROBES as usize
        } else {
            total
        };
        ProbeBudget {
            total,
            never_contacted,
        }
    }

    fn try_take(&mut self, never_contacted: bool) -> bool {
        if self.total == 0 || (never_contacted && self.never_contacted == 0) {
            return false;
        }
        self.total -= 1;
        self.never_contacted -= usize::from(never_contacted);
        true
    }
}

/// A call to a worker's own address.
struct Call {
    machine: MachineId,
    shard: ShardId,
    address: String,
}

/// What a tick sends to a machine.
enum Step {
    Nothing,
    /// It is too early: the next tick tries again.
    Retry,
    Probe(Call),
    Command(Call, CommandBatch),
}

impl Dispatcher {
    /// Sends what is urgent to some machines; returns those to try again.
    pub(super) fn dispatch(&self, machines: &BTreeSet<MachineId>) -> BTreeSet<MachineId> {
        let mut retry = BTreeSet::new();
        let state = self.replica.state();
        let mut sessions = self.workers.sessions();
        let owned = self.replica.owned_shards(&state);
        let mut budget = self.probe_budget(&state, &owned);
        for id in machines {
            match self.next_step(&state, &mut sessions, &owned, &mut budget, id) {
                Step::Nothing => {}
                Step::Retry => {
                    retry.insert(id.clone());
                }
                Step::Probe(call) => {
                    tokio::spawn(self.clone().probe(call));
                }
                Step::Command(call, batch) => {
                    tokio::spawn(self.clone().command(call, batch));
                }
            }
        }
        retry
    }

    /// An owner that takes over a thousand machines does not probe them all at once: most
    /// will report by themselves meanwhile. Twice as many as report in a tick are probed, or
    /// as many as a small site has.
    fn probe_budget(
        &self,
        state: &ClusterState,
        owned: &BTreeMap<ShardId, Revision>,
    ) -> ProbeBudget {
        let shards = owned.keys().filter_map(|shard| state.shards.get(shard));
        let machines: usize = shards.map(BTreeSet::len).sum();
        let timing = &self.context.timing;
        let ticks = timing.heartbeat.as_secs_f64() / timing.round.as_secs_f64() * TICKS_PER_ROUND;
        let total = (2.0 * machines as f64 / ticks).ceil().max(MIN_PROBES);
        ProbeBudget::new(total as usize, self.runtime_lag.is_lagging())
    }

    fn next_step(
        &self,
        state: &ClusterState,
        sessions: &mut Sessions,
        owned: &BTreeMap<ShardId, Revision>,
        budget: &mut ProbeBudget,
        id: &MachineId,
    ) -> Step {
        let Some(machine) = state.machines.get(id) else {
            return Step::Nothing;
        };
        let record = &machine.record;
        let Some(&token) = owned.get(&record.shard) else {
            return Step::Nothing;
        };
        if record.ready_ms.is_none() || record.lifecycle == MachineLifecycle::Deleting {
            return Step::Nothing;
        }
        let session = sessions.session_mut(id);
        if session.owned.is_none_or(|owned| owned.token != token) {
            session.owned = Some(Ownership::new(token));
        }
        if session.call_in_flight.is_some() {
            return Step::Nothing;
        }
        let timing = &self.context.timing;
        // Without contact it may report to a previous owner, or be partitioned. Or its
        // heartbeats come, and our responses do not arrive.
        if session.heartbeat_overdue(timing) || session.has_undelivered_response() {
            return probe_step(timing, session, budget, id, machine);
        }
        command_step(state, timing, session, id, machine, token)
    }

    async fn command(self, call: Call, batch: CommandBatch) {
        let timeout = self.context.timing.round * 3;
        let result = self.client.command(&call.address, &batch, timeout).await;
        let mut sessions = self.workers.sessions();
        let session = finish_call(&mut sessions, &call);
        let machine = &*call.machine;
        match result {
            Ok(response) => {
                session.apply_heartbeat(&response.heartbeat, HeartbeatOrigin::Call);
                sessions.record_contact(&call.shard);
            }
            Err(Error::Unanswered(error)) => {
                tracing::debug!(machine, error, "commands unanswered");
                let is_start = |command: &Command| matches!(command, Command::Run { .. });
                if batch.commands.iter().any(is_start) {
                    session.mark_unresolved_start(UnresolvedStart {
                        token: batch.token,
                        session: batch.session,
                    });
                }
            }
            Err(error) => tracing::debug!(machine, %error, "commands failed"),
        }
    }

    /// Asks a worker without contact for a heartbeat, and shows it our token: a worker that
    /// still reports to a previous owner is thereby fenced from it.
    async fn probe(self, call: Call) {
        let timeout = self.context.timing.round * 2;
        let mut result = self.client.heartbeat(&call.address, timeout).await;
        let token = {
            let state = self.replica.state();
            self.replica.fencing_token(&state, &call.shard)
        };
        if let (Ok(heartbeat), Some(token)) = (&result, token)
            && heartbeat.token < token
        {
            let session = heartbeat.session;
            result = self.show_token(&call, token, session, timeout).await;
        }
        let mut sessions = self.workers.sessions();
        let session = finish_call(&mut sessions, &call);
        if let Ok(heartbeat) = result {
            session.apply_heartbeat(&heartbeat, HeartbeatOrigin::Call);
            sessions.record_contact(&call.shard);
        }
    }

    /// Sends an empty batch of commands.
    async fn show_token(
        &self,
        call: &Call,
        token: Revision,
        session: u64,
        timeout: Duration,
    ) -> Result<Heartbeat, Error> {
        let empty = CommandBatch {
            token,
            session,
            commands: Vec::new(),
        };
        let answer = self.client.command(&call.address, &empty, timeout).await;
        answer.map(|response| response.heartbeat)
    }
}

/// Records the end of a call, whatever came of it.
fn finish_call<'a>(sessions: &'a mut Sessions, call: &Call) -> &'a mut WorkerSession {
    sessions.changed.insert(call.machine.clone());
    let session = sessions.session_mut(&call.machine);
    session.call_in_flight = None;
    session
}

fn call(session: &WorkerSession, id: &MachineId, machine: &MachineState) -> Call {
    let address = if session.address.is_empty() {
        machine.record.address.to_string()
    } else {
        session.address.clone()
    };
    Call {
        machine: id.clone(),
        shard: machine.record.shard.clone(),
        address,
    }
}

fn probe_step(
    timing: &Timing,
    session: &mut WorkerSession,
    budget: &mut ProbeBudget,
    id: &MachineId,
    machine: &MachineState,
) -> Step {
    let pause = match session.last_contact {
        None => timing.heartbeat / 2,
        Some(_) => timing.heartbeat,
    };
    if session.last_probe.is_some_and(|at| at.elapsed() < pause) {
        return Step::Nothing;
    }
    if !budget.try_take(session.last_contact.is_none()) {
        return Step::Retry;
    }
    session.last_probe = Some(Instant::now());
    session.call_in_flight = Some(CallInFlight::Probe);
    Step::Probe(call(session, id, machine))
}

fn command_step(
    state: &ClusterState,
    timing: &Timing,
    session: &mut WorkerSession,
    id: &MachineId,
    machine: &MachineState,
    token: Revision,
) -> Step {
    let commands = commands(state, session, id, token);
    let is_urgent = |command: &Command| !matches!(command, Command::Forget { .. });
    if !commands.iter().any(is_urgent) {
        return Step::Nothing;
    }
    let last_command = session.last_command;
    if last_command.is_some_and(|at| at.elapsed() <= timing.round) {
        return Step::Retry;
    }
    if session.session == 0 {
        return Step::Nothing;
    }
    session.last_command = Some(Instant::now());
    session.call_in_flight = Some(CallInFlight::Commands);
    let batch = CommandBatch {
        token,
        session: session.session,
        commands,
    };
    Step::Command(call(session, id, machine), batch)
}
