//! Everything around the controllers, and the network between them.

use crate::rules::Rules;
use crate::store::Store;
use crate::worker::{Worker, live};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_clients::http::{Exchange, Transport};
use rushwalk_clients::{Error, Method};
use rushwalk_wire::cloud::{MachineNames, RentRequest};
use rushwalk_wire::state::{LeaseRequest, Transaction};
use rushwalk_wire::worker::{DirectCommands, Report};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// A controller's public interface: path and body in, status and body out.
pub type Door = Arc<
    dyn Fn(String, String, Vec<u8>) -> Pin<Box<dyn Future<Output = (u16, Vec<u8>)> + Send>>
        + Send
        + Sync,
>;

/// What can be wrong between a controller and the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The controller is dead: it reaches nothing and nobody reaches it.
    Dead(usize),
    /// The state service refuses this controller.
    NoState(usize),
    /// Messages between this controller and workers are held, then delivered.
    HeldFromWorkers(usize),
    /// No message passes between this controller and workers, nor does any come late.
    NoWorkers(usize),
    /// Greetings from the first controller to the second are lost, one way.
    Deaf(usize, usize),
    /// Connections between controllers are refused.
    PeersRefuse,
    /// This controller stands still for the others: nothing it sends or is sent passes.
    Frozen(usize),
    /// Machines that are rented never come up.
    NoBoots,
    /// The state service is down for all.
    Outage,
    /// Some commits are carried out, but their answers are lost.
    LostAnswers,
    /// Some commits are carried out seconds after their sender gave up.
    LateCommits,
    /// A quarter of all commits get no answer and are carried out 2 to 12 s later.
    LateWrites,
    /// Of half of the reports a copy arrives again, seconds to over a lease later.
    LateReports,
    /// The state service takes most of a second for each answer.
    SlowState,
    /// No message passes between this controller and the others.
    NoPeers(usize),
    /// Reports of this machine arrive; answers and direct commands are lost.
    DeafMachine(usize),
    /// This machine stands still; what is sent to it is carried out when it goes on.
    Hung(usize),
}

pub struct World {
    store: Mutex<Store>,
    moved: Notify,
    workers: Mutex<Vec<Worker>>,
    rules: Mutex<Rules>,
    doors: Mutex<Vec<Option<(String, Door)>>>,
    /// What the controllers open to each other.
    mesh: Mutex<Vec<Option<Door>>>,
    faults: Mutex<HashSet<Fault>>,
    asked: Mutex<HashMap<String, Vec<String>>>,
    random: Mutex<SmallRng>,
    /// Machines that a zone has, where that is limited.
    room: Mutex<HashMap<String, usize>>,
    /// Rental requests that brought machines, and that brought none.
    rentals: Mutex<(usize, usize)>,
    /// When workers were asked for their reports at their own addresses.
    asked_at: Mutex<Vec<Instant>>,
    /// The next commits that hold such a text get no answer and come so much later.
    late: Mutex<Vec<(String, Duration)>>,
    lease: Duration,
    report: Duration,
    pub boot: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn text(value: serde_json::Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

impl World {
    pub fn new(nodes: usize, seed: u64, report: Duration, lease: Duration) -> Arc<World> {
        Arc::new(World {
            store: Mutex::default(),
            moved: Notify::new(),
            workers: Mutex::default(),
            rules: Mutex::default(),
            doors: Mutex::new(vec![None; nodes]),
            mesh: Mutex::new(vec![None; nodes]),
            faults: Mutex::default(),
            asked: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            room: Mutex::default(),
            rentals: Mutex::default(),
            asked_at: Mutex::default(),
            late: Mutex::default(),
            lease,
            report,
            boot: Duration::from_secs(5),
        })
    }

    /// Puts and deletions that the state service has taken so far.
    pub fn writes(&self) -> usize {
        lock(&self.store).writes
    }

    /// From now on a zone has so many machines at most.
    pub fn limit(&self, zone: &str, machines: usize) {
        lock(&self.room).insert(zone.into(), machines);
    }

    /// Rental requests so far that brought machines, and that brought none.
    pub fn rentals(&self) -> (usize, usize) {
        *lock(&self.rentals)
    }

    /// The most workers that were asked for their reports within a span of time.
    pub fn asked_within(&self, span: Duration) -> usize {
        let asked = lock(&self.asked_at);
        let within = |i: usize| asked.partition_point(|at| *at < asked[i] + span) - i;
        (0..asked.len()).map(within).max().unwrap_or(0)
    }

    /// The next commit that holds such a text gets no answer and is carried out so much
    /// later, after newer ones.
    pub fn next_late(&self, text: &str, after: Duration) {
        lock(&self.late).push((text.into(), after));
    }

    /// Whether a late commit is still to be met.
    pub fn none_late(&self) -> bool {
        lock(&self.late).is_empty()
    }

    fn late(&self, body: &[u8]) -> Option<Duration> {
        let mut late = lock(&self.late);
        let body = String::from_utf8_lossy(body);
        let i = late.iter().position(|(text, _)| body.contains(text))?;
        Some(late.remove(i).1)
    }

    /// Whether the state service holds a key.
    pub fn holds(&self, key: &str) -> bool {
        let items = lock(&self.store).list(key, "").items;
        items.iter().any(|item| item.key == key)
    }

    pub fn rules(&self) -> MutexGuard<'_, Rules> {
        lock(&self.rules)
    }

    pub fn workers(&self) -> MutexGuard<'_, Vec<Worker>> {
        lock(&self.workers)
    }

