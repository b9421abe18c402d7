//! Calls to workers' own addresses: urgent commands, which can't wait for the response to the
//! next heartbeat, and probes (status queries) of workers without contact.

#[cfg(test)]
mod tests;

use crate::context::Context;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::worker_events::SentCommands;
use crate::store::Replica;
use crate::timing::Timing;
use crate::workers::commands::commands;
use crate::workers::registry::{Ownership, Sessions};
use crate::workers::session::{CallDelivery, HeartbeatOrigin};
use crate::workers::{WorkerRegistry, WorkerSession};
use rushwalk_clients::Error;
use rushwalk_clients::workers::{CommandResponse, WorkerClient};
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_protocol::worker::{Command, CommandBatch, Heartbeat};
use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, MachineState, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of workers that a tick may always probe, whatever the number of owned machines: about as
/// many as a small site has. While the event loop lags, a tick probes at most this many of the
/// workers without any contact.
const MIN_PROBES: f64 = 8.0;

/// Ticks of the reconciler in a scheduling round.
const TICKS_PER_ROUND: f64 = 3.0;

/// Sends commands and probes to workers of the owned shards.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the owned shards and the placed tasks.
    pub replica: Arc<Replica>,
    /// Worker sessions, which the results of calls update.
    pub workers: Arc<WorkerRegistry>,
    /// HTTP client for the workers' addresses.
    pub client: WorkerClient,
    /// Lag of this controller's event loop; while it lags, fewer workers are probed.
    pub runtime_lag: Arc<RuntimeLag>,
}

/// How many more workers the current tick may probe.
struct ProbeBudget {
    /// Workers of any kind.
    total: usize,
    /// Of these, workers that this process never had contact with.
    never_contacted: usize,
}

impl ProbeBudget {
    /// The budget of a tick. While the event loop lags, few workers without any contact are
    /// probed: they send heartbeats by themselves. If the event loop answers these too late, more
    /// probes would only delay it further. Workers whose heartbeats stopped are probed
    /// regardless: when their probes were limited too, the failure of a third of the fleet was
    /// detected later.
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

/// Target of a call to a worker's own address.
struct WorkerCall {
    machine: MachineId,
    shard: ShardId,
    address: String,
}

/// The call that a tick makes to a machine's worker, if any.
enum Action {
    Nothing,
    /// A call is due but not allowed yet; the next tick examines the machine again.
    Retry,
    Probe(WorkerCall),
    Command(WorkerCall, CommandBatch),
}

impl Dispatcher {
    /// Starts the calls that are due to `machines`; returns the machines that the next tick
    /// must examine again.
    pub(super) fn dispatch(&self, machines: &BTreeSet<MachineId>) -> BTreeSet<MachineId> {
        let mut retry = BTreeSet::new();
        let state = self.replica.state();
        let mut sessions = self.workers.sessions();
        let owned = self.replica.owned_shards(&state);
        let mut budget = self.probe_budget(&state, &owned);
        for id in machines {
            match self.next_action(&state, &mut sessions, &owned, &mut budget, id) {
                Action::Nothing => {}
                Action::Retry => {
                    retry.insert(id.clone());
                }
                Action::Probe(call) => {
                    tokio::spawn(self.clone().probe(call));
                }
                Action::Command(call, batch) => {
                    self.log_call(&state, &call, &batch);
                    tokio::spawn(self.clone().command(call, batch));
                }
            }
        }
        retry
    }

    fn log_call(&self, state: &ClusterState, call: &WorkerCall, batch: &CommandBatch) {
        self.workers.events().commands_sent(SentCommands {
            machine: &call.machine,
            token: batch.token,
            session: batch.session,
            commands: &batch.commands,
            revision: state.revision,
            read_age: self.replica.staleness(),
        });
    }

    /// Limits the probes of a tick to twice the number of heartbeats that the owned machines
    /// send in a tick, but at least [`MIN_PROBES`]. Without the limit, an owner that takes over
    /// a thousand machines would probe all of them in one tick, though most send a heartbeat
    /// by themselves shortly after.
    fn probe_budget(
        &self,
        state: &ClusterState,
        owned: &BTreeMap<ShardId, Revision>,
    ) -> ProbeBudget {
        let shards = owned.keys().filter_map(|shard| state.shards.get(shard));
        let machines: usize = shards.map(BTreeSet::len).sum();
        let timing = &self.context.timing;
        let ticks_per_heartbeat =
            timing.heartbeat.as_secs_f64() / timing.round.as_secs_f64() * TICKS_PER_ROUND;
        let total = (2.0 * machines as f64 / ticks_per_heartbeat)
            .ceil()
            .max(MIN_PROBES);
        ProbeBudget::new(total as usize, self.runtime_lag.is_lagging())
    }

    fn next_action(
        &self,
        state: &ClusterState,
        sessions: &mut Sessions,
        owned: &BTreeMap<ShardId, Revision>,
        budget: &mut ProbeBudget,
        id: &MachineId,
    ) -> Action {
        let Some(machine) = state.machines.get(id) else {
            return Action::Nothing;
        };
        let record = &machine.record;
        let Some(&token) = owned.get(&record.shard) else {
            return Action::Nothing;
        };
        if record.ready_ms.is_none() || record.lifecycle == MachineLifecycle::Deleting {
            return Action::Nothing;
        }
        let session = sessions.session_mut(id);
        if session.owned.is_none_or(|owned| owned.token != token) {
            session.owned = Some(Ownership::new(token));
        }
        if session.call_in_flight {
            return Action::Nothing;
        }
        let timing = &self.context.timing;
        // A worker without contact may send its heartbeats to a previous owner, or be
        // partitioned. A worker with an undelivered response sends heartbeats, but does not
        // receive the responses.
        if session.heartbeat_overdue(timing) || session.has_undelivered_response() {
            return probe_action(timing, session, budget, id, machine);
        }
        command_action(state, timing, session, id, machine, token)
    }

