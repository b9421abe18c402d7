//! The leader writes snapshots, so that the log's keys can be reused and a controller
//! that starts has little to read.

use super::leader::{LeaderVersion, Leadership};
use crate::context::Context;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::store::{Committer, LogWriter, Replica, WritePriority};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::store::{Transaction, Write};
use rushwalk_state::codec::{self, MutationPacker};
use rushwalk_state::keys;
use rushwalk_state::records::SnapshotManifest;
use rushwalk_state::{Mutation, Revision};
use std::sync::Arc;
use tokio::task::yield_now;
use tokio::time::sleep;

/// A snapshot is written after as many log entries as the store takes in so many seconds.
const ENTRIES_S: f64 = 12.0;

/// Mutations packed in one time slice.
const PACKED_AT_ONCE: usize = 256;

/// Bytes of chunks in one transaction.
const MAX_CHUNK_BYTES: usize = 40 << 10;

/// Writes snapshots while this process leads.
pub(crate) struct SnapshotWriter {
    /// This process's context.
    pub context: Arc<Context>,
    /// The state of which snapshots are made.
    pub replica: Arc<Replica>,
    /// Commits the chunks.
    pub committer: Arc<Committer>,
    /// Knows the size of a value.
    pub log: Arc<LogWriter>,
    /// Only the leader writes.
    pub leadership: Arc<Leadership>,
    /// Measures the work that is done.
    pub work_profile: Arc<WorkProfile>,
}

/// A snapshot that is being written.
struct Draft {
    leader: LeaderVersion,
    manifest: SnapshotManifest,
    /// The version of the manifest that this one replaces.
    manifest_version: Revision,
}

/// A draft with the mutations that its chunks will hold.
struct DraftContents {
    draft: Draft,
    mutations: Vec<Mutation>,
}

/// The outcome of a transaction with chunks.
enum ChunkOutcome {
    Written,
    Abandoned,
}

impl SnapshotWriter {
    /// Writes a snapshot whenever the log has grown enough, until the process ends.
    pub(crate) async fn run(self) {
        let write_rps = self.context.settings.site.store.write_rps;
        let max_entries = (ENTRIES_S * write_rps) as usize;
        loop {
            sleep(self.context.timing.round * 2).await;
            if self.is_due(max_entries) {
                self.write().await;
            }
        }
    }

    fn is_due(&self, max_entries: usize) -> bool {
        let state = self.replica.state();
        self.leadership.version(&state).is_some() && state.entries_since_snapshot > max_entries
    }

    /// Chunks first, in the keys that are not in use, then the manifest that makes them
    /// count. All on condition of the leader key: of two leaders one fails.
    async fn write(&self) {
        let Some(DraftContents {
            mut draft,
            mutations,
        }) = self.begin()
        else {
            return;
        };
        let chunks = self.pack(mutations).await;
        draft.manifest.chunks = chunks.len();
        if let ChunkOutcome::Written = self.write_chunks(&draft, &chunks).await {
            self.write_manifest(&draft).await;
        }
    }

    fn begin(&self) -> Option<DraftContents> {
        let _timer = self.work_profile.start(WorkKind::Snapshot);
        let state = self.replica.state();
        let draft = Draft {
            leader: self.leadership.version(&state)?,
            manifest: SnapshotManifest {
                revision: state.revision,
                generation: state.snapshot.generation + 1,
                chunks: 0,
            },
            manifest_version: state.key_version(keys::SNAPSHOT_MANIFEST),
        };
        Some(DraftContents {
            draft,
            mutations: state.to_mutations(),
        })
    }

    /// Packs the mutations, which are of one moment; that takes longer than others on this
    /// thread should wait.
    async fn pack(&self, mutations: Vec<Mutation>) -> Vec<String> {
        let mut packer = MutationPacker::new(self.log.max_packed_bytes());
        for some in mutations.chunks(PACKED_AT_ONCE) {
            let mut timer = self.work_profile.start(WorkKind::Snapshot);
            timer.add_items(some.len());
            packer.extend(some);
            drop(timer);
            yield_now().await;
        }
        packer.finish()
    }

    async fn write_chunks(&self, draft: &Draft, chunks: &[String]) -> ChunkOutcome {
        let mut chunks = chunks.iter().enumerate().peekable();
        while chunks.peek().is_some() {
            let mut transaction = draft.leader.transaction();
            let mut bytes = 0;
            while let Some((index, text)) =
                chunks.next_if(|(_, text)| bytes == 0 || bytes + text.len() <= MAX_CHUNK_BYTES)
            {
                bytes += text.len();
                transaction.writes.push(Write {
                    put: Some(keys::snapshot_chunk(draft.manifest.generation, index)),
                    value: codec::frame(draft.manifest.revision, text),
                    ..Write::default()
                });
            }
            if let ChunkOutcome::Abandoned = self.write_with_retries(draft, transaction).await {
                return ChunkOutcome::Abandoned;
            }
            sleep(self.context.timing.round / 4).await;
        }
        ChunkOutcome::Written
    }

    async fn write_with_retries(&self, draft: &Draft, transaction: Transaction) -> ChunkOutcome {
        loop {
            let commit = self
                .committer
                .commit(transaction.clone(), WritePriority::Maintenance);
            let outcome = commit.await;
            if self.leadership.is_committed(&outcome) {
                return ChunkOutcome::Written;
            }
            match outcome {
                // Too many writes at once: more urgent ones go first.
                CommitOutcome::Rejected(_) => sleep(self.context.timing.round / 2).await,
                // One of unknown outcome would, arriving late, replace a chunk of the next
                // try once that counts, and nobody could read the snapshot any more.
                _ => return ChunkOutcome::Abandoned,
            }
            if self.leadership.current_version() != Some(draft.leader) {
                return ChunkOutcome::Abandoned;
            }
        }
    }

    async fn write_manifest(&self, draft: &Draft) {
        let transaction = draft
            .leader
            .transaction()
            .expect_version(keys::SNAPSHOT_MANIFEST, draft.manifest_version)
            .put(keys::SNAPSHOT_MANIFEST, &draft.manifest);
        let commit = self
            .committer
            .commit(transaction, WritePriority::Scheduling);
        let outcome = commit.await;
        let SnapshotManifest {
            revision, chunks, ..
        } = draft.manifest;
        tracing::info!(revision, chunks, ?outcome, "snapshot written");
        // A manifest that arrives late must not name chunks that were written anew since.
        self.leadership.is_committed(&outcome);
    }
}
