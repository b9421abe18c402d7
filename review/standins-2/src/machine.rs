//! A stand-in of a worker: it reports to the controllers, keeps a lease, and runs tasks. A fetch is
//! given up with its task. Tasks of gangs save no progress.

use crate::http::{self, Reply, Request};
use crate::world::{GangPhase, World};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// `gang_wait_s` of the settings.
const GANG_WAIT: Duration = Duration::from_secs(45);
const TICK: Duration = Duration::from_millis(20);

/// What a machine is, as the cloud has rented it.
#[derive(Clone)]
pub struct Kind {
    pub build: String,
    pub yard: String,
    pub loaners: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stance {
    Fetching,
    Gathering,
    Running,
    Saving,
    Ended,
}

struct Piece {
    stance: Stance,
    cause: &'static str,
    stored: bool,
    /// When the stance ends by itself; `None` for a service that runs.
    until: Option<Instant>,
    needs: [f64; 3],
}

type PieceKey = (String, u64);

struct Worker {
    stint: u64,
    tally: u64,
    baton: u64,
    pieces: BTreeMap<PieceKey, Piece>,
    images: Vec<String>,
    lease_from: Instant,
    changed: bool,
    baton_reported: Option<Instant>,
}

/// A machine that is up.
pub struct Machine {
    pub rig: String,
    pub kind: Kind,
    world: Arc<World>,
    worker: Mutex<Worker>,
    gone: AtomicBool,
    address: OnceLock<SocketAddr>,
}

impl Machine {
    /// Boots a machine: its worker begins to report.
    pub fn boot(world: Arc<World>, rig: String, kind: Kind) -> Arc<Machine> {
        let worker = Worker {
            stint: 1,
            tally: 0,
            baton: 0,
            pieces: BTreeMap::new(),
            images: Vec::new(),
            lease_from: Instant::now(),
            changed: true,
            baton_reported: None,
        };
        let machine = Arc::new(Machine {
            rig,
            kind,
            world,
            worker: Mutex::new(worker),
            gone: AtomicBool::new(false),
            address: OnceLock::new(),
        });
        let server = machine.clone();
        let address = http::serve(move |request| server.handle(&request));
        let _ = machine.address.set(address);
        let (ticks, reports) = (machine.clone(), machine.clone());
        thread::spawn(move || ticks.run_tasks());
        thread::spawn(move || reports.report_loop());
        machine
    }

    /// The machine and everything on it is gone.
    pub fn delete(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let mut worker = self.worker.lock().unwrap();
        self.kill_all(&mut worker, "machine gone");
    }

    /// `IP:port` of the worker.
    pub fn address(&self) -> String {
        self.address
            .get()
            .map(SocketAddr::to_string)
            .unwrap_or_default()
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// CPUs, GPUs and memory that no task on the machine occupies.
    pub fn free(&self) -> [f64; 3] {
        self.free_of(&self.worker.lock().unwrap())
    }

    fn free_of(&self, worker: &Worker) -> [f64; 3] {
        let mut free = [self.kind.cpus, self.kind.gpus, self.kind.memory_gb];
        for piece in worker
            .pieces
            .values()
            .filter(|piece| piece.stance != Stance::Ended)
        {
            for (free, need) in free.iter_mut().zip(piece.needs) {
                *free -= need;
            }
        }
        free
    }

    fn handle(&self, request: &Request) -> Reply {
        let mut worker = self.worker.lock().unwrap();
        if self.is_gone() {
            return Reply::Silence;
        }
        if request.path == "/status" {
            return Reply::Json(200, self.report(&mut worker));
        }
        let body = request.json();
        let (Some(baton), Some(stint)) = (body["baton"].as_u64(), body["stint"].as_u64()) else {
            return Reply::Json(400, json!({"error": "malformed"}));
        };
        if baton < worker.baton || stint != worker.stint {
            self.world
                .record
                .line(&format!("{} refuses {body}", self.rig));
            return Reply::Json(409, self.report(&mut worker));
        }
        self.see(&mut worker, baton);
        self.execute(&mut worker, &body["orders"]);
        Reply::Json(200, self.report(&mut worker))
    }

    fn see(&self, worker: &mut Worker, baton: u64) {
        if baton > worker.baton {
            worker.baton = baton;
            let half = Duration::from_secs_f64(self.world.lease_s / 2.0);
            if worker.baton_reported.is_none_or(|at| at.elapsed() > half) {
                worker.baton_reported = Some(Instant::now());
                worker.changed = true;
            }
        }
    }

    fn report(&self, worker: &mut Worker) -> Value {
        worker.tally += 1;
        let pieces = worker.pieces.iter().map(|((piece, attempt), state)| {
            let stance = match state.stance {
                Stance::Fetching => "fetching",
                Stance::Gathering => "gathering",
                Stance::Running => "running",
                Stance::Saving => "saving",
                Stance::Ended => "ended",
            };
            let mut entry = json!({"piece": piece, "try": attempt, "stance": stance});
            if state.stance == Stance::Ended {
                entry["cause"] = json!(state.cause);
                if state.stored {
                    entry["stored"] = json!(true);
                }
            }
            entry
        });
        let pieces: Vec<Value> = pieces.collect();
        json!({
            "rig": self.rig, "address": self.address(), "build": self.kind.build,
            "yard": self.kind.yard, "loaners": self.kind.loaners, "stint": worker.stint,
            "tally": worker.tally, "baton": worker.baton, "recallS": null, "pieces": pieces,
        })
    }

    fn execute(&self, worker: &mut Worker, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let (Some(piece), Some(attempt)) = (order["piece"].as_str(), order["try"].as_u64())
            else {
                continue;
            };
            self.world
                .record
                .line(&format!("{} gets {order}", self.rig));
            let key = (piece.to_string(), attempt);
            match order["verb"].as_str() {
                Some("run") => self.run(worker, key),
                Some("stop") => self.stop(worker, &key, order["leewayS"].as_f64().unwrap_or(0.0)),
                Some("forget") if self.has_ended(worker, &key) => {
                    worker.pieces.remove(&key);
                    worker.changed = true;
                }
                _ => {}
            }
        }
    }

