//! Tests of the form of transactions and watches.

use super::*;

#[test]
fn a_transaction_has_the_form_of_the_protocol() {
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
fn the_example_of_a_watch_response_is_read() {
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
