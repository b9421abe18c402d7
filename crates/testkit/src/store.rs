//! The state service: keys with versions, transactions, leases, changes.

use rushwalk_protocol::store::{
    KeyValue, KeyValuePage, Transaction, Value, WatchEvent, WatchResponse,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    /// Puts and deletions so far: what the platform limits a second.
    pub writes: usize,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    events: Vec<(u64, WatchEvent)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// A watch can begin from so many changes back; all if 0.
    pub kept: usize,
}

impl Store {
    /// Ends leases whose time is over.
    pub fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let keys = self.keys.iter().filter(|(_, v)| v.2 == Some(id));
            let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.drop_key(&key);
            }
        }
    }

    /// After an outage all leases have their full time again.
    pub fn refill(&mut self) {
        for (until, ttl) in self.leases.values_mut() {
            *until = Instant::now() + *ttl;
        }
    }

    fn drop_key(&mut self, key: &str) {
        self.keys.remove(key);
        let event = WatchEvent {
            put: None,
            value: None,
            delete: Some(key.into()),
            version: self.revision,
        };
        self.events.push((self.revision, event));
    }

    pub fn lease(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases
            .insert(self.next_lease, (Instant::now() + ttl, ttl));
        self.next_lease
    }

    pub fn touch(&mut self, id: u64) -> bool {
        match self.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                true
            }
            None => false,
        }
    }

    /// The new revision, or the status that refuses the transaction.
    pub fn commit(&mut self, txn: &Transaction) -> Result<u64, u16> {
        let leases = txn.writes.iter().filter_map(|w| w.lease);
        if leases.into_iter().any(|id| !self.leases.contains_key(&id)) {
            return Err(400);
        }
        self.writes += txn.writes.len();
        let holds = |key: &str, version| self.keys.get(key).map_or(0, |k| k.1) == version;
        if !txn.conditions.iter().all(|c| holds(&c.key, c.version)) {
            return Err(409);
        }
        self.revision += 1;
        for write in &txn.writes {
            if let (Some(key), Some(value)) = (&write.put, &write.value) {
                let entry = (value.clone(), self.revision, write.lease);
                self.keys.insert(key.clone(), entry);
                let event = WatchEvent {
                    put: Some(key.clone()),
                    value: Some(value.clone()),
                    delete: None,
                    version: self.revision,
                };
                self.events.push((self.revision, event));
            }
            if let Some(key) = &write.delete {
                self.drop_key(key);
            }
        }
        Ok(self.revision)
    }

    pub fn list(&self, prefix: &str, since: &str) -> KeyValuePage {
        let from = self.keys.range(prefix.to_string()..);
        let items = from
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(k, _)| k.as_str() > since)
            .map(|(k, (value, version, _))| KeyValue {
                key: k.clone(),
                value: value.clone(),
                version: *version,
            });
        KeyValuePage {
            entries: items.collect(),
            more: false,
            revision: self.revision,
        }
    }

    /// The changes since a revision; `None` if they are no longer kept.
    pub fn changes(&self, prefix: &str, since: u64) -> Option<WatchResponse> {
        let named = |e: &WatchEvent| e.key().starts_with(prefix);
        let gone = self.events.len().checked_sub(self.kept.max(1));
        if self.kept > 0
            && let Some((revision, _)) = gone.and_then(|n| self.events.get(n.checked_sub(1)?))
            && *revision > since
        {
            return None;
        }
        let after = self.events.partition_point(|(at, _)| *at <= since);
        let events = self.events[after..].iter().map(|(_, e)| e.clone());
        Some(WatchResponse {
            revision: self.revision,
            events: events.filter(named).collect(),
        })
    }
}
