//! The API of the consensus-backed key-value store.
//!
//! Each change has a revision; a key's version is the revision of its last change, and 0
//! if it does not exist.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A value as it came: whoever needs it parses it once, into its own type.
pub type Value = Box<RawValue>;

/// A key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// In the order of their keys.
    #[serde(rename = "entries")]
    pub entries: Vec<KeyValue>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The revision as of which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version, 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A put or a deletion. A put names its key in `put` and has a value, a deletion names its
/// key in `delete`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Write {
    /// The key that is put.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value that is put.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The lease that a put key is attached to; with none it is detached.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// The key that is deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
}

/// An atomic compare-and-swap: all writes are carried out, if all conditions hold, or none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// What is changed.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition, unless there is one on that key.
    pub fn expect_version(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
        self
    }

    /// Adds a put of a key that belongs to no lease.
    pub fn put(self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.with_put(key.into(), value, None)
    }

    /// Adds a put of a key that is removed when the lease ends.
    pub fn put_leased(self, key: impl Into<String>, value: &impl Serialize, lease: u64) -> Self {
        self.with_put(key.into(), value, Some(lease))
    }

    fn with_put(mut self, key: String, value: &impl Serialize, lease: Option<u64>) -> Self {
        self.writes.push(Write {
            put: Some(key),
            // Our records are plain data, which JSON can always hold.
            value: serde_json::value::to_raw_value(value).ok(),
            lease,
            ..Write::default()
        });
        self
    }

    /// Adds a deletion.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            delete: Some(key.into()),
            ..Write::default()
        });
        self
    }
}

/// The response to a transaction that was carried out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The revision of its changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long it lasts unless it is renewed, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The response to a request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// The lease's id.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// A change of one key: a put or a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key that was put.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value that was put.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The key that was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The change's revision.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl WatchEvent {
    /// The key that was put or deleted.
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.delete.as_ref());
        key.map_or("", String::as_str)
    }
}

/// The changes since the revision that a watch began at.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which they are complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes.
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
