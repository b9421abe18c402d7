//! The components that the scheduling loop uses.

use super::pending_reasons::PendingReasons;
use crate::capacity::RentalTracker;
use crate::context::Context;
use crate::leadership::Leadership;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::WorkProfile;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use rushwalk_clients::cloud::CloudClient;
use std::sync::Arc;

/// The components that scheduling uses.
pub(crate) struct SchedulerParts {
    /// The settings and intervals of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster state, with jobs and machines.
    pub replica: Arc<Replica>,
    /// Whether this process is the leader; only the leader schedules. Commits the mutations of a
    /// round.
    pub leadership: Arc<Leadership>,
    /// The health of the other controllers, which decides whose shards accept more work.
    pub peers: Arc<PeerMonitor>,
    /// The cloud client, whose rate limit bounds the rental calls of a round.
    pub cloud: Arc<CloudClient>,
    /// Rentals in progress, and an estimate of what the cloud can rent out.
    pub tracker: Arc<RentalTracker>,
    /// Receives the reasons of the pending jobs in each round.
    pub pending_reasons: Arc<PendingReasons>,
    /// Measures the event-loop lag of this thread, and yields to its other asynchronous tasks
    /// between time slices.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Measures the time that each kind of work takes.
    pub work_profile: Arc<WorkProfile>,
}
