use super::*;
use crate::keys::log_entry;
use rushwalk_scheduler::durations::DurationEstimator;

/// A key in use, or of unknown outcome, must not be allocated again.
#[test]
fn a_key_is_used_again_only_behind_a_snapshot() {
    let mut state = ClusterState::new(DurationEstimator::new(1, 0.0));
    let mut allocator = EntryKeyAllocator::default();
    let take = |allocator: &mut EntryKeyAllocator, state: &ClusterState| {
        let key = allocator.allocate(state, "a");
        (key.number, key.version)
    };
    assert_eq!(take(&mut allocator, &state), (0, 0));
    assert_eq!(take(&mut allocator, &state), (1, 0));
    state.log_versions.insert(log_entry("a", 0), 10);
    state.log_versions.insert(log_entry("ab", 7), 12);
    state.snapshot.revision = 11;
    // 1 may still be written, late.
    assert_eq!(take(&mut allocator, &state), (0, 10));
    assert_eq!(take(&mut allocator, &state), (2, 0));
    allocator.release(2);
    assert_eq!(take(&mut allocator, &state), (2, 0));
    // A commit of the previous process arrived late, in a key that looked free: the entry
    // was overwritten, and a replica that listed then missed a job accepted in it.
    allocator.release(2);
    state.log_versions.insert(log_entry("a", 2), 14);
    state.log_versions.insert(log_entry("a", 3), 15);
    assert_eq!(take(&mut allocator, &state), (4, 0));
}
