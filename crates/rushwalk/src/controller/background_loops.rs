//! The background loops of a controller, each of which gets only the parts that it uses.

use super::Controller;
use crate::capacity::{CloudLoopParts, Deletion, Inventory, RentalTracker, Rentals};
use crate::failure_detection::FailureDetection;
use crate::failure_detection::heartbeats::heartbeat_loop;
use crate::leadership::snapshot_writer::SnapshotWriter;
use crate::reporting::{IncidentObserver, UsageReport};
use crate::scheduling::{Scheduler, SchedulerParts};
use crate::shards::assignment::ShardAssignerParts;
use crate::shards::{Dispatcher, Fencing, Reconciler, ShardAssigner};
use crate::store::UserWriteQueue;
use crate::store::replica::{read_loop, watch_loop};
use rushwalk_clients::cloud::CloudClient;
use rushwalk_clients::workers::WorkerClient;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// The background loops of a controller before they are started, with the parts that only
/// they use.
pub struct BackgroundLoops {
    pub(super) controller: Arc<Controller>,
    pub(super) cloud: Arc<CloudClient>,
    pub(super) worker_client: WorkerClient,
    pub(super) tracker: Arc<RentalTracker>,
    pub(super) user_write_queue: UserWriteQueue,
}

impl BackgroundLoops {
    /// Spawns one task for each loop. The loops run until their tasks are aborted.
    pub fn spawn(self) -> Vec<JoinHandle<()>> {
        let controller = &self.controller;
        let context = &controller.context;
        let replica = &controller.replica;
        let work_profile = &controller.work_profile;
        let worker_lease = context.timing.worker_lease;
        let mut loops = vec![
            tokio::spawn(watch_loop(replica.clone(), work_profile.clone())),
            tokio::spawn(read_loop(replica.clone(), work_profile.clone())),
            tokio::spawn(controller.membership.clone().run()),
            tokio::spawn(self.reconciler().run()),
            tokio::spawn(self.fencing().run()),
            tokio::spawn(self.scheduler().run()),
            tokio::spawn(self.shard_assigner().run()),
            tokio::spawn(self.rentals().run()),
            tokio::spawn(self.deletion().run()),
            tokio::spawn(self.inventory().run()),
            tokio::spawn(self.snapshot_writer().run()),
            tokio::spawn(heartbeat_loop(
                controller.heartbeats.clone(),
                controller.peer_client.clone(),
            )),
            tokio::spawn(self.failure_detection().run()),
            tokio::spawn(controller.election().run()),
            tokio::spawn(self.usage_report().run()),
            tokio::spawn(controller.runtime_lag.clone().sampling_loop()),
            tokio::spawn(controller.connections.clone().sweep_loop(worker_lease)),
            tokio::spawn(self.incident_observer().run()),
        ];
        let user_writes =
            self.user_write_queue
                .run(context.clone(), replica.clone(), controller.log.clone());
        loops.push(tokio::spawn(user_writes));
        loops
    }

    fn reconciler(&self) -> Reconciler {
        let controller = &self.controller;
        Reconciler {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            log: controller.log.clone(),
            workers: controller.workers.clone(),
            dispatcher: Dispatcher {
                context: controller.context.clone(),
                replica: controller.replica.clone(),
                workers: controller.workers.clone(),
                client: self.worker_client.clone(),
                runtime_lag: controller.runtime_lag.clone(),
            },
            work_profile: controller.work_profile.clone(),
        }
    }

    fn fencing(&self) -> Fencing {
        let controller = &self.controller;
        Fencing {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            committer: controller.committer.clone(),
            workers: controller.workers.clone(),
        }
    }

    fn scheduler(&self) -> Scheduler {
        let controller = &self.controller;
        Scheduler::new(SchedulerParts {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            peers: controller.peers.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
            pending_reasons: controller.pending_reasons.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
        })
    }

    fn shard_assigner(&self) -> ShardAssigner {
        let controller = &self.controller;
        ShardAssigner::new(ShardAssignerParts {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            peers: controller.peers.clone(),
            heartbeats: controller.heartbeats.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
        })
    }

    fn rentals(&self) -> Rentals {
        Rentals {
            parts: self.cloud_loop_parts(),
        }
    }

    fn deletion(&self) -> Deletion {
        Deletion {
            parts: self.cloud_loop_parts(),
        }
    }

    fn inventory(&self) -> Inventory {
        Inventory {
            parts: self.cloud_loop_parts(),
        }
    }

    fn cloud_loop_parts(&self) -> CloudLoopParts {
        let controller = &self.controller;
        CloudLoopParts {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
        }
    }

    fn snapshot_writer(&self) -> SnapshotWriter {
        let controller = &self.controller;
        SnapshotWriter {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            committer: controller.committer.clone(),
            log: controller.log.clone(),
            leadership: controller.leadership.clone(),
            work_profile: controller.work_profile.clone(),
        }
    }

    fn failure_detection(&self) -> FailureDetection {
        let controller = &self.controller;
        FailureDetection::new(
            controller.context.clone(),
            controller.membership.clone(),
            controller.local_health(),
        )
    }

    fn usage_report(&self) -> UsageReport {
        let controller = &self.controller;
        UsageReport {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            connections: controller.connections.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
            workers: controller.workers.clone(),
        }
    }

    fn incident_observer(&self) -> IncidentObserver {
        let controller = &self.controller;
        IncidentObserver {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            workers: controller.workers.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            rejections: controller.rejections.clone(),
            recorder: controller.incidents.clone(),
        }
    }
}
