//! The sessions of all workers that this process has contact with or is responsible for.

use super::session::WorkerSession;
use crate::observability::worker_events::WorkerEvents;
use crate::timing::Timing;
use parking_lot::{Mutex, MutexGuard};
use rushwalk_failure_detector::reachability::{ShardReception, next_heartbeat_due_s};
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_state::{ClusterState, MachineState, Revision};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::time::Instant;

/// Ownership of a shard by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Fencing token: the version of the shard lease.
    pub token: Revision,
    /// The token with which the ownership began. Until `token`, this process advanced it itself,
    /// and no other controller owned the shard in between.
    pub first_token: Revision,
    /// When this process noticed that it owns the shard, which may be later than the commit
    /// of the lease.
    pub since: Instant,
}

impl Ownership {
    /// An ownership that begins now.
    pub fn new(token: Revision) -> Ownership {
        Ownership {
            token,
            first_token: token,
            since: Instant::now(),
        }
    }

    /// The same ownership after this process has advanced the token.
    pub(super) fn advanced_to(self, token: Revision) -> Ownership {
        Ownership { token, ..self }
    }
}

/// The ownership of a shard and of those of its machines that were examined under it.
#[derive(Debug)]
pub struct ShardOwnership {
    shard: ShardId,
    owned: Option<Ownership>,
    machines: Vec<(MachineId, Ownership)>,
}

/// The worker sessions and the contact times of shards.
#[derive(Default)]
pub struct Sessions {
    /// Worker sessions by machine.
    pub by_machine: HashMap<MachineId, WorkerSession>,
    /// Machines with a heartbeat or an ended call since the reconciler last emptied the set.
    pub changed: BTreeSet<MachineId>,
    /// When this process, as the shard's owner, last received a heartbeat of any of the
    /// shard's machines.
    shard_last_contact: HashMap<ShardId, Instant>,
    /// The shards owned at the last call of [`WorkerRegistry::unreachable_shards`].
    owned_shards: HashMap<ShardId, Ownership>,
}

impl Sessions {
    /// Returns a machine's session; creates an empty one for a machine without a session.
    pub fn session_mut(&mut self, machine: &MachineId) -> &mut WorkerSession {
        self.by_machine.entry(machine.clone()).or_default()
    }

    /// Records that some machine of a shard is in contact now.
    pub fn record_contact(&mut self, shard: &ShardId) {
        self.shard_last_contact
            .insert(shard.clone(), Instant::now());
    }

    /// The ownerships of a shard and of its machines under `token`, see
    /// [`Self::continue_ownership`].
    pub fn shard_ownership<'a>(
        &self,
        shard: &ShardId,
        machines: impl Iterator<Item = &'a MachineId>,
        token: Revision,
    ) -> ShardOwnership {
        let owned = self.owned_shards.get(shard).copied();
        let of_machine = |machine: &MachineId| self.by_machine.get(machine)?.owned;
        let machines = machines.filter_map(|machine| Some((machine.clone(), of_machine(machine)?)));
        ShardOwnership {
            shard: shard.clone(),
            owned: owned.filter(|owned| owned.token == token),
            machines: machines.filter(|(_, owned)| owned.token == token).collect(),
        }
    }

    /// Continues ownerships under `token`, to which this process has advanced the shard's token.
    /// The replica may have shown the new token already, as if a new ownership had begun.
    pub fn continue_ownership(&mut self, before: ShardOwnership, token: Revision) {
        if let Some(owned) = before.owned {
            self.owned_shards
                .insert(before.shard, owned.advanced_to(token));
        }
        for (machine, owned) in before.machines {
            if let Some(session) = self.by_machine.get_mut(&machine)
                && session.owned.is_some_and(|now| now.token <= token)
            {
                session.owned = Some(owned.advanced_to(token));
            }
        }
    }

    /// Drops the sessions of machines that no longer exist, if there are more sessions than
    /// machines.
    pub fn retain_known(&mut self, state: &ClusterState) {
        if self.by_machine.len() > state.machines.len() {
            self.by_machine
                .retain(|machine, _| state.machines.contains_key(machine));
        }
    }
}

/// The worker sessions behind a lock, shared by all components that use them.
pub struct WorkerRegistry {
    timing: Timing,
    sessions: Mutex<Sessions>,
    events: WorkerEvents,
}

impl WorkerRegistry {
    /// A registry without sessions.
    pub fn new(timing: Timing) -> WorkerRegistry {
        WorkerRegistry {
            timing,
            sessions: Mutex::default(),
            events: WorkerEvents::default(),
        }
    }

    /// The log lines and figures about workers.
    pub(crate) fn events(&self) -> &WorkerEvents {
        &self.events
    }

    /// Locks the sessions. Code that also locks the cluster's state must lock the state first.
    pub fn sessions(&self) -> MutexGuard<'_, Sessions> {
        self.sessions.lock()
    }

    /// Names of the owned shards whose heartbeats do not reach this process: enough of their
    /// machines are overdue, and none has been in contact for an eighth of a heartbeat interval
    /// (see [`ShardReception::owner_receives_no_heartbeats`]).
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

    /// Whether the heartbeats of a shard that is owned since `since` do not reach this process,
    /// see [`ShardReception::owner_receives_no_heartbeats`].
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
        // First assume that all machines are overdue. Most shards have recent contact and need
        // no examination of each machine.
        let mut reception = ShardReception {
            machines,
            overdue: machines,
            contact_age_s,
        };
        if !reception.owner_receives_no_heartbeats(heartbeat_s) {
            return false;
        }
        let in_shard = state.shards.get(shard).into_iter().flatten();
        let overdue = in_shard.filter(|machine| {
            state.machines.get(*machine).is_some_and(expects_heartbeats)
                && self.is_overdue(sessions, machine, since)
        });
        reception.overdue = overdue.count();
        reception.owner_receives_no_heartbeats(heartbeat_s)
    }

    /// Whether the heartbeat of a machine is overdue. `since` is when this process came to own
    /// the machine's shard.
    fn is_overdue(&self, sessions: &Sessions, machine: &MachineId, since: Instant) -> bool {
        let session = sessions.by_machine.get(machine);
        let last_contact = session.and_then(|session| session.last_contact);
        // Times in seconds relative to now; past times are negative.
        let last_contact_s = last_contact.map(|at| -at.elapsed().as_secs_f64());
        let since_s = -since.elapsed().as_secs_f64();
        let heartbeat_s = self.timing.heartbeat.as_secs_f64();
        next_heartbeat_due_s(last_contact_s, since_s, heartbeat_s) < 0.0
    }
}

/// Whether a machine should send heartbeats: its record says that it is ready and not
/// unreachable.
pub(crate) fn expects_heartbeats(machine: &MachineState) -> bool {
    machine.record.ready_ms.is_some() && machine.record.unreachable_since_ms.is_none()
}
