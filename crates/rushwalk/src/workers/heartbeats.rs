//! How a worker's heartbeat is answered.

use super::commands::{commands, start_in};
use super::registry::WorkerRegistry;
use super::session::HeartbeatOrigin;
use crate::clock::now_ms;
use crate::context::Context;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use rushwalk_protocol::worker::{Heartbeat, HeartbeatResponse};
use rushwalk_state::{ClusterState, MachineState};
use std::sync::Arc;

/// What a worker's heartbeat is answered with.
#[derive(Debug)]
pub(crate) enum HeartbeatReply {
    /// Its owner's response.
    Accepted(HeartbeatResponse),
    /// Another controller owns its shard; its name, if it is known and not failed.
    Redirected(Option<String>),
    /// Its owner is not known here.
    Unavailable,
}

/// Answers workers' heartbeats.
#[derive(Clone)]
pub(crate) struct HeartbeatHandler {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows who owns the worker's shard, and what should be on its machine.
    pub replica: Arc<Replica>,
    /// Where heartbeats are kept.
    pub workers: Arc<WorkerRegistry>,
    /// Shows where to redirect workers.
    pub peers: Arc<PeerMonitor>,
}

impl HeartbeatHandler {
    /// Answers a heartbeat. Costs what its machine's tasks cost, however many other
    /// machines there are.
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
            // Another controller owns the shard by a newer lease that is not applied here yet.
            self.replica.request_read();
            return HeartbeatReply::Redirected(None);
        }
        let mut sessions = self.workers.sessions();
        sessions.changed.insert(machine.clone());
        sessions.record_contact(shard);
        let session = sessions.session_mut(machine);
        let is_newer = session.receive(heartbeat, token, &self.context.timing);
        // A late heartbeat is no base for commands, but it may be answered.
        let mut commands = if session.is_newest(heartbeat) && session.call_in_flight.is_none() {
            commands(&state, session, machine, token)
        } else {
            Vec::new()
        };
        if session.withhold_starts() {
            commands.retain(|command| start_in(command).is_none());
        }
        let start = commands.iter().find_map(start_in);
        session.record_response(heartbeat, is_newer, token, start);
        HeartbeatReply::Accepted(HeartbeatResponse { token, commands })
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
            // Not entitled to answer, but it shows that the worker is alive.
            if let Some((machine, _)) = state.machines.get_key_value(heartbeat.machine.as_str()) {
                let mut sessions = self.workers.sessions();
                let session = sessions.session_mut(machine);
                session.apply_heartbeat(heartbeat, HeartbeatOrigin::Worker);
            }
            return HeartbeatReply::Unavailable;
        };
        // A machine that has just booted has yet to discover its owner.
        let discovery_ms = 2 * self.context.timing.heartbeat.as_millis() as u64;
        let ready_ms = machine.record.ready_ms;
        if ready_ms.is_some_and(|at| now_ms() > at + discovery_ms) {
            self.peers
                .record_misrouted(shard, lease.version, &heartbeat.machine);
        }
        HeartbeatReply::Redirected(self.peers.redirect_target(shard, &lease.value))
    }
}
