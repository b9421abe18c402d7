//! Tests of the JSON form of transactions and watch responses.

use super::*;

#[test]
fn transaction_serializes_to_the_wire_format() {
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
fn example_watch_response_is_parsed() {
    let changes: WatchResponse = serde_json::from_str(
        r#"{"ledger":433,"events":[{"write":"c/9","v":{"x":1},"stamp":433},{"drop":"c/d","stamp":432}]}"#,
    )
    .unwrap();
    let [put, deletion] = &changes.events[..] else {
        panic!("expected two events");
    };
    assert_eq!((put.key(), put.version), ("c/9", 433));
    assert_eq!(put.value.as_ref().map(|v| v.get()), Some(r#"{"x":1}"#));
    assert_eq!(deletion.delete.as_deref(), Some("c/d"));
}
