//! The simulated platform that the controllers run on, and the methods by which a test
//! injects faults into it, configures it and reads its state.
//!
//! The submodule `network` carries messages between controllers, users and workers;
//! `store_service` and `cloud_service` serve controllers' requests to the store and the cloud.

mod cloud_service;
mod command_copies;
mod event_log;
mod http_response;
mod network;
mod store_service;

pub use cloud_service::RentalCounts;
pub use http_response::HttpResponse;
pub use network::{ControllerTransport, Endpoint};

use crate::fault::Fault;
use crate::invariants::InvariantChecker;
use crate::lock;
use crate::machine_type::{DEFAULT_MACHINE_TYPE, MachineType};
use crate::store::{Store, TransactionLimits};
use crate::worker::Worker;
use command_copies::CommandCopy;
use event_log::EventLog;
use network::NamedEndpoint;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_protocol::store::Value;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store_service::CommitDelay;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The zones of the platform. Controller `i` runs in zone `ZONES[i % ZONES.len()]`.
pub const ZONES: [&str; 3] = ["east", "west", "north"];

/// Default of the time from a machine's rental until its worker starts.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(5);

/// The simulated platform. Methods identify controllers and machines by their index; a
/// machine's index is its position in the order of rentals.
pub struct SimulatedPlatform {
    store: Mutex<Store>,
    /// Wakes open watches after each commit.
    store_changed: Notify,
    workers: Mutex<Vec<Worker>>,
    checker: Mutex<InvariantChecker>,
    /// Interface for users and workers, by controller; `None` until it is registered.
    user_endpoints: Mutex<Vec<Option<NamedEndpoint>>>,
    /// Interface for other controllers, by controller; `None` until it is registered.
    peer_endpoints: Mutex<Vec<Option<Endpoint>>>,
    faults: Mutex<HashSet<Fault>>,
    /// Names of the rented machines by request id: a repeated rental request gets the same
    /// machines.
    machines_by_request: Mutex<HashMap<String, Vec<String>>>,
    random: Mutex<SmallRng>,
    /// Maximum number of existing machines, by zone; zones without an entry have no limit.
    zone_limits: Mutex<HashMap<String, usize>>,
    rental_counts: Mutex<RentalCounts>,
    /// Times of the controllers' status requests to workers, in ascending order.
    status_requests: Mutex<Vec<Instant>>,
    /// Delays that a test has requested and no commit has matched yet.
    commit_delays: Mutex<Vec<CommitDelay>>,
    /// A text for which the body of the next commit that contains it is kept; `None` if none is to
    /// be kept.
    commit_to_keep: Mutex<Option<String>>,
    /// The body of the commit kept for [`SimulatedPlatform::replay_kept_commit`].
    kept_commit: Mutex<Option<Vec<u8>>>,
    /// Bodies of the heartbeats sent while [`Fault::HeartbeatsRecorded`] was active.
    recorded_heartbeats: Mutex<Vec<Vec<u8>>>,
    /// The calls that workers executed while [`Fault::CommandsRecorded`] was active.
    recorded_commands: Mutex<Vec<CommandCopy>>,
    /// Machine types that can be rented.
    machine_types: Mutex<Vec<MachineType>>,
    event_log: EventLog,
    worker_lease: Duration,
    heartbeat_interval: Duration,
    /// Boot time of machines that are rented from now on.
    boot_time: Mutex<Duration>,
}

