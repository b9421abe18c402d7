//! The sessions of all workers of the shards that this process owns.

use super::session::WorkerSession;
use crate::timing::Timing;
use parking_lot::{Mutex, MutexGuard};
use rushwalk_failure_detector::reachability::{ShardReception, next_heartbeat_due_s};
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_state::{ClusterState, MachineState, Revision};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::time::Instant;

/// Under which fencing token something is owned, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// The fencing token.
    pub token: Revision,
    /// When this process came to own it, as far as it noticed.
    pub since: Instant,
}

impl Ownership {
    /// An ownership that begins now.
    pub fn new(token: Revision) -> Ownership {
        Ownership {
            token,
            since: Instant::now(),
        }
    }
}

/// What is known of the workers.
#[derive(Default)]
pub struct Sessions {
    /// The sessions by machine.
    pub by_machine: HashMap<MachineId, WorkerSession>,
    /// Machines that were in contact since this was last emptied.
    pub changed: BTreeSet<MachineId>,
    /// When any machine of a shard was last in contact.
    shard_last_contact: HashMap<ShardId, Instant>,
    /// The shards that this process owns.
    owned_shards: HashMap<ShardId, Ownership>,
}

impl Sessions {
    /// A machine's session, a new one if nothing is known of it.
    pub fn session_mut(&mut self, machine: &MachineId) -> &mut WorkerSession {
        self.by_machine.entry(machine.clone()).or_default()
    }

    /// Records contact with a machine of a shard.
    pub fn record_contact(&mut self, shard: &ShardId) {
        self.shard_last_contact
            .insert(shard.clone(), Instant::now());
    }

    /// Forgets the machines that no longer exist.
    pub fn retain_known(&mut self, state: &ClusterState) {
        if self.by_machine.len() > state.machines.len() {
            self.by_machine
                .retain(|machine, _| state.machines.contains_key(machine));
        }
    }
}

/// The worker sessions, shared by all that receive heartbeats or command workers.
pub struct WorkerRegistry {
    timing: Timing,
    sessions: Mutex<Sessions>,
}

impl WorkerRegistry {
    /// A registry that knows no worker.
    pub fn new(timing: Timing) -> WorkerRegistry {
        WorkerRegistry {
            timing,
            sessions: Mutex::default(),
        }
    }

    /// The sessions. The lock is taken after that of the cluster's state, if both are.
    pub fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock()
    }

    /// Owned shards without contact to any machine, though heartbeats of some are overdue.
    pub fn unreachable_shards(
        &self,
        state: &ClusterState,
        owned: &BTreeMap<ShardId, Revision>,
    ) -> Vec<String> {
        let mut sessions = self.sessions();
        sessions
            .owned_shards
            .retain(|shard, _| owned.contains_key(shard));
        let mut unreachable = Vec::new();
        for (shard, token) in owned {
            let ownership = sessions
                .owned_shards
                .entry(shard.clone())
                .or_insert_with(|| Ownership::new(*token));
            if ownership.token != *token {
                *ownership = Ownership::new(*token);
            }
            let since = ownership.since;
            if self.is_unreachable(state, &sessions, shard, since) {
                unreachable.push(shard.to_string());
            }
        }
        unreachable
    }

    /// Whether there is no contact with any machine of a shard that is owned since `since`,
    /// though heartbeats of some are overdue.
    fn is_unreachable(
        &self,
        state: &ClusterState,
        sessions: &Sessions,
        shard: &ShardId,
        since: Instant,
    ) -> bool {
        let last_contact = sessions.shard_last_contact.get(shard).copied();
        let last_contact = last_contact.map_or(since, |at| at.max(since));
        let contact_age_s = last_contact.elapsed().as_secs_f64();
        let heartbeat_s = self.timing.heartbeat.as_secs_f64();
        let counts = state.shard_counts(shard);
        let machines = counts.ready.saturating_sub(counts.unreachable);
        // Few shards are out of contact at all: the machines of the others aren't examined.
        let mut reception = ShardReception {
            machines,
            overdue: machines,
            contact_age_s,
        };
        if !reception.has_inbound_loss(heartbeat_s) {
            return false;
        }
        let in_shard = state.shards.get(shard).into_iter().flatten();
        let overdue = in_shard.filter(|machine| {
            state.machines.get(*machine).is_some_and(expects_heartbeats)
                && self.is_overdue(sessions, machine, since)
        });
        reception.overdue = overdue.count();
        reception.has_inbound_loss(heartbeat_s)
    }

    /// Whether a machine's heartbeat is overdue, in a shard that is owned since `since`.
    fn is_overdue(&self, sessions: &Sessions, machine: &MachineId, since: Instant) -> bool {
        let session = sessions.by_machine.get(machine);
        let last_contact = session.and_then(|session| session.last_contact);
        // Times in seconds from now, which is 0.
        let last_contact_s = last_contact.map(|at| -at.elapsed().as_secs_f64());
        let since_s = -since.elapsed().as_secs_f64();
        let heartbeat_s = self.timing.heartbeat.as_secs_f64();
        next_heartbeat_due_s(last_contact_s, since_s, heartbeat_s) < 0.0
    }
}

/// Whether a machine should send heartbeats, as far as its record shows.
pub(crate) fn expects_heartbeats(machine: &MachineState) -> bool {
    machine.record.ready_ms.is_some() && machine.record.unreachable_since_ms.is_none()
}
