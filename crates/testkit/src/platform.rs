//! Everything around the controllers, and the network between them.

use crate::invariants::Rules;
use crate::store::Store;
use crate::worker::{Worker, live};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_clients::http::{Exchange, Transport, TransportResponse};
use rushwalk_clients::{Error, Method};
use rushwalk_protocol::cloud::{MachineNames, RentRequest};
use rushwalk_protocol::store::{LeaseRequest, Transaction};
use rushwalk_protocol::worker::{CommandBatch, Heartbeat};
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
    /// This machine reaches no controller; direct commands reach it.
    MuteMachine(usize),
    /// No message passes to or from this machine.
    CutMachine(usize),
    /// Nothing passes between this zone, by its place in `ZONES`, and the rest: its
    /// controller hears its workers only.
    CutZone(usize),
    /// Copies of all reports are kept, for `World::deliver_kept`.
    KeptReports,
}

/// The zones there are; controllers are spread over them in turn.
pub const ZONES: [&str; 3] = ["east", "west", "north"];

/// The cloud's list lags by this.
const LISTED_AFTER: Duration = Duration::from_secs(5);

/// A machine type.
#[derive(Debug, Clone, Copy)]
pub struct Build {
    pub label: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub hourly: f64,
    /// Its price as a spot machine, if it can be had so.
    pub spot: Option<f64>,
}