impl SimulatedPlatform {
    /// A platform without machines, for controllers with the indexes 0 to `controllers` - 1.
    /// Workers send a heartbeat each `heartbeat_interval`, and drop their tasks after
    /// `worker_lease` without a response.
    /// `seed` determines all random draws.
    pub fn new(
        controllers: usize,
        seed: u64,
        heartbeat_interval: Duration,
        worker_lease: Duration,
    ) -> Arc<SimulatedPlatform> {
        Arc::new(SimulatedPlatform {
            store: Mutex::default(),
            store_changed: Notify::new(),
            workers: Mutex::default(),
            checker: Mutex::default(),
            user_endpoints: Mutex::new((0..controllers).map(|_| None).collect()),
            peer_endpoints: Mutex::new(vec![None; controllers]),
            faults: Mutex::default(),
            machines_by_request: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            zone_limits: Mutex::default(),
            rental_counts: Mutex::default(),
            status_requests: Mutex::default(),
            commit_delays: Mutex::default(),
            commit_to_keep: Mutex::default(),
            kept_commit: Mutex::default(),
            recorded_heartbeats: Mutex::default(),
            recorded_commands: Mutex::default(),
            machine_types: Mutex::new(vec![DEFAULT_MACHINE_TYPE]),
            event_log: EventLog::new(),
            worker_lease,
            heartbeat_interval,
            boot_time: Mutex::new(DEFAULT_BOOT_TIME),
        })
    }

    /// Activates a fault; no effect if it is already active.
    pub fn inject(&self, fault: Fault) {
        lock(&self.faults).insert(fault);
    }

    /// Clears a fault. The end of a store outage renews all leases for their full TTL.
    pub fn clear(&self, fault: Fault) {
        lock(&self.faults).remove(&fault);
        if fault == Fault::StoreOutage {
            lock(&self.store).extend_all_leases();
        }
    }

    /// Activates a fault on each of the given machines.
    pub fn inject_each(&self, fault: fn(usize) -> Fault, machines: &[usize]) {
        let mut active = lock(&self.faults);
        active.extend(machines.iter().map(|machine| fault(*machine)));
    }

    /// Clears a fault on each of the given machines.
    pub fn clear_each(&self, fault: fn(usize) -> Fault, machines: &[usize]) {
        let mut active = lock(&self.faults);
        for machine in machines {
            active.remove(&fault(*machine));
        }
    }

    /// Whether a fault is active.
    pub fn is_active(&self, fault: Fault) -> bool {
        lock(&self.faults).contains(&fault)
    }

