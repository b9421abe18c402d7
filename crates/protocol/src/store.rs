//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A value as it came: it is parsed once, into its own type, by who needs it.
pub type Value = Box<RawValue>;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValuePage {
    #[serde(rename = "entries")]
    pub entries: Vec<KeyValue>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A put has a key and a value, a deletion names its key in `drop`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Write {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponse {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseGranted {
    #[serde(rename = "tenure")]
    pub lease: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchEvent {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl WatchEvent {
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.delete.as_ref());
        key.map_or("", String::as_str)
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "ledger")]
    pub revision: u64,
    pub events: Vec<WatchEvent>,
}

impl Transaction {
    pub fn expect_version(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.writes.push(Write {
            put: Some(key.into()),
            value: raw(value),
            ..Write::default()
        });
        self
    }

    pub fn put_leased(mut self, key: impl Into<String>, value: &impl Serialize, id: u64) -> Self {
        self.writes.push(Write {
            put: Some(key.into()),
            value: raw(value),
            lease: Some(id),
            ..Write::default()
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            delete: Some(key.into()),
            ..Write::default()
        });
        self
    }
}

/// Our records are plain data, which JSON can always hold.
fn raw(value: &impl Serialize) -> Option<Value> {
    serde_json::value::to_raw_value(value).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_transaction_is_written_as_the_protocol_says() {
        let txn = Transaction::default()
            .expect_version("a/b", 0)
            .put_leased("a/b", &serde_json::json!({}), 7)
            .delete("c/d");
        assert_eq!(
            serde_json::to_string(&txn).unwrap(),
            r#"{"when":[{"key":"a/b","stamp":0}],"writes":[{"write":"a/b","v":{},"tenure":7},{"drop":"c/d"}]}"#
        );
    }

    #[test]
    fn the_protocols_changes_are_read() {
        let changes: WatchResponse = serde_json::from_str(
            r#"{"ledger":433,"events":[{"write":"c/9","v":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}"#,
        )
        .unwrap();
        let [put, drop] = &changes.events[..] else {
            panic!("two events");
        };
        assert_eq!((put.key(), put.version), ("c/9", 433));
        assert_eq!(put.value.as_ref().map(|v| v.get()), Some(r#"{"x":1}"#));
        assert_eq!(drop.delete.as_deref(), Some("c/d"));
    }
}