/// The one type there is if nothing else is said.
const BOX: Build = Build {
    label: "box",
    cpus: 16.0,
    gpus: 4.0,
    memory_gb: 64.0,
    hourly: 4.0,
    spot: None,
};

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
    /// Copies of reports, with `KeptReports`.
    kept: Mutex<Vec<Vec<u8>>>,
    builds: Mutex<Vec<Build>>,
    /// What happened, a line an event, for whoever compares two runs.
    history: Mutex<Option<Vec<String>>>,
    began: Instant,
    lease: Duration,
    report: Duration,
    boot: Mutex<Duration>,
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
            kept: Mutex::default(),
            builds: Mutex::new(vec![BOX]),
            history: Mutex::default(),
            began: Instant::now(),
            lease,
            report,
            boot: Mutex::new(Duration::from_secs(5)),
        })
    }

    /// A watch can begin from so many of the state service's changes back.
    pub fn keep_changes(&self, kept: usize) {
        lock(&self.store).kept = kept;
    }

    /// From now on machines come up so long after their rental.
    pub fn boots_in(&self, boot: Duration) {
        *lock(&self.boot) = boot;
    }

    /// Machines of this type can be rented, too.
    pub fn offer(&self, build: Build) {
        lock(&self.builds).push(build);
    }

    fn build(&self, label: &str) -> Build {
        let builds = lock(&self.builds);
        let known = builds.iter().find(|b| b.label == label);
        known.copied().unwrap_or(BOX)
    }

    /// From now on what happens is written down.
    pub fn record(&self) {
        lock(&self.history).get_or_insert_default();
    }

    /// What happened since `record`, a line an event.
    pub fn history(&self) -> Vec<String> {
        lock(&self.history).take().unwrap_or_default()
    }

    pub(crate) fn note(&self, what: impl FnOnce() -> String) {
        if let Some(lines) = &mut *lock(&self.history) {
            lines.push(format!("{:?} {}", self.began.elapsed(), what()));
        }
    }

    /// Copies of reports kept so far reach all controllers now.
    pub async fn deliver_kept(&self) {
        let kept = std::mem::take(&mut *lock(&self.kept));
        for copy in kept {
            for node in 0..self.nodes_len() {
                self.ask(node, "POST", "/agent/beat", copy.clone()).await;
            }
        }
    }

    /// The cloud takes a machine back, at once or with a notice.
    pub fn take(self: &Arc<Self>, index: usize, notice: Option<Duration>) {
        let after = notice.unwrap_or_default();
        let name = {
            let mut workers = self.workers();
            workers[index].recalled = notice.map(|s| Instant::now() + s);
            workers[index].name.clone()
        };
        let world = self.clone();
        tokio::spawn(async move {
            sleep(after).await;
            world.end(&name);
        });
    }

    /// Checks what time alone breaks.
    pub fn sweep(&self) {
        let workers = self.workers();
        let mut rules = self.rules();
        rules.sweep();
        let works = |(i, w): &(usize, &Worker)| {
            let troubled: [fn(usize) -> Fault; 4] = [
                Fault::Hung,
                Fault::MuteMachine,
                Fault::CutMachine,
                Fault::DeafMachine,
            ];
            // Up, and heard by somebody.
            let up = !w.dead && w.seq > 0 && w.recalled.is_none();
            up && !troubled.iter().any(|fault| self.has(fault(*i)))
        };
        let works = workers.iter().enumerate().filter(works);
        let rooms: Vec<_> = works.map(|(_, w)| w.room(&rules.jobs)).collect();
        rules.look_who_waits(&rooms);
    }

    /// Whether a controller's zone and another are apart.
    fn apart(&self, node: usize, zone: Option<&str>) -> bool {
        let own = node % ZONES.len();
        if zone == Some(ZONES[own]) {
            return false;
        }
        let other = zone.and_then(|zone| ZONES.iter().position(|z| *z == zone));
        self.has(Fault::CutZone(own)) || other.is_some_and(|z| self.has(Fault::CutZone(z)))
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
        let items = lock(&self.store).list(key, "").entries;
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
        let cut = self.apart(from, Some(ZONES[to % ZONES.len()]));
        let apart = cut || self.has(Fault::NoPeers(from)) || self.has(Fault::NoPeers(to));
        if self.has(Fault::Frozen(to)) || self.has(Fault::Deaf(from, to)) || apart {
            return None;
        }
        let door = lock(&self.mesh).get(to)?.clone();
        if self.has(Fault::PeersRefuse) || self.has(Fault::Dead(to)) || door.is_none() {
            return Some(Err(Error::ConnectionRefused));
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
        // Users belong to no zone.
        if self.apart(node, None) {
            return None;
        }
        self.note(|| format!("{node} {method} {path} {}", String::from_utf8_lossy(&body)));
        let answer = self.knock(node, method, path, body).await;
        self.note(|| {
            let told = answer.as_ref();
            let told = told.map(|(status, body)| (status, String::from_utf8_lossy(body)));
            format!("{node} {method} {path}: {told:?}")
        });
        answer
    }

    async fn knock(
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
    pub async fn beat(
        &self,
        index: usize,
        node: usize,
        report: &Heartbeat,
    ) -> Option<(u16, Vec<u8>)> {
        self.held(node).await;
        if self.has(Fault::MuteMachine(index)) {
            // It can't even open a connection.
            return None;
        }
        let cut = self.apart(node, Some(&report.zone)) || self.has(Fault::CutMachine(index));
        if cut || self.has(Fault::NoWorkers(node)) {
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
        if self.has(Fault::KeptReports) {
            lock(&self.kept).push(body.clone());
        }
        let answer = self.knock(node, "POST", "/agent/beat", body).await;
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
            worker.ended.get_or_insert_with(Instant::now);
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
                    let Some(changes) = changes else {
                        return (410, Vec::new());
                    };
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
                self.note(|| {
                    let body = String::from_utf8_lossy(body);
                    format!("{node} commits {body}: {result:?}")
                });
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
                text(json!({"builds": lock(&self.builds).iter().map(|b| json!({
                    "label": b.label, "cpus": b.cpus, "gpus": b.gpus, "memoryGb": b.memory_gb,
                    "localGb": 100, "pullGbPerS": 1.0, "hourly": b.hourly, "lowPrice": b.spot,
                    "startupS": 5, "yards": ZONES,
                })).collect::<Vec<_>>()})),
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
            _ => (
                200,
                text(json!({ "rigs": self.listed(), "truncated": false })),
            ),
        }
    }

    /// Machines as the cloud lists them, late.
    fn listed(&self) -> Vec<serde_json::Value> {
        let (workers, lease) = (self.workers(), self.lease);
        let shown = |w: &&Worker| {
            w.born.elapsed() >= LISTED_AFTER && w.ended.is_none_or(|at| at.elapsed() < LISTED_AFTER)
        };
        // After its start a worker has a lease's time to be heard.
        let starting =
            |w: &Worker| w.last > Instant::now() || w.seq == 0 && w.last.elapsed() < lease;
        let told = workers.iter().filter(shown).map(|w| {
            let stance = if starting(w) { "starting" } else { "running" };
            let age = w.born.elapsed().saturating_sub(LISTED_AFTER);
            json!({"uid": w.name, "address": w.address, "build": w.build.label, "yard": w.zone,
                "loaners": w.spot, "stance": stance, "ageS": age.as_secs_f64()})
        });
        told.collect()
    }

    fn boot(self: &Arc<Self>, request: &RentRequest) -> Vec<String> {
        let mut workers = self.workers();
        let mut names = Vec::new();
        let boot = *lock(&self.boot);
        let there = workers.iter().filter(|w| w.zone == request.zone && !w.dead);
        let room = lock(&self.room).get(&request.zone).copied();
        let room = room.map_or(usize::MAX, |all| all.saturating_sub(there.count()));
        for _ in 0..room.min(request.count as usize) {
            let index = workers.len();
            let name = format!("i-{index:06}");
            workers.push(Worker {
                name: name.clone(),
                zone: request.zone.clone(),
                build: self.build(&request.machine_type),
                spot: request.spot,
                recalled: None,
                address: format!("10.9.{}.{}:9000", index / 250, index % 250),
                session: 1,
                seq: 0,
                token: 0,
                tasks: Vec::new(),
                last: Instant::now() + boot,
                dead: false,
                born: Instant::now(),
                ended: None,
            });
            names.push(name);
            if self.has(Fault::NoBoots) {
                continue;
            }
            let (world, lease, report) = (self.clone(), self.lease, self.report);
            tokio::spawn(async move {
                sleep(boot).await;
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
        let (index, zone) = {
            let workers = self.workers();
            let index = workers.iter().position(|w| w.address == address)?;
            (index, workers[index].zone.clone())
        };
        let cut = self.apart(node, Some(&zone)) || self.has(Fault::CutMachine(index));
        if cut || self.has(Fault::DeafMachine(index)) {
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
                _ => worker.orders(self, &serde_json::from_slice::<CommandBatch>(body).ok()?),
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
            // The state service and the cloud belong to no zone.
            let outside = matches!(to.port(), 2379 | 8443);
            let answer = match to.port() {
                _ if outside && world.apart(node, None) => None,
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
                Ok(answer) => answer.map(|(status, body)| TransportResponse { status, body }),
                Err(_) => {
                    sleep(Duration::from_secs(60)).await;
                    Err(Error::Unanswered("no answer".into()))
                }
            }
        })
    }
}