    /// Locks the invariant checker.
    pub fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        lock(&self.checker)
    }

    /// Locks the list of all machines in the order of their rental, deleted ones included.
    pub fn workers(&self) -> MutexGuard<'_, Vec<Worker>> {
        lock(&self.workers)
    }

    /// Number of machines that are not deleted.
    pub fn live_machines(&self) -> usize {
        let workers = self.workers();
        workers.iter().filter(|worker| !worker.deleted).count()
    }

    /// Number of controllers, stopped ones included.
    pub fn controller_count(&self) -> usize {
        lock(&self.user_endpoints).len()
    }

    /// Limits the history of the store to the latest `changes` changes; 0 means no limit. A
    /// watch from an earlier revision gets status 410.
    pub fn retain_changes(&self, changes: usize) {
        lock(&self.store).retained_changes = changes;
    }

    /// Sets the store's limits on a transaction. A transaction that exceeds them is refused and
    /// reported as a violation.
    pub fn limit_transactions(&self, limits: TransactionLimits) {
        lock(&self.store).limits = Some(limits);
    }

    /// Number of puts and deletions sent to the store so far, see [`Store::write_count`].
    pub fn write_count(&self) -> usize {
        lock(&self.store).write_count
    }

    /// Whether the store holds a key.
    pub fn has_key(&self, key: &str) -> bool {
        let page = lock(&self.store).list(key, "");
        page.entries.iter().any(|entry| entry.key == key)
    }

    /// Replaces stored values, see [`Store::rewrite`].
    pub fn rewrite_store(&self, prefix: &str, new_value: impl Fn(&Value) -> Value) {
        lock(&self.store).rewrite(prefix, new_value);
    }

    /// Delays the next commit whose body contains `text`: it is processed after `delay`, thus
    /// after commits that were sent later, and its response is lost.
    pub fn delay_next_commit(&self, text: &str, delay: Duration) {
        lock(&self.commit_delays).push(CommitDelay {
            text: text.into(),
            delay,
        });
    }

    /// Whether a commit has matched each delay requested with
    /// [`SimulatedPlatform::delay_next_commit`].
    pub fn all_commit_delays_used(&self) -> bool {
        lock(&self.commit_delays).is_empty()
    }

    /// Sets the boot time of machines rented from now on.
    pub fn set_boot_time(&self, boot_time: Duration) {
        *lock(&self.boot_time) = boot_time;
    }

    /// Adds a machine type that can be rented.
    pub fn offer_machine_type(&self, machine_type: MachineType) {
        lock(&self.machine_types).push(machine_type);
    }

    /// Limits how many machines may exist in a zone at the same time. Machines that already
    /// exceed the limit are kept.
    pub fn limit_zone(&self, zone: &str, machines: usize) {
        lock(&self.zone_limits).insert(zone.into(), machines);
    }

    /// Numbers of rental requests so far, by their result.
    pub fn rental_counts(&self) -> RentalCounts {
        *lock(&self.rental_counts)
    }

    /// Makes the cloud reclaim a spot instance after `notice`, which its worker reports in
    /// heartbeats; `None` deletes the machine without notice.
    pub fn reclaim(self: &Arc<Self>, machine: usize, notice: Option<Duration>) {
        let name = {
            let mut workers = self.workers();
            workers[machine].reclaim_at = notice.map(|notice| Instant::now() + notice);
            workers[machine].name.clone()
        };
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(notice.unwrap_or_default()).await;
            platform.delete_machine(&name);
        });
    }

    /// Deletes a machine; its tasks end, and no heartbeat reports their exit.
    pub fn delete_machine(&self, name: &str) {
        let mut workers = self.workers();
        for worker in workers.iter_mut().filter(|worker| worker.name == name) {
            worker.drop_tasks(self);
            worker.deleted = true;
            worker.deleted_at.get_or_insert_with(Instant::now);
        }
    }

    /// Checks the invariants that are violated when too much time passes: the deadline of
    /// cancellations and the limit of jobs' waiting time. To be called about once per second.
    pub fn check_invariants(&self) {
        let workers = self.workers();
        let mut checker = self.checker();
        checker.check_cancellations();
        let usable = workers
            .iter()
            .enumerate()
            .filter(|(index, worker)| self.is_usable(*index, worker))
            .map(|(_, worker)| worker.free_capacity(&checker.jobs));
        let usable: Vec<_> = usable.collect();
        checker.check_starvation(&usable);
    }

    /// Whether a machine's worker has started, the machine is neither deleted nor about to be
    /// reclaimed, and no fault of this machine loses or delays its messages.
    fn is_usable(&self, index: usize, worker: &Worker) -> bool {
        let faults = [
            Fault::MachineFrozen(index),
            Fault::MachineOutboundLoss(index),
            Fault::MachinePartitioned(index),
            Fault::MachineInboundLoss(index),
        ];
        let ready = !worker.deleted && worker.sequence > 0 && worker.reclaim_at.is_none();
        ready && !faults.into_iter().any(|fault| self.is_active(fault))
    }

    /// The maximum number of status requests that controllers sent to workers within any
    /// interval of length `span`.
    pub fn max_status_requests_within(&self, span: Duration) -> usize {
        let requests = lock(&self.status_requests);
        let count_from = |first: usize| {
            let end = requests[first] + span;
            requests.partition_point(|at| *at < end) - first
        };
        (0..requests.len()).map(count_from).max().unwrap_or(0)
    }

    /// Starts the recording of events.
    pub fn record_events(&self) {
        self.event_log.start();
    }

    /// Returns the events recorded so far, one per line, and stops the recording.
    pub fn take_events(&self) -> Vec<String> {
        self.event_log.take()
    }

    /// Records an event; `event` is not called unless the recording is on.
    pub(crate) fn record_event(&self, event: impl FnOnce() -> String) {
        self.event_log.record(event);
    }

    /// Draws true with probability 1/n.
    fn one_in(&self, n: u32) -> bool {
        lock(&self.random).random_range(0..n) == 0
    }

    /// Draws a duration of at least `min` and less than `max` milliseconds.
    fn random_ms(&self, min: u64, max: u64) -> Duration {
        Duration::from_millis(lock(&self.random).random_range(min..max))
    }
}
