//! Whether a shard's owner still receives the heartbeats of its workers.
//!
//! Two things together show a network partition that another controller can help with:
//! the owner hears none of a shard's machines though some are overdue, and workers of
//! that shard turn up at another controller. Silence alone may be the machines' own
//! fault; workers that turn up alone may have lost a single response.

use rushwalk_protocol::peers::MisroutedCount;
use std::collections::BTreeMap;

/// A worker's heartbeat comes at most so many intervals after the one before.
const LATEST_INTERVALS: f64 = 1.25;

/// Intervals that a worker is given to find a new owner of its shard.
const DISCOVERY_INTERVALS: f64 = 0.5;

/// A shard must have been silent for this fraction of an interval.
const MIN_SILENCE_INTERVALS: f64 = 1.0 / 8.0;

/// When a worker should have been heard again, in seconds of the same clock. It was last
/// heard at `last_contact_s`, or never since its shard came to this owner at
/// `owned_since_s`. One that is new to an owner is given half an interval to find it.
///
/// This is not the time since anybody was heard: workers that started together, or came
/// together after a crash, send heartbeats together, and nobody is heard in between.
/// With that time shards were taken from owners that heard all of their machines, one
/// each three seconds.
pub fn next_heartbeat_due_s(
    last_contact_s: Option<f64>,
    owned_since_s: f64,
    heartbeat_s: f64,
) -> f64 {
    match last_contact_s.filter(|at| *at > owned_since_s) {
        Some(at) => at + LATEST_INTERVALS * heartbeat_s,
        None => owned_since_s + (LATEST_INTERVALS + DISCOVERY_INTERVALS) * heartbeat_s,
    }
}

/// What a shard's owner hears from the shard's machines.
#[derive(Debug, Clone, Copy)]
pub struct ShardReception {
    /// Machines that should be heard.
    pub machines: usize,
    /// Those of them whose next heartbeat is overdue.
    pub overdue: usize,
    /// Seconds since the last contact with any of them.
    pub contact_age_s: f64,
}

impl ShardReception {
    /// Whether the owner hears nothing of the shard: enough of its machines are overdue,
    /// and none at all was heard for an eighth of a heartbeat interval.
    pub fn has_inbound_loss(&self, heartbeat_s: f64) -> bool {
        self.machines > 0
            && self.overdue >= evidence_threshold(self.machines)
            && self.contact_age_s > heartbeat_s * MIN_SILENCE_INTERVALS
    }
}

/// Machines of a shard that must be overdue, or turn up elsewhere: one in sixteen, three
/// at least, but not more than half of a small shard.
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
