use super::*;

#[test]
fn summary_json_is_unchanged() {
    let mut totals = [WorkTotals::default(); KINDS.len()];
    totals[WorkKind::Heartbeat as usize] = WorkTotals {
        slices: 3,
        items: 40,
        time: Duration::from_micros(12_345),
        longest: Duration::from_millis(9),
    };
    totals[WorkKind::AssignShards as usize].items = 2;
    let profile = WorkProfile {
        totals: Mutex::new(totals),
    };
    let expected = concat!(
        r#"{"hold":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""lend":{"items":2,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""list":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""place":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""report":{"items":40,"longest_ms":9.0,"ms":12.3,"turns":3},"#,
        r#""size":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""snapshot":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""user":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0},"#,
        r#""watch":{"items":0,"longest_ms":0.0,"ms":0.0,"turns":0}}"#,
    );
    assert_eq!(profile.summary().to_string(), expected);
}
