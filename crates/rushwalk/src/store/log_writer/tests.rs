use super::*;
use rushwalk_scheduler::durations::DurationEstimator;

#[test]
fn changes_are_packed_into_few_values_of_the_allowed_size() {
    let ops: Vec<Mutation> = (0..1000)
        .map(|n| Mutation::Started(format!("j-{n:06}").into(), n, 1000, (0..20).collect()))
        .collect();
    let packed = pack(&ops, 16_000);
    assert!(packed.iter().all(|p| p.len() <= 16_000));
    assert!(packed.len() <= 7, "{}", packed.len());
    let all: usize = packed
        .iter()
        .map(|p| {
            let value = value(3, p).unwrap();
            let entry: rushwalk_protocol::records::LogEntry =
                serde_json::from_str(value.get()).unwrap();
            entry.mutations.len()
        })
        .sum();
    assert_eq!(all, 1000);
}

/// A key in use, or of unknown fate, must not be given out again.
#[test]
fn a_key_is_used_again_only_behind_a_snapshot() {
    let mut view = ClusterState::new(DurationEstimator::new(1, 0.0));
    let mut slots = EntryKeyAllocator::default();
    assert_eq!(slots.take(&view, "a"), (0, 0));
    assert_eq!(slots.take(&view, "a"), (1, 0));
    view.log_versions.insert(entry_key("a", 0), 10);
    view.log_versions.insert(entry_key("ab", 7), 12);
    view.snapshot.revision = 11;
    // 1 may still be written, late.
    assert_eq!(slots.take(&view, "a"), (0, 10));
    assert_eq!(slots.take(&view, "a"), (2, 0));
    slots.put_back(2);
    assert_eq!(slots.take(&view, "a"), (2, 0));
    // A commit of the process before came late, into a key that looked free: it
    // was overwritten, and who listed then had never heard of a job accepted in it.
    slots.put_back(2);
    view.log_versions.insert(entry_key("a", 2), 14);
    view.log_versions.insert(entry_key("a", 3), 15);
    assert_eq!(slots.take(&view, "a"), (4, 0));
}