    pub fn open(&self, node: usize, name: &str, door: Door) {
        lock(&self.doors)[node] = Some((name.to_string(), door));
    }

    pub fn open_mesh(&self, node: usize, door: Door) {
        lock(&self.mesh)[node] = Some(door);
    }

    /// The address that a controller opens to the others.
    pub fn mesh_address(node: usize) -> String {
        format!("10.0.{}.{}:8081", node / 250, node % 250 + 1)
    }

    /// A message from one controller to another; `None` if nobody answers.
    async fn between(
        &self,
        from: usize,
        to: SocketAddr,
        path: String,
        body: Vec<u8>,
    ) -> Option<Result<(u16, Vec<u8>), Error>> {
        sleep(Duration::from_millis(1)).await;
        let std::net::IpAddr::V4(ip) = to.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        let to = usize::from(high) * 250 + usize::from(low) - 1;
        let apart = self.has(Fault::NoPeers(from)) || self.has(Fault::NoPeers(to));
        if self.has(Fault::Frozen(to)) || self.has(Fault::Deaf(from, to)) || apart {
            return None;
        }
        let door = lock(&self.mesh).get(to)?.clone();
        if self.has(Fault::PeersRefuse) || self.has(Fault::Dead(to)) || door.is_none() {
            return Some(Err(Error::Refused));
        }
        let answer = door?("POST".into(), path, body).await;
        let lost = self.has(Fault::Frozen(to)) || self.has(Fault::Deaf(to, from));
        (!lost).then_some(Ok(answer))
    }

    pub fn set(&self, fault: Fault) {
        lock(&self.faults).insert(fault);
    }

    pub fn clear(&self, fault: Fault) {
        lock(&self.faults).remove(&fault);
        if fault == Fault::Outage {
            lock(&self.store).refill();
        }
    }

    pub fn has(&self, fault: Fault) -> bool {
        lock(&self.faults).contains(&fault)
    }

    pub fn nodes_len(&self) -> usize {
        lock(&self.doors).len()
    }

    pub fn node_named(&self, name: &str) -> Option<usize> {
        let doors = lock(&self.doors);
        doors
            .iter()
            .position(|d| d.as_ref().is_some_and(|(n, _)| n == name))
    }

    fn chance(&self, one_in: u32) -> bool {
        lock(&self.random).random_range(0..one_in) == 0
    }

    fn between_ms(&self, least: u64, most: u64) -> u64 {
        lock(&self.random).random_range(least..most)
    }

    /// Whether the state service answers a controller.
    fn refuses(&self, node: usize) -> bool {
        self.has(Fault::Outage) || self.has(Fault::NoState(node))
    }

    /// A user's request to a controller; None if nobody answers.
    pub async fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(u16, Vec<u8>)> {
        if self.has(Fault::Dead(node)) || self.has(Fault::Frozen(node)) {
            return None;
        }
        let door = lock(&self.doors)[node].as_ref().map(|d| d.1.clone())?;
        Some(door(method.into(), path.into(), body).await)
    }

    /// A worker's report to a controller.
    pub async fn beat(&self, node: usize, report: &Report) -> Option<(u16, Vec<u8>)> {
        self.held(node).await;
        if self.has(Fault::NoWorkers(node)) {
            // Nobody answers; the worker gives up after 4 s.
            sleep(Duration::from_secs(4)).await;
            return None;
        }
        let body = serde_json::to_vec(report).ok()?;
        if self.has(Fault::LateReports) && self.chance(2) {
            let after = Duration::from_millis(self.between_ms(2_000, 60_000));
            let door = lock(&self.doors)[node].as_ref().map(|d| d.1.clone());
            let copy = body.clone();
            tokio::spawn(async move {
                sleep(after).await;
                if let Some(door) = door {
                    door("POST".into(), "/agent/beat".into(), copy).await;
                }
            });
        }
        let answer = self.ask(node, "POST", "/agent/beat", body).await;
        self.held(node).await;
        answer
    }

