//! HTTP interface of the cloud: machine types, rentals and the machine list.

use super::{HttpResponse, SimulatedPlatform, ZONES};
use crate::fault::Fault;
use crate::lock;
use crate::machine_type::{DEFAULT_MACHINE_TYPE, MachineType};
use crate::worker::{Worker, run_worker};
use rushwalk_protocol::cloud::{MachineNames, RentRequest};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Numbers of rental requests by their result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RentalCounts {
    /// Requests that got machines, repetitions of fulfilled requests included.
    pub fulfilled: usize,
    /// Requests refused because the zone was at its limit, repetitions included.
    pub refused: usize,
}

/// Delay of each request to the cloud.
const LATENCY: Duration = Duration::from_millis(100);
/// Delay after which rentals and deletions of machines show in the machine list.
const LIST_LAG: Duration = Duration::from_secs(5);

impl SimulatedPlatform {
    /// Serves a controller's request to the cloud.
    pub(super) async fn serve_cloud(self: &Arc<Self>, path: &str, body: &[u8]) -> HttpResponse {
        sleep(LATENCY).await;
        match path.split('?').next().unwrap_or("") {
            "/machine_types" => self.list_machine_types(),
            "/rentals/delete" => {
                let names: Option<MachineNames> = serde_json::from_slice(body).ok();
                for name in names.iter().flat_map(|names| &names.machines) {
                    self.delete_machine(name);
                }
                HttpResponse::json(200, &json!({}))
            }
            "/rentals" if !body.is_empty() => self.rent(body),
            _ => {
                let machines = self.list_machines();
                let body = json!({ "rigs": machines, "truncated": false });
                HttpResponse::json(200, &body)
            }
        }
    }

    fn list_machine_types(&self) -> HttpResponse {
        let types = lock(&self.machine_types);
        let types = types.iter().map(|machine_type| {
            json!({
                "label": machine_type.label, "cpus": machine_type.cpus,
                "gpus": machine_type.gpus, "memoryGb": machine_type.memory_gb,
                "localGb": 100, "pullGbPerS": 1.0, "hourly": machine_type.hourly,
                "lowPrice": machine_type.spot_hourly, "startupS": 5, "yards": ZONES,
            })
        });
        let types: Vec<_> = types.collect();
        HttpResponse::json(200, &json!({ "builds": types }))
    }

    /// Serves a rental request. Repeating a fulfilled request returns the same machines;
    /// repeating a refused one tries again.
    fn rent(self: &Arc<Self>, body: &[u8]) -> HttpResponse {
        let Ok(request) = serde_json::from_slice::<RentRequest>(body) else {
            return HttpResponse::empty(400);
        };
        let known = lock(&self.machines_by_request)
            .get(&request.request)
            .cloned();
        let names = known.unwrap_or_else(|| self.start_machines(&request));
        if names.is_empty() {
            lock(&self.rental_counts).refused += 1;
            return HttpResponse::json(503, &json!({"error": "no capacity"}));
        }
        lock(&self.rental_counts).fulfilled += 1;
        lock(&self.machines_by_request).insert(request.request, names.clone());
        HttpResponse::json(200, &json!({ "rigs": names }))
    }

    /// Starts as many of the requested machines as the zone's limit allows, and returns their
    /// names.
    fn start_machines(self: &Arc<Self>, request: &RentRequest) -> Vec<String> {
        let mut workers = self.workers();
        let boot_time = *lock(&self.boot_time);
        let count = self
            .free_in_zone(&workers, &request.zone)
            .min(request.count as usize);
        let first = workers.len();
        for index in first..first + count {
            workers.push(self.new_worker(index, request, boot_time));
            if !self.is_active(Fault::BootsFail) {
                self.spawn_worker(index, boot_time);
            }
        }
        let started = workers[first..].iter();
        started.map(|worker| worker.name.clone()).collect()
    }

    /// Number of further machines that the zone's limit allows; `usize::MAX` without a limit.
    fn free_in_zone(&self, workers: &[Worker], zone: &str) -> usize {
        let existing = workers
            .iter()
            .filter(|worker| worker.zone == zone && !worker.deleted);
        let limit = lock(&self.zone_limits).get(zone).copied();
        limit.map_or(usize::MAX, |max| max.saturating_sub(existing.count()))
    }

    fn new_worker(&self, index: usize, request: &RentRequest, boot_time: Duration) -> Worker {
        Worker {
            name: format!("i-{index:06}"),
            zone: request.zone.clone(),
            machine_type: self.machine_type(&request.machine_type),
            spot: request.spot,
            reclaim_at: None,
            address: format!("10.9.{}.{}:9000", index / 250, index % 250),
            session: 1,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
            lease_renewed_at: Instant::now() + boot_time,
            deleted: false,
            rented_at: Instant::now(),
            deleted_at: None,
        }
    }

    /// The machine type with a label; the default type if the cloud doesn't offer it.
    fn machine_type(&self, label: &str) -> MachineType {
        let types = lock(&self.machine_types);
        let known = types.iter().find(|known| known.label == label);
        known.copied().unwrap_or(DEFAULT_MACHINE_TYPE)
    }

    /// Starts the worker of a machine after its boot time.
    fn spawn_worker(self: &Arc<Self>, index: usize, boot_time: Duration) {
        let platform = self.clone();
        let (lease, interval) = (self.worker_lease, self.heartbeat_interval);
        tokio::spawn(async move {
            sleep(boot_time).await;
            run_worker(platform, index, lease, interval).await;
        });
    }

    /// The machine list, in which rentals and deletions show after [`LIST_LAG`].
    fn list_machines(&self) -> Vec<serde_json::Value> {
        let workers = self.workers();
        let listed = workers.iter().filter(|worker| is_listed(worker));
        listed.map(|worker| self.list_entry(worker)).collect()
    }

    fn list_entry(&self, worker: &Worker) -> serde_json::Value {
        // A worker may take up to the duration of its lease from its start to its first
        // heartbeat. For that long, a booted machine without a heartbeat counts as starting.
        let booting = worker.lease_renewed_at > Instant::now();
        let starting =
            worker.sequence == 0 && worker.lease_renewed_at.elapsed() < self.worker_lease;
        let phase = if booting || starting {
            "starting"
        } else {
            "running"
        };
        let age = worker.rented_at.elapsed().saturating_sub(LIST_LAG);
        json!({"uid": worker.name, "address": worker.address,
            "build": worker.machine_type.label, "yard": worker.zone, "loaners": worker.spot,
            "stance": phase, "ageS": age.as_secs_f64()})
    }
}

/// Whether a machine existed [`LIST_LAG`] ago.
fn is_listed(worker: &Worker) -> bool {
    let deleted = worker.deleted_at.is_some_and(|at| at.elapsed() >= LIST_LAG);
    worker.rented_at.elapsed() >= LIST_LAG && !deleted
}
