//! Snapshots of the cluster's state, which the leader writes to the store. A snapshot allows
//! the keys of the log entries that it includes to be reused, and shortens what a starting
//! controller must read.

use super::leader::{LeaderVersion, Leadership};
use crate::context::Context;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::store::{Committer, LogWriter, Replica, WritePriority};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::store::{Transaction, Write};
use rushwalk_state::codec::{self, MutationPacker, UnstorableMutation};
use rushwalk_state::keys;
use rushwalk_state::records::SnapshotManifest;
use rushwalk_state::{Mutation, Revision};
use std::sync::Arc;
use tokio::task::yield_now;
use tokio::time::sleep;

/// A snapshot is due once the log has grown by the number of entries that the store's write limit
/// allows in this time, in seconds.
const LOG_GROWTH_S: f64 = 12.0;

/// The number of mutations that are packed before other tasks of the event loop may run.
const MUTATIONS_PER_SLICE: usize = 256;

/// Upper limit of the chunks in one transaction, in bytes. A chunk that is larger by itself is
/// written alone.
const MAX_CHUNK_BYTES_PER_TRANSACTION: usize = 40 << 10;

/// Writes snapshots while this process leads.
pub(crate) struct SnapshotWriter {
    /// Identity, settings and timing of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster's state, from which snapshots are made.
    pub replica: Arc<Replica>,
    /// Commits the chunks and the manifest.
    pub committer: Arc<Committer>,
    /// Provides the size limit of a chunk.
    pub log: Arc<LogWriter>,
    /// Whether this process is the leader; only the leader writes snapshots.
    pub leadership: Arc<Leadership>,
    /// Records the time spent on snapshots.
    pub work_profile: Arc<WorkProfile>,
}

/// A snapshot that is being written.
struct Draft {
    /// The version of the leader key when the snapshot was begun; every write requires it.
    leader: LeaderVersion,
    manifest: SnapshotManifest,
    /// The version of the manifest key that the new manifest replaces.
    manifest_version: Revision,
}

/// A draft with the mutations that its chunks will hold.
struct DraftContents {
    draft: Draft,
    mutations: Vec<Mutation>,
}

/// The outcome of writing a snapshot's chunks.
enum ChunkOutcome {
    Written,
    Abandoned,
}

impl SnapshotWriter {
    /// Writes a snapshot whenever the log has grown enough, until the process ends.
    pub(crate) async fn run(self) {
        let write_rps = self.context.settings.site.store.write_rps;
        let max_entries = (LOG_GROWTH_S * write_rps) as usize;
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

    /// Writes the chunks first, to keys that the current snapshot does not use, then the manifest
    /// that makes them the current snapshot. Every write requires the version of the leader key,
    /// so that of two leaders only one can succeed.
    async fn write(&self) {
        let Some(DraftContents {
            mut draft,
            mutations,
        }) = self.begin()
        else {
            return;
        };
        let chunks = match self.pack(mutations).await {
            Ok(chunks) => chunks,
            Err(error) => {
                tracing::error!(%error, "snapshot abandoned: it would lack a part of the state");
                return;
            }
        };
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

    /// Packs the mutations into chunks. Packing the whole state takes longer than other tasks on
    /// this thread should wait, so they may run in between; the snapshot stays consistent because
    /// `mutations` was copied from the state at one revision.
    ///
    /// # Errors
    ///
    /// A mutation can't be stored. A snapshot without it must not be written: the state of a
    /// controller that starts from it would differ from that of its peers.
    async fn pack(&self, mutations: Vec<Mutation>) -> Result<Vec<String>, UnstorableMutation> {
        let mut packer = MutationPacker::new(self.log.max_packed_bytes());
        for slice in mutations.chunks(MUTATIONS_PER_SLICE) {
            let mut timer = self.work_profile.start(WorkKind::Snapshot);
            timer.add_items(slice.len());
            for mutation in slice {
                packer.add(mutation)?;
            }
            drop(timer);
            yield_now().await;
        }
        Ok(packer.finish())
    }

    async fn write_chunks(&self, draft: &Draft, chunks: &[String]) -> ChunkOutcome {
        let max_writes = self.context.settings.site.store.txn_ops;
        let mut chunks = chunks.iter().enumerate().peekable();
        while chunks.peek().is_some() {
            let mut transaction = draft.leader.transaction();
            let mut bytes = 0;
            while transaction.writes.len() < max_writes
                && let Some((index, text)) = chunks.next_if(|(_, text)| {
                    bytes == 0 || bytes + text.len() <= MAX_CHUNK_BYTES_PER_TRANSACTION
                })
            {
                bytes += text.len();
                let key = keys::snapshot_chunk(draft.manifest.generation, index);
                // A copy of a chunk of two generations before fails on this condition.
                transaction =
                    transaction.expect_version(&key, self.replica.state().key_version(&key));
                transaction.writes.push(Write {
                    put: Some(key),
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
            if self.leadership.record_outcome(&outcome) {
                return ChunkOutcome::Written;
            }
            match outcome {
                // Rejected for now, for example because more urgent commits use up the write
                // budget.
                CommitOutcome::Rejected(_) => sleep(self.context.timing.round / 2).await,
                // A commit of unknown outcome may still be carried out. If the snapshot were
                // retried, the late commit could overwrite a chunk of the new snapshot after its
                // manifest is written, and no controller could read the snapshot any more.
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
        tracing::info!(
            revision,
            chunks,
            ?outcome,
            "snapshot manifest commit finished"
        );
        // If the outcome is unknown, the leader key is rewritten, so that the commit can no longer
        // be carried out. Otherwise the manifest could be written late, and refer to chunks that
        // have been overwritten since.
        self.leadership.record_outcome(&outcome);
    }
}
