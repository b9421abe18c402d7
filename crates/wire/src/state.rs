//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Items {
    #[serde(rename = "entries")]
    pub items: Vec<Item>,
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Committed {
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
#[serde(untagged)]
pub enum Event {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger")]
    pub revision: u64,
    pub events: Vec<Event>,
}

impl Transaction {
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: None,
        });
        self
    }

    pub fn put_leased(mut self, key: impl Into<String>, value: &impl Serialize, id: u64) -> Self {
        self.writes.push(Write::Put {
            key: key.into(),
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease: Some(id),
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_transaction_is_written_as_the_protocol_says() {
        let txn = Transaction::default()
            .when("a/b", 0)
            .put_leased("a/b", &serde_json::json!({}), 7)
            .delete("c/d");
        assert_eq!(
            serde_json::to_string(&txn).unwrap(),
            r#"{"when":[{"key":"a/b","stamp":0}],"writes":[{"write":"a/b","v":{},"tenure":7},{"drop":"c/d"}]}"#
        );
    }

    #[test]
    fn the_protocols_changes_are_read() {
        let changes: Changes = serde_json::from_str(
            r#"{"ledger":433,"events":[{"write":"c/9","v":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}"#,
        )
        .unwrap();
        assert!(matches!(&changes.events[0], Event::Put { key, version: 433, .. } if key == "c/9"));
        assert!(matches!(&changes.events[1], Event::Delete { key, version: 432 } if key == "c/d"));
    }
}