    fn has_ended(&self, worker: &Worker, key: &PieceKey) -> bool {
        let piece = worker.pieces.get(key);
        piece.is_some_and(|piece| piece.stance == Stance::Ended)
    }

    fn run(&self, worker: &mut Worker, key: PieceKey) {
        if worker.pieces.contains_key(&key) {
            return;
        }
        worker.changed = true;
        let refused = |cause| Piece {
            stance: Stance::Ended,
            cause,
            stored: false,
            until: None,
            needs: [0.0; 3],
        };
        let Some(spec) = self.world.spec_of_piece(&key.0) else {
            worker.pieces.insert(key, refused("unknown"));
            return;
        };
        let is_busy = worker
            .pieces
            .iter()
            .any(|((piece, _), state)| *piece == key.0 && state.stance != Stance::Ended);
        if is_busy {
            worker.pieces.insert(key, refused("busy"));
            return;
        }
        let amount = |name: &str| spec[name].as_f64().unwrap_or(0.0);
        let needs = [amount("cpus"), amount("gpus"), amount("memoryGb")];
        let free = self.free_of(worker);
        if free
            .iter()
            .zip(needs)
            .any(|(free, need)| need > free + 1e-6)
        {
            worker.pieces.insert(key, refused("full"));
            return;
        }
        let image = spec["kit"].as_str().unwrap_or("").to_string();
        let fetch_s = if worker.images.contains(&image) {
            0.0
        } else {
            amount("sizeGb") / self.kind.pull_gb_per_s
        };
        let until = Some(Instant::now() + Duration::from_secs_f64(fetch_s));
        let piece = Piece {
            stance: Stance::Fetching,
            cause: "",
            stored: false,
            until,
            needs,
        };
        worker.pieces.insert(key, piece);
    }

    fn stop(&self, worker: &mut Worker, key: &PieceKey, leeway_s: f64) {
        let Some(piece) = worker.pieces.get_mut(key) else {
            return;
        };
        let spec = self.world.spec_of_piece(&key.0).unwrap_or(Value::Null);
        let save_s = spec["stashS"].as_f64().unwrap_or(0.0);
        let saves = spec["waypointS"].as_f64().is_some_and(|s| s > 0.0) && leeway_s >= save_s;
        match piece.stance {
            Stance::Ended => {}
            Stance::Running if saves => {
                piece.stance = Stance::Saving;
                piece.until = Some(Instant::now() + Duration::from_secs_f64(save_s));
            }
            Stance::Saving if leeway_s > 0.0 => {}
            _ => self.end(piece, key, "stopped"),
        }
        worker.changed = true;
    }

    fn end(&self, piece: &mut Piece, key: &PieceKey, cause: &'static str) {
        if !matches!(piece.stance, Stance::Fetching | Stance::Ended) {
            self.world.gang_left(key, cause == "done");
            self.world.piece_ended(&key.0, &self.rig, cause);
        }
        piece.stance = Stance::Ended;
        piece.cause = cause;
    }

    fn kill_all(&self, worker: &mut Worker, why: &'static str) {
        let mut pieces = std::mem::take(&mut worker.pieces);
        for (key, piece) in &mut pieces {
            if piece.stance != Stance::Ended {
                self.end(piece, key, why);
            }
        }
    }

