//! Snapshots as the store lists them.

use rushwalk_protocol::store::KeyValue;
use rushwalk_state::records::{JobPhase, SnapshotManifest};
use rushwalk_state::{ClusterState, Mutation, Revision, codec, keys};
use std::collections::BTreeSet;

/// The keys and values of a snapshot with these mutations, whose values have at most `max_bytes`
/// bytes without their frames.
pub fn snapshot(mutations: &[Mutation], max_bytes: usize, revision: Revision) -> Vec<KeyValue> {
    let packed = codec::pack(mutations, max_bytes).unwrap();
    let too_large = packed.iter().find(|text| text.len() > max_bytes);
    assert_eq!(too_large, None);
    let manifest = SnapshotManifest {
        revision,
        generation: 1,
        chunks: packed.len(),
    };
    let mut entries = vec![KeyValue {
        key: keys::SNAPSHOT_MANIFEST.into(),
        value: serde_json::value::to_raw_value(&manifest).unwrap(),
        version: revision + 1,
    }];
    entries.extend(packed.iter().enumerate().map(|(index, text)| KeyValue {
        key: keys::snapshot_chunk(1, index),
        value: codec::frame(revision, text).unwrap(),
        version: revision + 1,
    }));
    entries
}

/// The mutations of a snapshot of a state as a set of texts, with one for each finished job: the
/// order of jobs differs between processes.
#[allow(dead_code, reason = "not every test compares states")]
pub fn snapshot_contents(state: &ClusterState) -> BTreeSet<String> {
    let mut texts = BTreeSet::new();
    for mutation in state.to_mutations() {
        let Mutation::RestoreFinished(restore) = &mutation else {
            texts.insert(serde_json::to_string(&mutation).unwrap());
            continue;
        };
        let phase: JobPhase = restore.phase;
        let jobs = restore.jobs.iter();
        texts.extend(jobs.map(|job| format!("{phase:?} {job:?}")));
    }
    texts
}
