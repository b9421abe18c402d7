//! A stand-in of the state service: keys, leases, transactions and watches, with the limits of
//! the protocol page.

use crate::http::{self, Reply, Request};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;
const PAGE_BYTES: usize = 512 << 10;

/// The limits in the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
}

struct Entry {
    value: Value,
    stamp: u64,
    tenure: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

/// A token bucket that holds one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let refilled = self.tokens + (now - self.at).as_secs_f64() * self.rate;
        self.tokens = refilled.min(self.rate);
        self.at = now;
        let granted = self.tokens >= amount;
        if granted {
            self.tokens -= amount;
        }
        granted
    }
}

struct Store {
    ledger: u64,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    changes: VecDeque<(u64, Value)>,
    dropped_to: u64,
    requests: Bucket,
    writes: Bucket,
}

/// The state service.
#[derive(Clone)]
pub struct StateService {
    shared: Arc<(Mutex<Store>, Condvar)>,
}

impl StateService {
    /// Starts the service, and returns its address.
    pub fn start(limits: Limits) -> SocketAddr {
        let store = Store {
            ledger: 1,
            entries: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 1,
            changes: VecDeque::new(),
            dropped_to: 1,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let service = StateService {
            shared: Arc::new((Mutex::new(store), Condvar::new())),
        };
        let expiry = service.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiry.expire_leases();
            }
        });
        http::serve(move |request| service.handle(&request))
    }

    fn expire_leases(&self) {
        let mut store = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended = store.leases.iter().filter(|(_, lease)| lease.ends < now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            store.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let mut store = self.shared.0.lock().unwrap();
        if !store.requests.take(1.0) {
            return Reply::Json(429, json!({"error": "too many requests"}));
        }
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/commit") => store.commit(&request.json()),
            ("POST", "/leases") => store.grant(&request.json()),
            ("GET", "/store") => store.list(request),
            ("GET", "/changes") => {
                drop(store);
                return self.watch(request);
            }
            ("POST", path) => store.touch(path),
            ("GET", path) => store.get(path.trim_start_matches("/store/")),
            ("DELETE", path) => store.delete_lease(path),
            _ => (400, json!({"error": "malformed"})),
        };
        drop(store);
        self.shared.1.notify_all();
        Reply::Json(status, body)
    }

    fn watch(&self, request: &Request) -> Reply {
        let number = |name: &str| {
            request
                .param(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let (since, block) = (number("since").unwrap_or(0), number("blockMs").unwrap_or(0));
        let prefix = request.param("under").unwrap_or("").to_string();
        let deadline = Instant::now() + Duration::from_millis(block);
        let mut store = self.shared.0.lock().unwrap();
        loop {
            if since < store.dropped_to {
                return Reply::Json(410, json!({"error": "too old"}));
            }
            let events = store.events_after(since, &prefix);
            let is_over = Instant::now() >= deadline;
            if !events.is_empty() || is_over {
                return Reply::Json(200, json!({"ledger": store.ledger, "events": events}));
            }
            let pause = Duration::from_millis(50);
            store = self.shared.1.wait_timeout(store, pause).unwrap().0;
        }
    }
}

impl Store {
    fn events_after(&self, since: u64, prefix: &str) -> Vec<Value> {
        let newer = self
            .changes
            .iter()
            .rev()
            .take_while(|(stamp, _)| *stamp > since);
        let mut events: Vec<Value> = newer
            .map(|(_, event)| event)
            .filter(|event| {
                let key = event["write"].as_str().or(event["drop"].as_str());
                key.is_some_and(|key| key.starts_with(prefix))
            })
            .cloned()
            .collect();
        events.reverse();
        events
    }

    fn record(&mut self, event: Value) {
        self.changes.push_back((self.ledger, event));
        while self.changes.len() > KEPT_CHANGES {
            if let Some((stamp, _)) = self.changes.pop_front() {
                self.dropped_to = stamp;
            }
        }
    }

    fn put(&mut self, key: &str, value: Value, tenure: Option<u64>) {
        let stamp = self.ledger;
        self.record(json!({"write": key, "v": value, "stamp": stamp}));
        self.entries.insert(
            key.to_string(),
            Entry {
                value,
                stamp,
                tenure,
            },
        );
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let stamp = self.ledger;
            self.record(json!({"drop": key, "stamp": stamp}));
        }
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let conditions = body["when"].as_array().unwrap_or(&none);
        let writes = body["writes"].as_array().unwrap_or(&none);
        if !self.writes.take(writes.len() as f64) {
            return (429, json!({"error": "too many writes"}));
        }
        let is_stale = |write: &&Value| {
            let tenure = write["tenure"].as_u64();
            tenure.is_some_and(|id| !self.leases.contains_key(&id))
        };
        if writes.iter().find(is_stale).is_some() {
            return (400, json!({"error": "no such lease"}));
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["key"].as_str()?;
                let stamp = self.entries.get(key).map_or(0, |entry| entry.stamp);
                (condition["stamp"].as_u64() != Some(stamp)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.ledger}));
        }
        if !writes.is_empty() {
            self.ledger += 1;
        }
        for write in writes {
            if let Some(key) = write["write"].as_str() {
                self.put(key, write["v"].clone(), write["tenure"].as_u64());
            } else if let Some(key) = write["drop"].as_str() {
                self.remove(key);
            }
        }
        (200, json!({"ledger": self.ledger}))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let Some(life) = body["lifeMs"].as_u64().map(Duration::from_millis) else {
            return (400, json!({"error": "malformed"}));
        };
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(
            id,
            Lease {
                life,
                ends: Instant::now() + life,
            },
        );
        (200, json!({"tenure": id}))
    }

    fn touch(&mut self, path: &str) -> (u16, Value) {
        let id = path
            .trim_start_matches("/leases/")
            .trim_end_matches("/touch");
        let lease = id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
        match lease {
            Some(lease) => {
                lease.ends = Instant::now() + lease.life;
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }

    fn delete_lease(&mut self, path: &str) -> (u16, Value) {
        if let Ok(id) = path.trim_start_matches("/leases/").parse() {
            self.end_lease(id);
        }
        (200, json!({}))
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.tenure == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.ledger += 1;
        }
        for key in attached {
            self.remove(&key);
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.entries.get(key) {
            Some(entry) => (
                200,
                json!({"key": key, "v": entry.value, "stamp": entry.stamp}),
            ),
            None => (404, json!({"ledger": self.ledger})),
        }
    }

    fn list(&self, request: &Request) -> (u16, Value) {
        let prefix = request.param("under").unwrap_or("");
        let since = request.param("since").unwrap_or("");
        let limit = request.param("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(1000).min(1000);
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (key, entry) in &self.entries {
            if !key.starts_with(prefix) || key.as_str() <= since {
                continue;
            }
            let item = json!({"key": key, "v": entry.value, "stamp": entry.stamp});
            bytes += item.to_string().len();
            if entries.len() >= limit || bytes > PAGE_BYTES {
                truncated = true;
                break;
            }
            entries.push(item);
        }
        (
            200,
            json!({"entries": entries, "truncated": truncated, "ledger": self.ledger}),
        )
    }
}