    /// Lets tasks start and end, and ends all of them with the lease.
    fn run_tasks(&self) {
        while !self.is_gone() {
            thread::sleep(TICK);
            let mut worker = self.worker.lock().unwrap();
            if worker.lease_from.elapsed().as_secs_f64() > self.world.lease_s {
                self.world
                    .record
                    .line(&format!("{} lease expired", self.rig));
                self.kill_all(&mut worker, "lease expired");
                worker.stint += 1;
                worker.lease_from = Instant::now();
                worker.changed = true;
            }
            self.advance(&mut worker);
        }
    }

    fn advance(&self, worker: &mut Worker) {
        let now = Instant::now();
        let mut images = Vec::new();
        let mut changed = false;
        for (key, piece) in &mut worker.pieces {
            if piece.stance == Stance::Ended || piece.until.is_none_or(|until| until > now) {
                continue;
            }
            changed = true;
            match piece.stance {
                Stance::Fetching => {
                    let spec = self.world.spec_of_piece(&key.0).unwrap_or(Value::Null);
                    images.push(spec["kit"].as_str().unwrap_or("").to_string());
                    self.world.piece_started(&key.0, self);
                    if spec["shape"] == "gang" {
                        piece.stance = Stance::Gathering;
                        piece.until = Some(now + GANG_WAIT);
                        self.world
                            .gang_joined(key, spec["pieces"].as_u64().unwrap_or(1));
                        continue;
                    }
                    piece.stance = Stance::Running;
                    let run_s = self.world.run_s(&key.0);
                    piece.until = run_s.map(|s| now + Duration::from_secs_f64(s));
                    if self.world.fails(&key.0, &self.rig) {
                        self.end(piece, key, "error");
                    }
                }
                Stance::Gathering => self.end(piece, key, "alone"),
                Stance::Saving => {
                    piece.stored = true;
                    self.end(piece, key, "stopped");
                }
                _ => self.end(piece, key, "done"),
            }
        }
        for (key, piece) in &mut worker.pieces {
            changed |= self.follow_gang(key, piece);
        }
        worker.images.extend(images);
        worker.changed |= changed;
    }

    /// Starts or ends a task with the others of its gang. Returns whether it did.
    fn follow_gang(&self, key: &PieceKey, piece: &mut Piece) -> bool {
        match (piece.stance, self.world.gang_phase(key)) {
            (Stance::Gathering, GangPhase::Runs) => {
                piece.stance = Stance::Running;
                let run_s = self.world.run_s(&key.0);
                piece.until = run_s.map(|s| Instant::now() + Duration::from_secs_f64(s));
                true
            }
            (Stance::Running, GangPhase::Done) => {
                self.end(piece, key, "done");
                true
            }
            (Stance::Running, GangPhase::Broken) => {
                self.end(piece, key, "peers");
                true
            }
            _ => false,
        }
    }

    /// Reports to one controller at a time.
    fn report_loop(&self) {
        let mut node = self.world.first_node(&self.rig);
        let mut rest = Duration::ZERO;
        while !self.is_gone() {
            self.pause(rest);
            let sent = Instant::now();
            let (report, stint) = {
                let mut worker = self.worker.lock().unwrap();
                worker.changed = false;
                (self.report(&mut worker), worker.stint)
            };
            let to = self.world.node_address(node);
            let answer = http::call(to, "POST", "/agent/beat", Some(&report), ANSWER_LIMIT);
            rest = match answer {
                Some((200, body)) => {
                    self.take_answer(&body, sent, stint);
                    let spread = 0.75 + 0.5 * self.world.random();
                    Duration::from_secs_f64(self.world.report_s * spread)
                }
                Some((421, body)) => {
                    let named = body["steward"].as_str();
                    let named = named.and_then(|name| self.world.node_named(name));
                    let moved = named.is_some_and(|named| named != node);
                    node = named
                        .filter(|_| moved)
                        .unwrap_or(self.world.next_node(node));
                    Duration::from_millis(if moved { 200 } else { 1000 })
                }
                _ => {
                    node = self.world.next_node(node);
                    Duration::from_secs(1)
                }
            };
        }
    }

    /// Waits until the next report is due, or something has changed.
    fn pause(&self, rest: Duration) {
        let began = Instant::now();
        while began.elapsed() < rest && !self.is_gone() {
            thread::sleep(TICK);
            if began.elapsed() >= MIN_PAUSE && self.worker.lock().unwrap().changed {
                return;
            }
        }
    }

    fn take_answer(&self, body: &Value, sent: Instant, stint: u64) {
        let mut worker = self.worker.lock().unwrap();
        let baton = body["baton"].as_u64().unwrap_or(0);
        if baton < worker.baton || baton == 0 || stint != worker.stint || self.is_gone() {
            return;
        }
        worker.lease_from = sent;
        self.see(&mut worker, baton);
        self.execute(&mut worker, &body["orders"]);
    }
}
