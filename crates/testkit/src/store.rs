//! In-memory model of the consensus-backed key-value store: versioned keys, transactions,
//! leases and a history of changes for watches.

use rushwalk_protocol::store::{
    KeyValue, KeyValuePage, Transaction, Value, WatchEvent, WatchResponse,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Why a transaction was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// A write refers to a lease that was never granted or has expired.
    UnknownLease,
    /// A key's version differs from the one that the transaction expects.
    ConditionFailed,
}

impl CommitError {
    /// The HTTP status with which the store responds.
    pub fn status(self) -> u16 {
        match self {
            CommitError::UnknownLease => 400,
            CommitError::ConditionFailed => 409,
        }
    }
}

/// The store's limits on a transaction, which are in the controllers' settings.
#[derive(Debug, Clone, Copy)]
pub struct TransactionLimits {
    /// Maximum number of puts and deletions. Four times as many conditions are allowed.
    pub max_writes: usize,
    /// Maximum size of a value in bytes.
    pub max_value_bytes: usize,
}

/// Maximum size of a transaction in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;

/// How many times more conditions than puts and deletions a transaction may have.
const CONDITIONS_PER_WRITE: usize = 4;

impl TransactionLimits {
    /// The limit that a transaction exceeds; `None` if it is within all limits. `bytes` is the size
    /// of the request.
    pub fn exceeded_by(&self, transaction: &Transaction, bytes: usize) -> Option<&'static str> {
        let values = transaction.writes.iter().flat_map(|write| &write.value);
        let largest_value = values.map(|value| value.get().len()).max().unwrap_or(0);
        if transaction.writes.len() > self.max_writes {
            Some("writes")
        } else if transaction.conditions.len() > CONDITIONS_PER_WRITE * self.max_writes {
            Some("conditions")
        } else if largest_value > self.max_value_bytes {
            Some("size of a value")
        } else if bytes > MAX_TRANSACTION_BYTES {
            Some("size of the transaction")
        } else {
            None
        }
    }
}

struct StoredValue {
    value: Value,
    /// The store's revision when the key was last put.
    version: u64,
    /// Id of the lease whose expiry deletes the key; `None` if the key is not attached to one.
    lease: Option<u64>,
}

struct Lease {
    expires_at: Instant,
    ttl: Duration,
}

impl Lease {
    fn new(ttl: Duration) -> Lease {
        let expires_at = Instant::now() + ttl;
        Lease { expires_at, ttl }
    }

    fn renew(&mut self) {
        self.expires_at = Instant::now() + self.ttl;
    }
}

/// The store's keys, leases and change history. Initially empty.
#[derive(Default)]
pub struct Store {
    /// The current revision; 0 before the first change. Incremented once by each committed
    /// transaction, whatever its number of writes, and by each key that an expired lease
    /// deletes.
    pub revision: u64,
    /// Number of puts and deletions received so far, also of transactions whose conditions
    /// failed, but not of those that refer to an unknown lease. The platform limits their number
    /// per second; this store doesn't.
    pub write_count: usize,
    /// Number of the latest changes (puts and deletions) that watches can read; 0 means all.
    pub retained_changes: usize,
    /// Limits on a transaction; `None` if transactions are not limited.
    pub limits: Option<TransactionLimits>,
    entries: BTreeMap<String, StoredValue>,
    events: Vec<WatchEvent>,
    leases: HashMap<u64, Lease>,
    last_lease_id: u64,
}

impl Store {
    /// Removes expired leases, and deletes the keys attached to them.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, l)| l.expires_at < now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let attached = self.entries.iter().filter(|(_, e)| e.lease == Some(id));
            let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
            for key in attached {
                self.revision += 1;
                self.delete(&key);
            }
        }
    }

    /// Renews all leases for their full TTL, as the store does after an outage.
    pub fn extend_all_leases(&mut self) {
        self.leases.values_mut().for_each(Lease::renew);
    }

    /// Grants a lease, and returns its id.
    pub fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease::new(ttl));
        self.last_lease_id
    }

    /// Renews a lease for its full TTL; returns false if it was never granted or has expired.
    pub fn renew_lease(&mut self, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(Lease::renew).is_some()
    }

    /// Applies a transaction, and returns the new revision.
    ///
    /// # Errors
    /// If a write refers to a lease that was never granted or has expired, or if a condition
    /// fails.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, CommitError> {
        let mut leases = transaction.writes.iter().filter_map(|write| write.lease);
        if leases.any(|id| !self.leases.contains_key(&id)) {
            return Err(CommitError::UnknownLease);
        }
        self.write_count += transaction.writes.len();
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| self.version(&condition.key) == condition.version) {
            return Err(CommitError::ConditionFailed);
        }
        self.revision += 1;
        for write in &transaction.writes {
            if let (Some(key), Some(value)) = (&write.put, &write.value) {
                self.put(key, value, write.lease);
            }
            if let Some(key) = &write.delete {
                self.delete(key);
            }
        }
        Ok(self.revision)
    }

    /// The version of a key; 0 if it does not exist.
    fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let entry = StoredValue {
            value: value.clone(),
            version: self.revision,
            lease,
        };
        self.entries.insert(key.to_string(), entry);
        self.events.push(WatchEvent {
            put: Some(key.to_string()),
            value: Some(value.clone()),
            delete: None,
            version: self.revision,
        });
    }

    fn delete(&mut self, key: &str) {
        self.entries.remove(key);
        self.events.push(WatchEvent {
            put: None,
            value: None,
            delete: Some(key.into()),
            version: self.revision,
        });
    }

    /// Replaces the values of all keys that start with `prefix`, without a change of a version, as
    /// if they had been written like this. For data that only an earlier version wrote.
    pub fn rewrite(&mut self, prefix: &str, new_value: impl Fn(&Value) -> Value) {
        for (key, entry) in &mut self.entries {
            if key.starts_with(prefix) {
                entry.value = new_value(&entry.value);
            }
        }
    }

    /// All keys that start with `prefix` and sort after `after`, with their values, in one page.
    pub fn list(&self, prefix: &str, after: &str) -> KeyValuePage {
        let entries = self
            .entries
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, entry)| KeyValue {
                key: key.clone(),
                value: entry.value.clone(),
                version: entry.version,
            });
        KeyValuePage {
            entries: entries.collect(),
            more: false,
            revision: self.revision,
        }
    }

    /// The changes of keys that start with `prefix` after revision `since`; `None` if some
    /// changes after it are no longer retained.
    pub fn changes(&self, prefix: &str, since: u64) -> Option<WatchResponse> {
        if self.compacted_revision() > Some(since) {
            return None;
        }
        let first_index = self.events.partition_point(|event| event.version <= since);
        let events = self.events[first_index..].iter();
        let events = events.filter(|event| event.key().starts_with(prefix));
        Some(WatchResponse {
            revision: self.revision,
            events: events.cloned().collect(),
        })
    }

    /// The revision of the latest change that is no longer retained; `None` if all changes are
    /// retained.
    fn compacted_revision(&self) -> Option<u64> {
        if self.retained_changes == 0 {
            return None;
        }
        let first_retained = self.events.len().checked_sub(self.retained_changes)?;
        let last_dropped = self.events.get(first_retained.checked_sub(1)?)?;
        Some(last_dropped.version)
    }
}