    /// Waits while messages between a controller and workers are held back.
    async fn held(&self, node: usize) {
        while self.has(Fault::HeldFromWorkers(node)) {
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Ends a machine: all on it is gone.
    pub fn end(&self, name: &str) {
        let mut workers = self.workers();
        for worker in workers.iter_mut().filter(|w| w.name == name) {
            worker.kill(self);
            worker.dead = true;
        }
    }

    async fn state(&self, node: usize, method: &Method, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        sleep(Duration::from_millis(5)).await;
        if self.has(Fault::SlowState) {
            sleep(Duration::from_millis(self.between_ms(400, 900))).await;
        }
        if self.refuses(node) {
            return (503, Vec::new());
        }
        lock(&self.store).expire();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let get = |name: &str| query.get(name).copied().unwrap_or("");
        match (method.as_str(), path) {
            ("GET", "/store") => {
                let items = lock(&self.store).list(get("under"), get("since"));
                (200, serde_json::to_vec(&items).unwrap_or_default())
            }
            ("GET", "/changes") => {
                let since = get("since").parse().unwrap_or(0);
                let until =
                    Instant::now() + Duration::from_millis(get("blockMs").parse().unwrap_or(0));
                loop {
                    // Open watches stay open.
                    while self.refuses(node) {
                        sleep(Duration::from_millis(100)).await;
                    }
                    lock(&self.store).expire();
                    let changes = lock(&self.store).changes(get("under"), since);
                    if !changes.events.is_empty() || Instant::now() >= until {
                        return (200, serde_json::to_vec(&changes).unwrap_or_default());
                    }
                    let step = Duration::from_millis(100);
                    let _ = tokio::time::timeout(step, self.moved.notified()).await;
                }
            }
            ("POST", "/commit") => {
                let Ok(txn) = serde_json::from_slice::<Transaction>(body) else {
                    return (400, Vec::new());
                };
                let some = self.has(Fault::LateCommits) && self.chance(12)
                    || self.has(Fault::LateWrites) && self.chance(4);
                let drawn = Duration::from_millis(self.between_ms(2_000, 12_000));
                let late = self.late(body).or(some.then_some(drawn));
                if let Some(after) = late {
                    sleep(after).await;
                    // It is late, not refused: an outage only delays it.
                    while self.has(Fault::Outage) {
                        sleep(Duration::from_millis(100)).await;
                    }
                    lock(&self.store).expire();
                }
                let result = lock(&self.store).commit(&txn);
                self.moved.notify_waiters();
                if late.is_some() || self.has(Fault::LostAnswers) && self.chance(8) {
                    sleep(Duration::from_secs(60)).await;
                }
                match result {
                    Ok(revision) => (200, text(json!({ "ledger": revision }))),
                    Err(400) => (400, text(json!({ "error": "no such lease" }))),
                    Err(status) => (status, text(json!({"failed": [], "ledger": 0}))),
                }
            }
            ("POST", "/leases") => {
                let Ok(request) = serde_json::from_slice::<LeaseRequest>(body) else {
                    return (400, Vec::new());
                };
                let id = lock(&self.store).lease(Duration::from_millis(request.ttl_ms));
                (200, text(json!({ "tenure": id })))
            }
            ("POST", path) => {
                let id = path.trim_start_matches("/leases/");
                let id = id.trim_end_matches("/touch").parse().unwrap_or(0);
                match lock(&self.store).touch(id) {
                    true => (200, b"{}".to_vec()),
                    false => (404, Vec::new()),
                }
            }
            _ => (404, Vec::new()),
        }
    }

    async fn cloud(self: Arc<Self>, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        sleep(Duration::from_millis(100)).await;
        match path.split('?').next().unwrap_or("") {
            "/machine_types" => (
                200,
                text(
                    json!({"builds":[{"label":"box","cpus":16,"gpus":4,"memoryGb":64,
                    "localGb":100,"pullGbPerS":1.0,"hourly":4.0,"startupS":5,
                    "yards":["east","west","north"]}]}),
                ),
            ),
            "/rentals/delete" => {
                let names: Option<MachineNames> = serde_json::from_slice(body).ok();
                for name in names.iter().flat_map(|n| &n.machines) {
                    self.end(name);
                }
                (200, b"{}".to_vec())
            }
            "/rentals" if !body.is_empty() => {
                let Ok(request) = serde_json::from_slice::<RentRequest>(body) else {
                    return (400, Vec::new());
                };
                let known = lock(&self.asked).get(&request.request).cloned();
                let names = known.unwrap_or_else(|| self.boot(&request));
                {
                    let mut rentals = lock(&self.rentals);
                    rentals.0 += usize::from(!names.is_empty());
                    rentals.1 += usize::from(names.is_empty());
                }
                if names.is_empty() {
                    return (503, text(json!({"error": "no capacity"})));
                }
                lock(&self.asked).insert(request.request, names.clone());
                (200, text(json!({ "rigs": names })))
            }
            _ => (200, text(json!({"rigs": [], "truncated": false}))),
        }
    }

    fn boot(self: &Arc<Self>, request: &RentRequest) -> Vec<String> {
        let mut workers = self.workers();
        let mut names = Vec::new();
        let there = workers.iter().filter(|w| w.zone == request.zone && !w.dead);
        let room = lock(&self.room).get(&request.zone).copied();
        let room = room.map_or(usize::MAX, |all| all.saturating_sub(there.count()));
        for _ in 0..room.min(request.count as usize) {
            let index = workers.len();
            let name = format!("i-{index:06}");
            workers.push(Worker {
                name: name.clone(),
                zone: request.zone.clone(),
                address: format!("10.9.{}.{}:9000", index / 250, index % 250),
                session: 1,
                seq: 0,
                token: 0,
                tasks: Vec::new(),
                last: Instant::now() + self.boot,
                dead: false,
            });
            names.push(name);
            if self.has(Fault::NoBoots) {
                continue;
            }
            let (world, lease, report) = (self.clone(), self.lease, self.report);
            tokio::spawn(async move {
                sleep(world.boot).await;
                live(world, index, lease, report).await;
            });
        }
        names
    }

    async fn direct(
        &self,
        node: usize,
        to: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        sleep(Duration::from_millis(2)).await;
        if path == "/status" {
            lock(&self.asked_at).push(Instant::now());
        }
        self.held(node).await;
        if self.has(Fault::NoWorkers(node)) {
            return None;
        }
        let address = to.to_string();
        let index = self.workers().iter().position(|w| w.address == address)?;
        if self.has(Fault::DeafMachine(index)) {
            return None;
        }
        while self.has(Fault::Hung(index)) {
            sleep(Duration::from_millis(50)).await;
        }
        let (status, report) = {
            let mut workers = self.workers();
            let worker = workers.get_mut(index).filter(|w| !w.dead)?;
            worker.pass(self, self.lease);
            match path {
                "/status" => (200, worker.report()),
                _ => worker.orders(self, &serde_json::from_slice::<DirectCommands>(body).ok()?),
            }
        };
        self.held(node).await;
        Some((status, serde_json::to_vec(&report).ok()?))
    }
}

/// A controller's way out into the world.
pub struct Link {
    pub world: Arc<World>,
    pub node: usize,
    /// False once the process has ended, also if another runs in its place.
    pub alive: Arc<AtomicBool>,
}

impl Transport for Link {
    fn call(&self, to: SocketAddr, method: Method, path: String, body: Vec<u8>) -> Exchange {
        let (world, node, alive) = (self.world.clone(), self.node, self.alive.clone());
        // A request goes on when its sender gives up: it may be carried out late.
        let (tell, told) = tokio::sync::oneshot::channel();
        tokio::spawn(async move {
            if !alive.load(Ordering::Relaxed) || world.has(Fault::Frozen(node)) {
                return;
            }
            let answer = match to.port() {
                2379 => Some(Ok(world.state(node, &method, &path, &body).await)),
                8443 => Some(Ok(world.clone().cloud(&path, &body).await)),
                9000 => world.direct(node, to, &path, &body).await.map(Ok),
                8081 => world.between(node, to, path, body).await,
                _ => None,
            };
            if let Some(answer) = answer
                && alive.load(Ordering::Relaxed)
                && !world.has(Fault::Frozen(node))
            {
                let _ = tell.send(answer);
            }
        });
        Box::pin(async move {
            match told.await {
                Ok(answer) => answer,
                Err(_) => {
                    sleep(Duration::from_secs(60)).await;
                    Err(Error::Unknown("no answer".into()))
                }
            }
        })
    }
}
