//! The platform around the controllers, and the controls by which a test shapes it.
//!
//! The endpoints live in modules of their own: `network` (links between users, workers and
//! controllers), `store_service` and `cloud_service`.

mod cloud_service;
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
use crate::store::Store;
use crate::worker::Worker;
use event_log::EventLog;
use network::NamedEndpoint;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store_service::CommitDelay;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The zones of the platform; controllers are spread over them round robin.
pub const ZONES: [&str; 3] = ["east", "west", "north"];

/// Time from a machine's rental until its worker starts, unless a test sets another.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(5);

/// The simulated platform. Controllers and machines are named by their index.
pub struct SimulatedPlatform {
    store: Mutex<Store>,
    store_changed: Notify,
    workers: Mutex<Vec<Worker>>,
    checker: Mutex<InvariantChecker>,
    user_endpoints: Mutex<Vec<Option<NamedEndpoint>>>,
    peer_endpoints: Mutex<Vec<Option<Endpoint>>>,
    faults: Mutex<HashSet<Fault>>,
    /// Machine names by the request that rented them: rentals are idempotent.
    machines_by_request: Mutex<HashMap<String, Vec<String>>>,
    random: Mutex<SmallRng>,
    /// Most machines of a zone, where that is limited.
    zone_limits: Mutex<HashMap<String, usize>>,
    rental_counts: Mutex<RentalCounts>,
    /// When controllers queried the status of workers.
    status_requests: Mutex<Vec<Instant>>,
    commit_delays: Mutex<Vec<CommitDelay>>,
    recorded_heartbeats: Mutex<Vec<Vec<u8>>>,
    machine_types: Mutex<Vec<MachineType>>,
    event_log: EventLog,
    worker_lease: Duration,
    heartbeat_interval: Duration,
    boot_time: Mutex<Duration>,
}

impl SimulatedPlatform {
    /// A platform for some controllers, with workers that send a heartbeat each
    /// `heartbeat_interval` and drop their tasks without a response for `worker_lease`.
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
            recorded_heartbeats: Mutex::default(),
            machine_types: Mutex::new(vec![DEFAULT_MACHINE_TYPE]),
            event_log: EventLog::new(),
            worker_lease,
            heartbeat_interval,
            boot_time: Mutex::new(DEFAULT_BOOT_TIME),
        })
    }

    /// Activates a fault.
    pub fn inject(&self, fault: Fault) {
        lock(&self.faults).insert(fault);
    }

    /// Clears a fault. After a store outage all leases have their full time again.
    pub fn clear(&self, fault: Fault) {
        lock(&self.faults).remove(&fault);
        if fault == Fault::StoreOutage {
            lock(&self.store).extend_all_leases();
        }
    }

    /// Activates a fault on each of some machines.
    pub fn inject_each(&self, fault: fn(usize) -> Fault, machines: &[usize]) {
        let mut active = lock(&self.faults);
        active.extend(machines.iter().map(|machine| fault(*machine)));
    }

    /// Clears a fault on each of some machines.
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

    /// The invariant checker.
    pub fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        lock(&self.checker)
    }

    /// All machines that were ever rented, in the order of their rental.
    pub fn workers(&self) -> MutexGuard<'_, Vec<Worker>> {
        lock(&self.workers)
    }

    /// Number of machines that are not deleted.
    pub fn live_machines(&self) -> usize {
        let workers = self.workers();
        workers.iter().filter(|worker| !worker.deleted).count()
    }

    /// Number of controllers, running or not.
    pub fn controller_count(&self) -> usize {
        lock(&self.user_endpoints).len()
    }

    /// Limits the history of the store's changes from which a watch can start.
    pub fn retain_changes(&self, changes: usize) {
        lock(&self.store).retained_changes = changes;
    }

    /// Puts and deletions that were sent to the store so far.
    pub fn write_count(&self) -> usize {
        lock(&self.store).write_count
    }

    /// Whether the store holds a key.
    pub fn has_key(&self, key: &str) -> bool {
        let page = lock(&self.store).list(key, "");
        page.entries.iter().any(|entry| entry.key == key)
    }

    /// The next commit whose body contains `text` gets no response and is applied after
    /// `delay`, behind newer ones.
    pub fn delay_next_commit(&self, text: &str, delay: Duration) {
        lock(&self.commit_delays).push(CommitDelay {
            text: text.into(),
            delay,
        });
    }

    /// Whether every commit that was to be delayed has been seen.
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

    /// Limits the number of machines in a zone.
    pub fn limit_zone(&self, zone: &str, machines: usize) {
        lock(&self.zone_limits).insert(zone.into(), machines);
    }

    /// Rental requests so far, by their result.
    pub fn rental_counts(&self) -> RentalCounts {
        *lock(&self.rental_counts)
    }

    /// The cloud reclaims a spot instance: after `notice`, or at once.
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

    /// Deletes a machine with all its tasks.
    pub fn delete_machine(&self, name: &str) {
        let mut workers = self.workers();
        for worker in workers.iter_mut().filter(|worker| worker.name == name) {
            worker.drop_tasks(self);
            worker.deleted = true;
            worker.deleted_at.get_or_insert_with(Instant::now);
        }
    }

    /// Checks the invariants that time alone can break.
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

    /// Whether a machine is ready, stays, and exchanges messages with controllers.
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

    /// The most status requests that workers received within a span of time.
    pub fn max_status_requests_within(&self, span: Duration) -> usize {
        let requests = lock(&self.status_requests);
        let within = |first: usize| {
            let end = requests[first] + span;
            requests.partition_point(|at| *at < end) - first
        };
        (0..requests.len()).map(within).max().unwrap_or(0)
    }

    /// Starts to record events.
    pub fn record_events(&self) {
        self.event_log.start();
    }

    /// Takes the events recorded so far, a line each.
    pub fn take_events(&self) -> Vec<String> {
        self.event_log.take()
    }

    /// Records an event if events are recorded.
    pub(crate) fn record_event(&self, event: impl FnOnce() -> String) {
        self.event_log.record(event);
    }

    /// True once in `n` times.
    fn one_in(&self, n: u32) -> bool {
        lock(&self.random).random_range(0..n) == 0
    }

    /// A random duration, in milliseconds.
    fn random_ms(&self, least: u64, most: u64) -> Duration {
        Duration::from_millis(lock(&self.random).random_range(least..most))
    }
}
