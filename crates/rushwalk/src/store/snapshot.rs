//! Snapshots: the leader writes down what the log has come to, so that its keys
//! can be used again and a controller that starts has little to read.

use crate::controller::{Controller, WritePriority};
use crate::leadership::leader::judge;
use crate::observability::work_profile::WorkKind;
use crate::store::log_writer;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::records::{self as rec, LEADER, SnapshotManifest};
use rushwalk_protocol::store::{Transaction, Write};
use std::sync::Arc;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Entries in the log after which a snapshot is made: this many seconds' worth
/// of the state service's changes.
const AFTER_S: f64 = 12.0;

/// Changes made text in one turn.
const AT_ONCE: usize = 256;

pub async fn snapshot_loop(node: Arc<Controller>) {
    let after = (AFTER_S * node.settings.site.store.write_rps) as usize;
    loop {
        sleep(node.timing.round * 2).await;
        let due = {
            let view = node.view();
            let leads = node.leadership(&view).is_some();
            leads && view.entries_since_snapshot > after
        };
        if due {
            write(&node).await;
        }
    }
}

/// Chunks first, in the half that is not in use, then the head that makes them
/// count. All on condition of the leader key: of two leaders one fails.
async fn write(node: &Controller) -> bool {
    let (version, mut base, base_version, ops) = {
        let _turn = node.work_profile.start(WorkKind::Snapshot);
        let view = node.view();
        let Some(version) = node.leadership(&view) else {
            return false;
        };
        let base = SnapshotManifest {
            revision: view.revision,
            generation: view.snapshot.generation + 1,
            chunks: 0,
        };
        (
            version,
            base,
            view.key_version(rec::BASE),
            view.to_mutations(),
        )
    };
    // The changes are of one moment; making them text takes longer than others
    // on this thread should wait.
    let mut packed = Vec::new();
    for some in ops.chunks(AT_ONCE) {
        let mut turn = node.work_profile.start(WorkKind::Snapshot);
        turn.add_items(some.len());
        log_writer::pack_more(&mut packed, some, node.packed_limit());
        drop(turn);
        yield_now().await;
    }
    drop(ops);
    base.chunks = packed.len();
    let budget = 40 << 10;
    let mut chunks = packed.iter().enumerate().peekable();
    while chunks.peek().is_some() {
        let mut txn = Transaction::default().expect_version(LEADER, version);
        let mut size = 0;
        while let Some((_, text)) = chunks.peek() {
            if size > 0 && size + text.len() > budget {
                break;
            }
            size += text.len();
            let Some((i, text)) = chunks.next() else {
                break;
            };
            txn.writes.push(Write {
                put: Some(rec::chunk_key(base.generation, i)),
                value: log_writer::value(base.revision, text),
                ..Write::default()
            });
        }
        loop {
            let outcome = node.commit(txn.clone(), WritePriority::Maintenance).await;
            if judge(node, &outcome) {
                break;
            }
            match outcome {
                // Too much at once: others go first.
                CommitOutcome::Rejected(_) => sleep(node.timing.round / 2).await,
                // Of unknown fate it would, coming late, replace a chunk of the next try
                // once that counts, and nobody could read the snapshot any more.
                _ => return false,
            }
            let view = node.view();
            if node.leadership(&view) != Some(version) {
                return false;
            }
        }
        sleep(node.timing.round / 4).await;
    }
    let txn = Transaction::default()
        .expect_version(LEADER, version)
        .expect_version(rec::BASE, base_version)
        .put(rec::BASE, &base);
    let outcome = node.commit(txn, WritePriority::WorkKind).await;
    tracing::info!(
        at = base.revision,
        chunks = base.chunks,
        ?outcome,
        "snapshot"
    );
    // A head that comes late must not name chunks that were written anew since.
    judge(node, &outcome)
}
