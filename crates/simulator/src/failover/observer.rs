//! Measures a failover by looking at all controllers many times a second.

use crate::cluster::{SimulatedCluster, member_name};
use crate::inspect;
use rushwalk::controller::Controller;
use rushwalk_testkit::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A controller without any fault that another declared failed.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FalsePositive {
    observer: usize,
    member: String,
    /// Since when, in half seconds of the observer's uptime: identifies the case.
    since_half_s: u64,
}

/// Measurements so far, and what they need of earlier observations.
pub(super) struct Observer {
    pub(super) longest_round_gap: Duration,
    pub(super) suspected_after: Option<Duration>,
    pub(super) declared_failed_after: Option<Duration>,
    pub(super) false_positives: BTreeSet<FalsePositive>,
    pub(super) leader_revisions: BTreeSet<u64>,
    /// The latest owner of each shard.
    pub(super) shard_owners: BTreeMap<String, String>,
    pub(super) shard_moves: usize,
    /// Machines of the failed controllers whose heartbeat no owner has yet.
    pub(super) unrecovered_machines: BTreeSet<String>,
    /// When the others recovered, in seconds from the failure.
    pub(super) machine_recovery_s: Vec<f64>,
    failed_at: Instant,
    failed_controllers: BTreeSet<usize>,
    last_round: Option<Instant>,
}

impl Observer {
    /// Begins to measure a failure of some controllers.
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

    /// Adds a controller that fails later than the others.
    pub(super) fn add_failed(&mut self, controller: usize) {
        self.failed_controllers.insert(controller);
    }

    /// Looks at all controllers.
    pub(super) fn observe(&mut self, cluster: &SimulatedCluster) {
        let now = Instant::now();
        for (index, controller) in cluster.controllers() {
            if !is_ineffective(cluster, index) {
                self.last_round = self.last_round.max(inspect::last_round(controller));
            }
            self.observe_peers(index, controller);
            self.observe_machines(controller, now);
        }
        if let Some(last_round) = self.last_round {
            let gap = now - last_round.max(self.failed_at - Duration::from_secs(1));
            self.longest_round_gap = self.longest_round_gap.max(gap);
        }
        // Whoever reads the store has the newest state.
        let newest = cluster
            .controllers()
            .max_by_key(|(_, controller)| inspect::revision(controller));
        if let Some((_, controller)) = newest {
            self.observe_ownership(controller);
        }
    }

    fn observe_ownership(&mut self, controller: &Controller) {
        self.leader_revisions
            .extend(inspect::leader_revision(controller));
        for (shard, owner) in inspect::shard_owners(controller) {
            let previous = self.shard_owners.insert(shard, owner.clone());
            let moved = previous.is_some_and(|previous| previous != owner);
            self.shard_moves += usize::from(moved);
        }
    }

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
                    since_half_s: (peer.since_s * 2.0) as u64,
                });
            }
        }
    }

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

/// Whether a controller's rounds have no effect.
fn is_ineffective(cluster: &SimulatedCluster, index: usize) -> bool {
    cluster.platform.is_active(Fault::ControllerFrozen(index))
        || cluster.platform.is_active(Fault::StoreUnreachable(index))
}
