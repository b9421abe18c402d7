//! Measures a failover by observing the state of all controllers many times per second.

use crate::cluster::{SimulatedCluster, member_name};
use crate::inspect;
use rushwalk::controller::Controller;
use rushwalk_testkit::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A declaration by one controller that another, which has no fault, has failed.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FalsePositive {
    /// Index of the controller that declares the other failed.
    observer: usize,
    /// Name of the controller that is declared failed.
    member: String,
    /// When the controller became unhealthy, in half seconds of the observer's uptime. Repeated
    /// observations of one declaration have the same value, so that it counts once.
    since_half_seconds: u64,
}

/// The measurements so far, and the state that further observations are compared with.
pub(super) struct Observer {
    /// The longest time in which no leader finished a scheduling round or acquired leadership.
    pub(super) longest_round_gap: Duration,
    /// Time from the failure to the first suspicion of a failed controller; `None` before.
    pub(super) suspected_after: Option<Duration>,
    /// Time from the failure until a failed controller was declared failed; `None` before.
    pub(super) declared_failed_after: Option<Duration>,
    pub(super) false_positives: BTreeSet<FalsePositive>,
    /// The observed revisions of the leader key.
    pub(super) leader_revisions: BTreeSet<u64>,
    /// The latest owner of each shard.
    pub(super) shard_owners: BTreeMap<String, String>,
    /// How often a shard's owner changed.
    pub(super) shard_moves: usize,
    /// The machines whose shards the failed controllers owned, and from which no owner of their
    /// shard has received a heartbeat since the failure.
    pub(super) unrecovered_machines: BTreeSet<String>,
    /// For each recovered machine, the time from the failure to its recovery, in seconds.
    pub(super) machine_recovery_s: Vec<f64>,
    failed_at: Instant,
    failed_controllers: BTreeSet<usize>,
    /// When a leader last finished a scheduling round or acquired leadership; `None` before. Not
    /// updated from a controller whose rounds have no effect, see [`has_ineffective_rounds`].
    last_round: Option<Instant>,
}

impl Observer {
    /// Starts to measure a failure that happens now, of the controllers with indexes `failed`.
    pub(super) fn new(cluster: &SimulatedCluster, failed: &[usize]) -> Observer {
        let mut observer = Observer {
            longest_round_gap: Duration::ZERO,
            suspected_after: None,
            declared_failed_after: None,
            false_positives: BTreeSet::new(),
            leader_revisions: BTreeSet::new(),
            shard_owners: BTreeMap::new(),
            shard_moves: 0,
            unrecovered_machines: BTreeSet::new(),
            machine_recovery_s: Vec::new(),
            failed_at: Instant::now(),
            failed_controllers: failed.iter().copied().collect(),
            last_round: None,
        };
        if let Some((_, controller)) = cluster.controllers().next() {
            observer.shard_owners = inspect::shard_owners(controller);
            observer.unrecovered_machines = observer.machines_of_failed(controller);
        }
        observer.observe(cluster);
        observer
    }

    /// The ready machines whose shards the failed controllers own.
    fn machines_of_failed(&self, controller: &Controller) -> BTreeSet<String> {
        let failed: Vec<String> = self
            .failed_controllers
            .iter()
            .map(|index| member_name(*index))
            .collect();
        let is_of_failed = |shard: &String| {
            let owner = self.shard_owners.get(shard);
            owner.is_some_and(|owner| failed.contains(owner))
        };
        let machines = inspect::machines(controller).into_iter();
        machines
            .filter(|machine| machine.ready && is_of_failed(&machine.shard))
            .map(|machine| machine.name)
            .collect()
    }

    /// Adds a controller that fails after the start of the measurement.
    pub(super) fn add_failed(&mut self, controller: usize) {
        self.failed_controllers.insert(controller);
    }

    /// Updates the measurements with the present state of all running controllers.
    pub(super) fn observe(&mut self, cluster: &SimulatedCluster) {
        let now = Instant::now();
        for (index, controller) in cluster.controllers() {
            if !has_ineffective_rounds(cluster, index) {
                self.last_round = self.last_round.max(inspect::last_round(controller));
            }
            self.observe_peers(index, controller);
            self.observe_machines(controller, now);
        }
        // A gap begins with the last round, but at most one second before the failure.
        if let Some(last_round) = self.last_round {
            let gap = now - last_round.max(self.failed_at - Duration::from_secs(1));
            self.longest_round_gap = self.longest_round_gap.max(gap);
        }
        // The state of a controller that cannot read the store is outdated. A controller that
        // reads the store has the newest state, so only that one is used.
        let newest = cluster
            .controllers()
            .max_by_key(|(_, controller)| inspect::revision(controller));
        if let Some((_, controller)) = newest {
            self.observe_ownership(controller);
        }
    }

    /// Records the leader and the shard owners in a controller's state.
    fn observe_ownership(&mut self, controller: &Controller) {
        self.leader_revisions
            .extend(inspect::leader_revision(controller));
        for (shard, owner) in inspect::shard_owners(controller) {
            let previous = self.shard_owners.insert(shard, owner.clone());
            let moved = previous.is_some_and(|previous| previous != owner);
            self.shard_moves += usize::from(moved);
        }
    }

    /// Records which controllers `controller`, with the index `observer`, considers unhealthy.
    fn observe_peers(&mut self, observer: usize, controller: &Controller) {
        for peer in inspect::unhealthy_peers(controller) {
            let index = peer.member.trim_start_matches("node-").parse().unwrap_or(0);
            if self.failed_controllers.contains(&index) {
                let after = self.failed_at.elapsed();
                self.suspected_after.get_or_insert(after);
                if peer.failed {
                    self.declared_failed_after.get_or_insert(after);
                }
            } else if peer.failed && !peer.lease_expired {
                self.false_positives.insert(FalsePositive {
                    observer,
                    member: peer.member,
                    since_half_seconds: (peer.since_s * 2.0) as u64,
                });
            }
        }
    }

    /// Records the machines from which `controller`, as owner, has received a heartbeat.
    fn observe_machines(&mut self, controller: &Controller, now: Instant) {
        if self.unrecovered_machines.is_empty() {
            return;
        }
        let machines = &self.unrecovered_machines;
        let recovered =
            inspect::machines_with_heartbeat_since(controller, self.failed_at, machines);
        let after_s = (now - self.failed_at).as_secs_f64();
        for machine in recovered {
            self.unrecovered_machines.remove(&machine);
            self.machine_recovery_s.push(after_s);
        }
    }
}

/// Whether a controller's scheduling rounds have no effect, because it does not reach the store or
/// a fault simulates its suspension.
fn has_ineffective_rounds(cluster: &SimulatedCluster, index: usize) -> bool {
    cluster.platform.is_active(Fault::ControllerFrozen(index))
        || cluster.platform.is_active(Fault::StoreUnreachable(index))
}
