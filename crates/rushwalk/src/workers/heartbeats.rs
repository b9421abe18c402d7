//! Handling of workers' heartbeats: the owner of a worker's shard answers with commands, other
//! controllers redirect the worker to the owner.

use super::commands::{commands, is_start};
use super::registry::WorkerRegistry;
use super::session::{HeartbeatOrigin, WorkerSession, started_attempt};
use crate::clock::now_ms;
use crate::context::Context;
use crate::observability::worker_events::SentCommands;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use rushwalk_protocol::ids::MachineId;
use rushwalk_protocol::worker::{Heartbeat, HeartbeatResponse};
use rushwalk_state::{ClusterState, MachineState, Revision};
use std::sync::Arc;

/// The answer to a worker's heartbeat.
#[derive(Debug)]
pub(crate) enum HeartbeatReply {
    /// The response of this controller, which owns the worker's shard.
    Accepted(HeartbeatResponse),
    /// Another controller owns the worker's shard. Holds the owner's name; `None` if it is not
    /// known yet, or if the owner has failed or reports the shard unreachable.
    Redirected(Option<String>),
    /// The machine is unknown, or its shard has no other owner and this controller may not
    /// act as the owner.
    Unavailable,
}

/// Updates the worker sessions from heartbeats, and answers these.
#[derive(Clone)]
pub(crate) struct HeartbeatHandler {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the shard leases and the placed tasks.
    pub replica: Arc<Replica>,
    /// Worker sessions, which the heartbeats update.
    pub workers: Arc<WorkerRegistry>,
    /// Failure detector, which names the controller to redirect a worker to, and the counts of
    /// misrouted workers.
    pub peers: Arc<PeerMonitor>,
}

impl HeartbeatHandler {
    /// Answers a heartbeat. The cost depends on the number of tasks on its machine, not on the
    /// number of machines.
    pub(crate) fn handle(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let state = self.replica.state();
        let known = state.machines.get_key_value(heartbeat.machine.as_str());
        let Some((machine, machine_state)) = known else {
            return HeartbeatReply::Unavailable;
        };
        let shard = &machine_state.record.shard;
        let Some(token) = self.replica.fencing_token(&state, shard) else {
            return self.redirect(&state, machine_state, heartbeat);
        };
        if heartbeat.token > token {
            // Another controller owns the shard by a newer lease that this replica has not
            // read yet.
            self.replica.request_read();
            return HeartbeatReply::Redirected(None);
        }
        let mut sessions = self.workers.sessions();
        sessions.changed.insert(machine.clone());
        sessions.record_contact(shard);
        let session = sessions.session_mut(machine);
        let response = self.respond(&state, session, machine, heartbeat, token);
        self.workers.events().commands_sent(SentCommands {
            machine,
            token,
            session: heartbeat.session,
            commands: &response.commands,
            revision: state.revision,
            read_age: self.replica.staleness(),
        });
        HeartbeatReply::Accepted(response)
    }

    /// Applies a heartbeat to the worker's session, and builds the response under `token`.
    fn respond(
        &self,
        state: &ClusterState,
        session: &mut WorkerSession,
        machine: &MachineId,
        heartbeat: &Heartbeat,
        token: Revision,
    ) -> HeartbeatResponse {
        let is_newer = session.receive(heartbeat, token, &self.context.timing);
        // A heartbeat that is not the newest is answered, but without commands, as it shows an
        // outdated state of the machine.
        let mut commands = if session.is_newest(heartbeat) && !session.call_in_flight {
            commands(state, session, machine, token)
        } else {
            Vec::new()
        };
        if session.withhold_starts() {
            commands.retain(|command| !is_start(command));
        }
        let start = commands.iter().find_map(started_attempt);
        session.record_response(heartbeat, is_newer, token, start);
        HeartbeatResponse { token, commands }
    }

    /// The reply to a worker whose shard this process does not own.
    fn redirect(
        &self,
        state: &ClusterState,
        machine: &MachineState,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        let shard = &machine.record.shard;
        let lease = state.shard_leases.get(shard);
        let Some(lease) = lease.filter(|l| l.value.owner != self.context.member()) else {
            // This controller may not answer as the owner, but the heartbeat shows that the
            // worker is alive.
            if let Some((machine, _)) = state.machines.get_key_value(heartbeat.machine.as_str()) {
                let mut sessions = self.workers.sessions();
                let session = sessions.session_mut(machine);
                session.apply_heartbeat(heartbeat, HeartbeatOrigin::Worker);
            }
            return HeartbeatReply::Unavailable;
        };
        // The worker of a machine that has just booted does not know its owner yet, so it does
        // not count as misrouted for two heartbeat intervals.
        let discovery_ms = 2 * self.context.timing.heartbeat.as_millis() as u64;
        let ready_ms = machine.record.ready_ms;
        if ready_ms.is_some_and(|at| now_ms() > at + discovery_ms) {
            self.peers
                .record_misrouted(shard, lease.version, &heartbeat.machine);
        }
        HeartbeatReply::Redirected(self.peers.redirect_target(shard, &lease.value))
    }
}
