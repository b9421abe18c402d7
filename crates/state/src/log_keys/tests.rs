use super::*;
use crate::keys::log_entry;
use rushwalk_scheduler::durations::DurationEstimator;

/// A key with a commit in flight or of unknown outcome must not be allocated again, nor a key
/// whose entry no snapshot covers.
#[test]
fn a_key_is_reused_only_after_a_snapshot_covers_its_entry() {
    let mut state = ClusterState::new(DurationEstimator::new(1, 0.0));
    let mut allocator = EntryKeyAllocator::default();
    let allocate = |allocator: &mut EntryKeyAllocator, state: &ClusterState| {
        let key = allocator.allocate(state, "a");
        (key.number, key.version)
    };
    assert_eq!(allocate(&mut allocator, &state), (0, 0));
    assert_eq!(allocate(&mut allocator, &state), (1, 0));
    state.log_versions.insert(log_entry("a", 0), 10);
    state.log_versions.insert(log_entry("ab", 7), 12);
    state.snapshot.revision = 11;
    // Key 1 is still in use: its commit may arrive late.
    assert_eq!(allocate(&mut allocator, &state), (0, 10));
    assert_eq!(allocate(&mut allocator, &state), (2, 0));
    allocator.release(2);
    assert_eq!(allocate(&mut allocator, &state), (2, 0));
    // A late commit of an earlier process has written the free key 2 and the unallocated
    // key 3. Such a key was once allocated: the entry was overwritten, and a replica that
    // listed the store afterwards missed a job that was accepted in it.
    allocator.release(2);
    state.log_versions.insert(log_entry("a", 2), 14);
    state.log_versions.insert(log_entry("a", 3), 15);
    assert_eq!(allocate(&mut allocator, &state), (4, 0));
}
