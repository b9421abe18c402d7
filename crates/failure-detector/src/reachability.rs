//! Whether a shard's owner still receives the heartbeats of its workers.
//!
//! Two things together show a network partition that another controller can help with:
//! the owner receives no heartbeat of a shard's machines though some are overdue, and workers
//! of that shard send theirs to another controller. The first alone may be the machines' own
//! fault; the second alone may come from a single lost response.

use rushwalk_protocol::peers::MisroutedCount;
use std::collections::BTreeMap;

/// A worker's heartbeat comes at most so many intervals after the one before.
const LATEST_INTERVALS: f64 = 1.25;

/// Heartbeat intervals within which a worker finds a new owner of its shard.
const DISCOVERY_INTERVALS: f64 = 0.5;

/// No heartbeat of a shard must have arrived for this fraction of an interval.
const MIN_SILENCE_INTERVALS: f64 = 1.0 / 8.0;

/// When the next heartbeat of a worker is due at the latest, in seconds of the same clock.
/// The last one came at `last_heartbeat_s`, if any since this owner has the shard, which is
/// since `owned_since_s`. A worker that is new to an owner has half an interval more to
/// find it.
///
/// The time since the last heartbeat of any worker is no substitute: workers that started
/// together, or moved together after a crash, send their heartbeats together, and none
/// arrives in between. Judged by that time, owners that received all heartbeats lost a
/// shard every three seconds.
pub fn next_heartbeat_due_s(
    last_heartbeat_s: Option<f64>,
    owned_since_s: f64,
    heartbeat_s: f64,
) -> f64 {
    match last_heartbeat_s.filter(|at| *at > owned_since_s) {
        Some(at) => at + LATEST_INTERVALS * heartbeat_s,
        None => owned_since_s + (LATEST_INTERVALS + DISCOVERY_INTERVALS) * heartbeat_s,
    }
}

/// What a shard's owner receives from the shard's machines.
#[derive(Debug, Clone, Copy)]
pub struct ShardReception {
    /// Machines that should send heartbeats.
    pub machines: usize,
    /// Those of them whose next heartbeat is overdue.
    pub overdue: usize,
    /// Seconds since the last heartbeat of any of them.
    pub contact_age_s: f64,
}

impl ShardReception {
    /// Whether heartbeats of the shard do not reach the owner: enough of its machines are
    /// overdue, and none at all sent one for an eighth of a heartbeat interval.
    pub fn has_inbound_loss(&self, heartbeat_s: f64) -> bool {
        self.machines > 0
            && self.overdue >= evidence_threshold(self.machines)
            && self.contact_age_s > heartbeat_s * MIN_SILENCE_INTERVALS
    }
}

/// Machines of a shard that must be overdue, or misrouted to another controller: one in
/// sixteen, at least three, at most one more than half of a small
/// shard.
pub fn evidence_threshold(machines: usize) -> usize {
    (machines / 16).max(3).min(machines / 2 + 1)
}

#[derive(Debug, Clone, Default)]
struct MisroutedShard {
    /// The fencing token under which the shard was leased then.
    token: u64,
    /// When each machine sent its latest heartbeat here, in seconds.
    machines: BTreeMap<String, f64>,
}

/// Workers of others' shards whose heartbeats arrived here, by shard. Each counts once.
#[derive(Debug, Clone, Default)]
pub struct MisroutedWorkers {
    shards: BTreeMap<String, MisroutedShard>,
}

impl MisroutedWorkers {
    /// A worker sent a heartbeat here while its shard is leased to another under `token`.
    pub fn record(&mut self, now_s: f64, shard: &str, token: u64, machine: &str) {
        if !self.shards.contains_key(shard) {
            self.shards.insert(shard.to_string(), Default::default());
        }
        let Some(misrouted) = self.shards.get_mut(shard) else {
            return;
        };
        if misrouted.token != token {
            // The shard has a new lease: its workers are expected to look for the owner.
            misrouted.token = token;
            misrouted.machines = BTreeMap::new();
        }
        match misrouted.machines.get_mut(machine) {
            Some(at) => *at = now_s,
            None => {
                misrouted.machines.insert(machine.to_string(), now_s);
            }
        }
    }

    /// The number of workers of each shard in the last `window_s` seconds; older ones are
    /// dropped.
    pub fn counts(&mut self, now_s: f64, window_s: f64) -> Vec<MisroutedCount> {
        self.shards.retain(|_, misrouted| {
            misrouted.machines.retain(|_, at| now_s - *at < window_s);
            !misrouted.machines.is_empty()
        });
        self.shards
            .iter()
            .map(|(shard, misrouted)| MisroutedCount {
                shard: shard.clone(),
                workers: misrouted.machines.len() as u32,
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
