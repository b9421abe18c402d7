//! Stand-in of the state service, as PROTOCOL's page describes it.

use crate::http::{Reply, Request};
use crate::json::{quote, Json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use std::{thread, time};

/// How many of the last changes are kept.
const KEPT_CHANGES: usize = 10_000;
/// Limits of a page of a listing.
const PAGE_ITEMS: usize = 1000;
const PAGE_BYTES: usize = 512 << 10;
/// The limit of a transaction.
const TRANSACTION_BYTES: usize = 64 << 10;
const LATENCY: Duration = Duration::from_millis(4);

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: String,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

struct Change {
    key: String,
    /// `None`: the key was removed.
    value: Option<String>,
    stamp: u64,
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
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.at = now;
        let granted = self.tokens >= amount;
        if granted {
            self.tokens -= amount;
        }
        granted
    }
}

#[derive(Default)]
struct Data {
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    leases: HashMap<u64, Lease>,
    ledger: u64,
    dropped: u64,
    last_lease: u64,
    /// Controllers (by their port) that get 503.
    refused: Vec<bool>,
}

pub struct State {
    limits: Limits,
    data: Mutex<Data>,
    changed: Condvar,
    requests: Mutex<Bucket>,
    writes: Mutex<Bucket>,
}

impl State {
    pub fn new(limits: Limits, controllers: usize) -> Arc<State> {
        let state = Arc::new(State {
            requests: Mutex::new(Bucket::new(limits.rps)),
            writes: Mutex::new(Bucket::new(limits.write_rps)),
            limits,
            data: Mutex::new(Data {
                refused: vec![false; controllers],
                ..Data::default()
            }),
            changed: Condvar::new(),
        });
        let expiring = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(25));
            expiring.expire();
        });
        state
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap()
    }

    /// Refuses one controller (503), or serves it again.
    pub fn refuse(&self, controller: usize, refused: bool) {
        self.data().refused[controller] = refused;
    }

    /// The value of a key, as the service returns it.
    pub fn value(&self, key: &str) -> Option<Json> {
        Json::parse(&self.data().entries.get(key)?.value)
    }

    pub fn ledger(&self) -> u64 {
        self.data().ledger
    }

    fn expire(&self) {
        let mut data = self.data();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(&mut data, id);
        }
    }

    fn end_lease(&self, data: &mut Data, id: u64) {
        data.leases.remove(&id);
        let attached: Vec<String> = data
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            data.ledger += 1;
            data.entries.remove(&key);
            push_change(data, key, None);
        }
        self.changed.notify_all();
    }

    /// Answers a request of the controller with this index.
    pub fn handle(&self, controller: usize, request: &Request) -> Option<Reply> {
        thread::sleep(LATENCY);
        if self.data().refused[controller] {
            return Some((503, r#"{"error":"trouble"}"#.into()));
        }
        if !self.requests.lock().unwrap().take(1.0) {
            return Some((429, "{}".into()));
        }
        let path = request.path.as_str();
        let reply = match (request.method.as_str(), path) {
            ("GET", "/store") => self.list(request),
            ("GET", "/changes") => self.changes(controller, request),
            ("POST", "/commit") => self.commit(&request.body),
            ("POST", "/leases") => self.grant(&request.body),
            ("GET", _) => self.read(path.trim_start_matches("/store/")),
            (method, _) => self.lease(method, path),
        };
        Some(reply)
    }

    fn list(&self, request: &Request) -> Reply {
        let limit = request.param("limit").parse().unwrap_or(PAGE_ITEMS);
        let (prefix, since) = (request.param("under"), request.param("since"));
        let data = self.data();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, entry) in data.entries.range(prefix.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= since {
                continue;
            }
            let item = format!(
                r#"{{"key":{},"v":{},"stamp":{}}}"#,
                quote(key),
                entry.value,
                entry.stamp
            );
            if items.len() >= limit.min(PAGE_ITEMS) || bytes + item.len() > PAGE_BYTES - 100 {
                more = true;
                break;
            }
            bytes += item.len() + 1;
            items.push(item);
        }
        let (items, ledger) = (items.join(","), data.ledger);
        (
            200,
            format!(r#"{{"entries":[{items}],"truncated":{more},"ledger":{ledger}}}"#),
        )
    }

    fn read(&self, key: &str) -> Reply {
        let data = self.data();
        match data.entries.get(key) {
            Some(entry) => (
                200,
                format!(
                    r#"{{"key":{},"v":{},"stamp":{},"tenure":{}}}"#,
                    quote(key),
                    entry.value,
                    entry.stamp,
                    entry.lease.map_or("null".into(), |id| id.to_string())
                ),
            ),
            None => (404, format!(r#"{{"ledger":{}}}"#, data.ledger)),
        }
    }

    fn changes(&self, controller: usize, request: &Request) -> Reply {
        let since: u64 = request.param("since").parse().unwrap_or(0);
        let block: u64 = request.param("blockMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(block.min(60_000));
        let prefix = request.param("under");
        let mut data = self.data();
        loop {
            // The open watches of a refused controller wait as in an outage.
            if !data.refused[controller] {
                if since < data.dropped {
                    return (410, "{}".into());
                }
                let first = data.changes.partition_point(|change| change.stamp <= since);
                let events: Vec<String> = data
                    .changes
                    .range(first..)
                    .filter(|change| change.key.starts_with(prefix))
                    .map(event)
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let (events, ledger) = (events.join(","), data.ledger);
                    return (200, format!(r#"{{"ledger":{ledger},"events":[{events}]}}"#));
                }
            }
            let wait = until.saturating_duration_since(Instant::now());
            let wait = wait.clamp(time::Duration::from_millis(1), Duration::from_millis(50));
            data = self.changed.wait_timeout(data, wait).unwrap().0;
        }
    }

    fn commit(&self, body: &str) -> Reply {
        let Some(transaction) = Json::parse(body) else {
            return (400, r#"{"error":"malformed"}"#.into());
        };
        let writes = transaction.arr("writes");
        let conditions = transaction.arr("when");
        let too_large = |write: &Json| {
            let value = write.get("v");
            value.is_some_and(|v| v.text().len() > self.limits.value_kb << 10)
        };
        if writes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
            || body.len() > TRANSACTION_BYTES
            || writes.iter().any(too_large)
        {
            return (400, r#"{"error":"too large"}"#.into());
        }
        if !self.writes.lock().unwrap().take(writes.len() as f64) {
            return (429, "{}".into());
        }
        let mut data = self.data();
        let lease_of = |write: &Json| write.get("tenure").map(|_| write.u64("tenure"));
        let unknown = |id: u64| !data.leases.contains_key(&id);
        if writes.iter().filter_map(lease_of).any(unknown) {
            return (400, r#"{"error":"no such lease"}"#.into());
        }
        let failed: Vec<String> = conditions
            .iter()
            .filter(|condition| {
                let entry = data.entries.get(&condition.str("key"));
                entry.map_or(0, |entry| entry.stamp) != condition.u64("stamp")
            })
            .map(|condition| quote(&condition.str("key")))
            .collect();
        if !failed.is_empty() {
            let (failed, ledger) = (failed.join(","), data.ledger);
            return (409, format!(r#"{{"failed":[{failed}],"ledger":{ledger}}}"#));
        }
        if !writes.is_empty() {
            data.ledger += 1;
        }
        for write in writes {
            if let Some(value) = write.get("v") {
                let key = write.str("write");
                let entry = Entry {
                    value: value.text(),
                    stamp: data.ledger,
                    lease: lease_of(write),
                };
                let value = entry.value.clone();
                data.entries.insert(key.clone(), entry);
                push_change(&mut data, key, Some(value));
            } else {
                let key = write.str("drop");
                data.entries.remove(&key);
                push_change(&mut data, key, None);
            }
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ledger":{}}}"#, data.ledger))
    }

    fn grant(&self, body: &str) -> Reply {
        let life = Json::parse(body).map_or(0, |body| body.u64("lifeMs"));
        if !(100..=600_000).contains(&life) {
            return (400, "{}".into());
        }
        let mut data = self.data();
        data.last_lease += 1;
        let id = data.last_lease;
        let life = Duration::from_millis(life);
        let ends = Instant::now() + life;
        data.leases.insert(id, Lease { life, ends });
        (200, format!(r#"{{"tenure":{id}}}"#))
    }

    fn lease(&self, method: &str, path: &str) -> Reply {
        let id = path
            .trim_start_matches("/leases/")
            .trim_end_matches("/touch");
        let id = id.parse().unwrap_or(0);
        let mut data = self.data();
        if method == "DELETE" {
            self.end_lease(&mut data, id);
            return (200, "{}".into());
        }
        match data.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.life;
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        }
    }
}

fn push_change(data: &mut Data, key: String, value: Option<String>) {
    let stamp = data.ledger;
    data.changes.push_back(Change { key, value, stamp });
    if data.changes.len() > KEPT_CHANGES {
        if let Some(change) = data.changes.pop_front() {
            data.dropped = change.stamp;
        }
    }
}

fn event(change: &Change) -> String {
    let (key, stamp) = (quote(&change.key), change.stamp);
    match &change.value {
        Some(value) => format!(r#"{{"write":{key},"v":{value},"stamp":{stamp}}}"#),
        None => format!(r#"{{"drop":{key},"stamp":{stamp}}}"#),
    }
}