    async fn command(self, call: WorkerCall, batch: CommandBatch) {
        let timeout = self.context.timing.round * 3;
        let result = self.client.command(&call.address, &batch, timeout).await;
        let mut sessions = self.workers.sessions();
        let session = finish_call(&mut sessions, &call);
        session.starts.finish_call(delivery(&result));
        let machine = &*call.machine;
        match result {
            Ok(response) => {
                session.apply_heartbeat(&response.heartbeat, HeartbeatOrigin::Call);
                sessions.record_contact(&call.shard);
            }
            Err(Error::Unanswered(error)) => {
                tracing::debug!(machine, error, "worker did not answer the commands");
            }
            Err(error) => tracing::debug!(machine, %error, "sending commands failed"),
        }
    }

    /// Queries the status of a worker, and sends it this owner's fencing token if it has only
    /// seen a lower one. A worker that still sends heartbeats to a previous owner then ignores
    /// that owner's responses.
    async fn probe(self, call: WorkerCall) {
        let timeout = self.context.timing.round * 2;
        let mut result = self.client.query_status(&call.address, timeout).await;
        let token = {
            let state = self.replica.state();
            self.replica.fencing_token(&state, &call.shard)
        };
        if let (Ok(heartbeat), Some(token)) = (&result, token)
            && heartbeat.token < token
        {
            let session = heartbeat.session;
            result = self.send_token(&call, token, session, timeout).await;
        }
        let mut sessions = self.workers.sessions();
        let session = finish_call(&mut sessions, &call);
        if let Ok(heartbeat) = result {
            session.apply_heartbeat(&heartbeat, HeartbeatOrigin::Call);
            sessions.record_contact(&call.shard);
        }
    }

    /// Sends an empty batch of commands, which makes the worker adopt the fencing token.
    async fn send_token(
        &self,
        call: &WorkerCall,
        token: Revision,
        session: u64,
        timeout: Duration,
    ) -> Result<Heartbeat, Error> {
        let empty = CommandBatch {
            token,
            session,
            commands: Vec::new(),
        };
        let response = self.client.command(&call.address, &empty, timeout).await;
        response.map(|response| response.heartbeat)
    }
}

/// Whether a call with this result may have arrived at the worker.
fn delivery(result: &Result<CommandResponse, Error>) -> CallDelivery {
    match result {
        Err(Error::NotSent(_) | Error::ConnectionRefused) => CallDelivery::NotSent,
        _ => CallDelivery::MayArrive,
    }
}

/// Records the end of a call, whether or not it succeeded, and returns the machine's session.
fn finish_call<'a>(sessions: &'a mut Sessions, call: &WorkerCall) -> &'a mut WorkerSession {
    sessions.changed.insert(call.machine.clone());
    let session = sessions.session_mut(&call.machine);
    session.call_in_flight = false;
    session
}

/// The target of a call to a machine's worker. Its address is the one in the worker's latest
/// heartbeat or, if no heartbeat has named one to this process, the one in the state.
fn worker_call(session: &WorkerSession, id: &MachineId, machine: &MachineState) -> WorkerCall {
    let address = if session.address.is_empty() {
        machine.record.address.to_string()
    } else {
        session.address.clone()
    };
    WorkerCall {
        machine: id.clone(),
        shard: machine.record.shard.clone(),
        address,
    }
}

fn probe_action(
    timing: &Timing,
    session: &mut WorkerSession,
    budget: &mut ProbeBudget,
    id: &MachineId,
    machine: &MachineState,
) -> Action {
    let min_interval = match session.last_contact {
        None => timing.heartbeat / 2,
        Some(_) => timing.heartbeat,
    };
    if session
        .last_probe
        .is_some_and(|at| at.elapsed() < min_interval)
    {
        return Action::Nothing;
    }
    if !budget.try_take(session.last_contact.is_none()) {
        return Action::Retry;
    }
    session.last_probe = Some(Instant::now());
    session.call_in_flight = true;
    Action::Probe(worker_call(session, id, machine))
}

fn command_action(
    state: &ClusterState,
    timing: &Timing,
    session: &mut WorkerSession,
    id: &MachineId,
    machine: &MachineState,
    token: Revision,
) -> Action {
    let commands = commands(state, session, id, token);
    let is_urgent = |command: &Command| !matches!(command, Command::Forget { .. });
    if !commands.iter().any(is_urgent) {
        return Action::Nothing;
    }
    let last_command = session.last_command;
    if last_command.is_some_and(|at| at.elapsed() <= timing.round) {
        return Action::Retry;
    }
    if session.session == 0 {
        return Action::Nothing;
    }
    session.last_command = Some(Instant::now());
    session.call_in_flight = true;
    let batch = CommandBatch {
        token,
        session: session.session,
        commands,
    };
    session.starts.record_call(&batch);
    Action::Command(worker_call(session, id, machine), batch)
}
