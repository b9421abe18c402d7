//! A stand-in of the cloud: machine types, rentals up to a capacity, deletions and a late list.

use crate::http::{self, Reply, Request};
use crate::machine::{Kind, Machine};
use crate::world::World;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many machines of a type may be rented in a zone at a time.
#[derive(Clone)]
pub struct Capacity {
    pub build: String,
    pub yard: String,
    pub loaners: bool,
    pub count: usize,
    /// The rate at which these machines fetch images, as a multiple of the nominal one.
    pub pull_factor: f64,
}

struct Rig {
    kind: Kind,
    rented: Instant,
    address: String,
    deleted: Option<Instant>,
}

struct Shared {
    rigs: BTreeMap<String, Rig>,
    answers: HashMap<String, Value>,
    next: u64,
}

/// The cloud.
pub struct Cloud {
    world: Arc<World>,
    types: Value,
    capacity: Vec<Capacity>,
    boot: Duration,
    lag: Duration,
    shared: Mutex<Shared>,
}

impl Cloud {
    /// Starts a cloud at `127.0.0.1`, whose address it returns. The server needs the world, which
    /// needs the controllers' addresses, so the cloud is set later.
    pub fn serve(slot: Arc<std::sync::OnceLock<Arc<Cloud>>>) -> SocketAddr {
        http::serve(move |request| match slot.get() {
            Some(cloud) => cloud.handle(&request),
            None => Reply::Json(503, json!({"error": "trouble"})),
        })
    }

    pub fn new(
        world: Arc<World>,
        types: Value,
        capacity: Vec<Capacity>,
        boot: Duration,
        lag: Duration,
    ) -> Arc<Cloud> {
        let shared = Shared {
            rigs: BTreeMap::new(),
            answers: HashMap::new(),
            next: 1,
        };
        Arc::new(Cloud {
            world,
            types,
            capacity,
            boot,
            lag,
            shared: Mutex::new(shared),
        })
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => (200, json!({"builds": self.types})),
            ("GET", "/rentals") => (200, self.list(request)),
            ("POST", "/rentals") => self.rent(&request.json()),
            ("POST", "/rentals/delete") => (200, self.delete(&request.json())),
            _ => (400, json!({"error": "malformed"})),
        };
        Reply::Json(status, body)
    }

    fn rent(self: &Arc<Self>, body: &Value) -> (u16, Value) {
        let text = |name: &str| body[name].as_str().unwrap_or("").to_string();
        let (ask, build, yard) = (text("ask"), text("build"), text("yard"));
        let loaners = body["loaners"].as_bool().unwrap_or(false);
        let mut shared = self.shared.lock().unwrap();
        if let Some(answer) = shared.answers.get(&ask) {
            return (200, answer.clone());
        }
        let kind_of = |rig: &Rig| {
            rig.kind.build == build && rig.kind.yard == yard && rig.kind.loaners == loaners
        };
        let held = shared
            .rigs
            .values()
            .filter(|rig| rig.deleted.is_none() && kind_of(rig))
            .count();
        let capacity = self.capacity.iter().filter(|capacity| {
            capacity.build == build && capacity.yard == yard && capacity.loaners == loaners
        });
        let capacity: usize = capacity.map(|capacity| capacity.count).sum();
        let wanted = body["count"].as_u64().unwrap_or(0) as usize;
        let granted = wanted.min(capacity.saturating_sub(held));
        if granted == 0 {
            self.world.record.line(&format!("cloud refuses {body}"));
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..granted {
            let name = format!("i-{:06}", shared.next);
            shared.next += 1;
            let Some(kind) = self.kind(&build, &yard, loaners) else {
                return (400, json!({"error": "malformed"}));
            };
            let rig = Rig {
                kind: kind.clone(),
                rented: Instant::now(),
                address: String::new(),
                deleted: None,
            };
            shared.rigs.insert(name.clone(), rig);
            names.push(name.clone());
            let cloud = self.clone();
            thread::spawn(move || cloud.boot(name, kind));
        }
        self.world
            .record
            .line(&format!("cloud rents {names:?} for {body}"));
        let answer = json!({"rigs": names});
        shared.answers.insert(ask, answer.clone());
        (200, answer)
    }

    fn kind(&self, build: &str, yard: &str, loaners: bool) -> Option<Kind> {
        let found = self
            .types
            .as_array()?
            .iter()
            .find(|t| t["label"] == build)?;
        let mut capacity = self.capacity.iter();
        let of_kind = capacity.find(|capacity| capacity.build == build && capacity.yard == yard);
        let factor = of_kind.map_or(1.0, |capacity| capacity.pull_factor);
        let number = |name: &str| found[name].as_f64().unwrap_or(0.0);
        Some(Kind {
            build: build.to_string(),
            yard: yard.to_string(),
            loaners,
            cpus: number("cpus"),
            gpus: number("gpus"),
            memory_gb: number("memoryGb"),
            pull_gb_per_s: factor * number("pullGbPerS"),
        })
    }

    fn boot(&self, name: String, kind: Kind) {
        thread::sleep(self.boot);
        let mut shared = self.shared.lock().unwrap();
        let Some(rig) = shared
            .rigs
            .get_mut(&name)
            .filter(|rig| rig.deleted.is_none())
        else {
            return;
        };
        let machine = Machine::boot(self.world.clone(), name.clone(), kind);
        rig.address = machine.address();
        self.world.record.line(&format!("{name} is up"));
        self.world.add_machine(machine);
    }

    fn delete(&self, body: &Value) -> Value {
        let mut shared = self.shared.lock().unwrap();
        self.world.record.line(&format!("cloud deletes {body}"));
        for name in body["rigs"].as_array().into_iter().flatten() {
            let name = name.as_str().unwrap_or("");
            if let Some(rig) = shared.rigs.get_mut(name) {
                rig.deleted.get_or_insert(Instant::now());
            }
            if let Some(machine) = self.world.remove_machine(name) {
                machine.delete();
            }
        }
        json!({})
    }

    /// The list as it was one lag ago.
    fn list(&self, request: &Request) -> Value {
        let since = request.param("since").unwrap_or("");
        let shared = self.shared.lock().unwrap();
        let rigs = shared.rigs.iter().filter(|(name, rig)| {
            let is_gone = rig.deleted.is_some_and(|at| at.elapsed() > self.lag);
            name.as_str() > since && rig.rented.elapsed() > self.lag && !is_gone
        });
        let rigs: Vec<Value> = rigs
            .map(|(name, rig)| {
                let age_s = rig.rented.elapsed().as_secs_f64() - self.lag.as_secs_f64();
                let is_up = age_s > self.boot.as_secs_f64();
                json!({
                    "uid": name, "address": rig.address, "build": rig.kind.build,
                    "yard": rig.kind.yard, "loaners": rig.kind.loaners,
                    "stance": if is_up { "running" } else { "starting" }, "ageS": age_s,
                })
            })
            .collect();
        json!({"rigs": rigs, "truncated": false})
    }
}
