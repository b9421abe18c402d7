//! Detection of a network partition between a shard's owner and the shard's workers.
//!
//! Another controller should take over a shard if two things are observed together: the owner
//! receives no heartbeats from the shard's machines though some are overdue, and workers of
//! the shard send heartbeats to another controller. The first alone may be caused by the
//! machines themselves, the second alone by a single lost response.

use rushwalk_protocol::peers::MisroutedCount;
use std::collections::BTreeMap;

/// A worker's heartbeat is overdue this many heartbeat intervals after the previous one.
const OVERDUE_AFTER_INTERVALS: f64 = 1.25;

/// The time within which a worker finds the new owner of its shard, in heartbeat intervals.
const DISCOVERY_INTERVALS: f64 = 0.5;

/// The owner counts as receiving no heartbeats only after this fraction of a heartbeat interval
/// without any heartbeat from a shard.
const MIN_SILENCE_INTERVALS: f64 = 1.0 / 8.0;

/// The time after which the next heartbeat of a worker is overdue, in seconds of the same clock as
/// the arguments. `last_heartbeat_s` is when the last one arrived; it counts only if that was after
/// `owned_since_s`, when this owner got the shard. A worker that has not yet sent this owner a
/// heartbeat has half an interval more, in which it finds the owner.
///
/// The time since the last heartbeat of any worker of the shard is not enough to detect a
/// partition. Workers that started together, or moved together after a crash, send their heartbeats
/// together, and none arrives in between. When only that time was checked, owners that received all
/// heartbeats lost a shard every three seconds.
pub fn next_heartbeat_due_s(
    last_heartbeat_s: Option<f64>,
    owned_since_s: f64,
    heartbeat_s: f64,
) -> f64 {
    match last_heartbeat_s.filter(|at| *at > owned_since_s) {
        Some(at) => at + OVERDUE_AFTER_INTERVALS * heartbeat_s,
        None => owned_since_s + (OVERDUE_AFTER_INTERVALS + DISCOVERY_INTERVALS) * heartbeat_s,
    }
}

/// Which heartbeats a shard's owner receives from the shard's machines.
#[derive(Debug, Clone, Copy)]
pub struct ShardReception {
    /// The number of machines that should send heartbeats.
    pub machines: usize,
    /// The number of these machines whose next heartbeat is overdue.
    pub overdue: usize,
    /// Seconds since the last heartbeat of any of these machines, or since the owner got the shard
    /// if that was later.
    pub contact_age_s: f64,
}

impl ShardReception {
    /// Whether heartbeats of the shard do not reach the owner: enough machines are overdue, and
    /// no heartbeat at all has arrived for an eighth of a heartbeat interval.
    pub fn owner_receives_no_heartbeats(&self, heartbeat_s: f64) -> bool {
        self.machines > 0
            && self.overdue >= evidence_threshold(self.machines)
            && self.contact_age_s > heartbeat_s * MIN_SILENCE_INTERVALS
    }
}

/// How many machines of a shard must be overdue, or send heartbeats to another controller, to
/// count as evidence of a partition: one in sixteen and at least three, but in a small shard
/// no more than half of the machines plus one.
pub fn evidence_threshold(machines: usize) -> usize {
    (machines / 16).max(3).min(machines / 2 + 1)
}

#[derive(Debug, Clone, Default)]
struct MisroutedShard {
    /// The fencing token of the shard's lease when the heartbeats arrived.
    token: u64,
    /// When the latest heartbeat of each machine arrived here, in seconds.
    machines: BTreeMap<String, f64>,
}

/// Workers that sent heartbeats to this controller although another controller owns their
/// shard, by shard. Each worker counts once.
#[derive(Debug, Clone, Default)]
pub struct MisroutedWorkers {
    shards: BTreeMap<String, MisroutedShard>,
}

impl MisroutedWorkers {
    /// Records a heartbeat of a worker whose shard is leased to another controller under the
    /// fencing token `token`.
    pub fn record(&mut self, now_s: f64, shard: &str, token: u64, machine: &str) {
        if !self.shards.contains_key(shard) {
            self.shards.insert(shard.to_string(), Default::default());
        }
        let Some(misrouted) = self.shards.get_mut(shard) else {
            return;
        };
        if misrouted.token != token {
            // The shard has a new lease: heartbeats under the previous one don't count, since
            // workers are expected to search for the new owner.
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

    /// The number of misrouted workers of each shard within the last `window_s` seconds. Workers
    /// whose latest heartbeat is older are removed.
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
