//! The API of the consensus-backed key-value store.
//!
//! The store numbers its changes: each has a revision, which increases from change to
//! change. A key's version is the revision of its last change, or 0 if the key doesn't
//! exist.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A value as unparsed JSON, so that each reader parses it only once, directly into the
/// type that it needs.
pub type Value = Box<RawValue>;

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The full key, including the prefix under which it was listed.
    pub key: String,
    /// The key's value, as unparsed JSON.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// The entries, ordered by key.
    #[serde(rename = "entries")]
    pub entries: Vec<KeyValue>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The store's revision at the time of the read: the page contains all changes up to it.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: it holds if the key has the given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key whose version is compared.
    pub key: String,
    /// The required version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A put or a deletion. A put has `put` and `value` set, a deletion only `delete`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Write {
    /// The key to put; `None` for a deletion.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value to put; `None` for a deletion.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The lease that a put attaches the key to; `None` detaches the key from any lease.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// The key to delete; `None` for a put.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
}

/// An atomic compare-and-swap: if all conditions hold, all writes are applied, otherwise
/// none is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// The puts and deletions to apply.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that a key has the given version. If the transaction already has a
    /// condition on that key, that one is kept and nothing is added.
    pub fn expect_version(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
        self
    }

    /// Adds a put of a key that is attached to no lease.
    pub fn put(self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.with_put(key.into(), value, None)
    }

    /// Adds a put of a key that is attached to a lease: the store removes the key when the
    /// lease ends.
    pub fn put_leased(self, key: impl Into<String>, value: &impl Serialize, lease: u64) -> Self {
        self.with_put(key.into(), value, Some(lease))
    }

    fn with_put(mut self, key: String, value: &impl Serialize, lease: Option<u64>) -> Self {
        self.writes.push(Write {
            put: Some(key),
            // Can't fail: all stored types are plain data that JSON can represent.
            value: serde_json::value::to_raw_value(value).ok(),
            lease,
            ..Write::default()
        });
        self
    }

    /// Adds a deletion of a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            delete: Some(key.into()),
            ..Write::default()
        });
        self
    }
}

/// The response to a committed transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The revision of the transaction's changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds: the lease expires unless it is renewed within this time.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The response to a granted [`LeaseRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// The id of the granted lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// A change of one key: a put or a deletion. A put has `put` and `value` set, a deletion
/// only `delete`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key that was put; `None` for a deletion.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value that was put; `None` for a deletion.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The key that was deleted; `None` for a put.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The revision of the change, which is the key's new version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl WatchEvent {
    /// The key that was put or deleted; empty if the event names none.
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.delete.as_ref());
        key.map_or("", String::as_str)
    }
}

/// The response to a watch: the changes since the revision given in the request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which `events` is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes of keys under the requested prefix.
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
