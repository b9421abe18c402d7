//! Appends mutations to the log in the store. A log entry is the value of one key and holds
//! many mutations; keys are reused once a snapshot includes their entries.

use super::committer::{Committer, WritePriority};
use super::replica::Replica;
use crate::context::Context;
use parking_lot::Mutex;
use rushwalk_clients::Error;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::store::{Transaction, Write};
use rushwalk_state::codec::{self, MutationPacker, UnstorableMutation};
use rushwalk_state::mutation::Mutation;
use rushwalk_state::{EntryKeyAllocator, Revision, keys};
use std::iter::Peekable;
use std::sync::Arc;
use std::vec;

/// Upper limit of the packed mutations in one transaction, in bytes: the store's limit for a
/// transaction, less the space that its conditions may take.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 << 10;

/// Upper limit of a value, in KiB, even if the store accepts larger ones.
const MAX_VALUE_KB: f64 = 48.0;

/// Space that is reserved in each value for its frame (see [`codec::frame`]), in bytes.
const FRAME_BYTES: usize = 64;

/// A condition of a transaction: the version that a key must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// The key whose version is checked.
    pub key: String,
    /// The version that the key must have.
    pub version: Revision,
}

/// Appends mutations to this controller's part of the log.
pub struct LogWriter {
    context: Arc<Context>,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    entry_keys: Mutex<EntryKeyAllocator>,
}

/// A transaction that writes log entries, and the numbers of their keys.
struct Batch {
    transaction: Transaction,
    entry_numbers: Vec<u64>,
}

impl LogWriter {
    /// A writer that has used no key yet.
    pub fn new(
        context: Arc<Context>,
        replica: Arc<Replica>,
        committer: Arc<Committer>,
    ) -> LogWriter {
        LogWriter {
            context,
            replica,
            committer,
            entry_keys: Mutex::default(),
        }
    }

    /// Upper limit of the packed mutations in one value of the store, in bytes.
    pub fn max_packed_bytes(&self) -> usize {
        let value_kb = self.context.settings.site.store.value_kb;
        (value_kb.clamp(1.0, MAX_VALUE_KB) * 1024.0) as usize - FRAME_BYTES
    }

    /// Whether a mutation that can't be split fits into one value of the store.
    pub fn fits_value(&self, mutation: &Mutation) -> bool {
        codec::packed_size(mutation) <= self.max_packed_bytes()
    }

    /// Appends mutations to the log if the preconditions hold, and waits until the replica has
    /// applied them, because only its state shows which of them took effect.
    ///
    /// Mutations that exceed one transaction are committed in several, in order, up to the first
    /// that is not committed; the outcome is that of the last one. It is
    /// [`CommitOutcome::Unanswered`] also if the replica does not apply a commit in time, and
    /// `Committed(0)` if there are no mutations. A mutation that can't be stored is left out, as
    /// if its preconditions did not hold, so that it does not prevent the others.
    pub async fn append(
        &self,
        preconditions: &[Precondition],
        mutations: &[Mutation],
        priority: WritePriority,
    ) -> CommitOutcome {
        let mut last = CommitOutcome::Committed(0);
        let mut packed = self.pack(mutations).into_iter().peekable();
        while packed.peek().is_some() {
            let batch = self.next_batch(preconditions, &mut packed);
            last = self.committer.commit(batch.transaction, priority).await;
            match &last {
                CommitOutcome::Committed(revision) => {
                    let max_wait = self.context.timing.round * 4;
                    if !self.replica.wait_for_revision(*revision, max_wait).await {
                        return CommitOutcome::Unanswered(Error::Unanswered(
                            "commit not applied to the replica in time".into(),
                        ));
                    }
                }
                CommitOutcome::Unanswered(_) => return last,
                _ => {
                    self.release(batch.entry_numbers);
                    return last;
                }
            }
        }
        last
    }

    /// Packs mutations into the texts of log entries, without those that can't be stored.
    fn pack(&self, mutations: &[Mutation]) -> Vec<String> {
        let mut packer = MutationPacker::new(self.max_packed_bytes());
        for mutation in mutations {
            if let Err(UnstorableMutation { kind, bytes }) = packer.add(mutation) {
                // This should not happen: large submissions are rejected.
                tracing::error!(
                    kind,
                    bytes,
                    "mutation dropped: it exceeds the size limit of a value"
                );
            }
        }
        packer.finish()
    }

    /// Builds a transaction from as many of the `packed` texts as fit; each becomes a log entry.
    fn next_batch(
        &self,
        preconditions: &[Precondition],
        packed: &mut Peekable<vec::IntoIter<String>>,
    ) -> Batch {
        let mut transaction = Transaction::default();
        for precondition in preconditions {
            transaction = transaction.expect_version(&precondition.key, precondition.version);
        }
        let mut entry_numbers = Vec::new();
        let mut bytes = 0;
        while let Some(text) = packed.next() {
            bytes += text.len();
            let member = self.context.member();
            let entry = {
                let state = self.replica.state();
                self.entry_keys.lock().allocate(&state, member)
            };
            entry_numbers.push(entry.number);
            let key = keys::log_entry(member, entry.number);
            transaction = transaction.expect_version(&key, entry.version);
            transaction.writes.push(Write {
                put: Some(key),
                value: codec::frame(entry.version, &text),
                ..Write::default()
            });
            let next_bytes = packed.peek().map_or(0, String::len);
            let max_writes = self.context.settings.site.store.txn_ops;
            if transaction.writes.len() >= max_writes || bytes + next_bytes > MAX_TRANSACTION_BYTES
            {
                break;
            }
        }
        Batch {
            transaction,
            entry_numbers,
        }
    }

    /// Makes keys available again to which nothing was written.
    fn release(&self, entry_numbers: Vec<u64>) {
        let mut entry_keys = self.entry_keys.lock();
        for number in entry_numbers {
            entry_keys.release(number);
        }
    }
}
