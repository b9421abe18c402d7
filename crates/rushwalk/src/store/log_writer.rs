//! Appending to the log: many mutations in one key, and keys that are reused.

use super::committer::{Committer, WritePriority};
use super::replica::Replica;
use crate::context::Context;
use parking_lot::Mutex;
use rushwalk_clients::Error;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::store::{Transaction, Write};
use rushwalk_state::mutation::{Mutation, SubmitJob};
use rushwalk_state::{EntryKeyAllocator, Revision, UnixMillis, codec, keys};
use std::iter::Peekable;
use std::sync::Arc;
use std::vec;

/// The store's limit for a transaction in bytes, less what its conditions may take.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 << 10;

/// Values larger than this are not used even if the store takes them, in KiB.
const MAX_VALUE_KB: f64 = 48.0;

/// What the frame of a value takes, in bytes.
const FRAME_BYTES: usize = 64;

/// A key that must have a version for a transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The version that it must have.
    pub version: Revision,
}

/// A submission is too large for a value of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("its lists are too long")]
pub struct SubmissionTooLarge;

/// Appends mutations to this controller's part of the log.
pub struct LogWriter {
    context: Arc<Context>,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    entry_keys: Mutex<EntryKeyAllocator>,
}

/// A transaction with some log entries, and the numbers of their keys.
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

    /// Bytes of packed mutations that one value of the store holds.
    pub fn max_packed_bytes(&self) -> usize {
        let value_kb = self.context.settings.site.store.value_kb;
        (value_kb.clamp(1.0, MAX_VALUE_KB) * 1024.0) as usize - FRAME_BYTES
    }

    /// Checks that a submission fits a value of the store.
    ///
    /// # Errors
    ///
    /// [`SubmissionTooLarge`]
    pub fn check_size(&self, spec: &JobSpec) -> Result<(), SubmissionTooLarge> {
        let submit = Mutation::Submit(SubmitJob {
            spec: Arc::new(spec.clone()),
            accepted_ms: UnixMillis::MAX,
        });
        if codec::packed_size(&submit) > self.max_packed_bytes() {
            return Err(SubmissionTooLarge);
        }
        Ok(())
    }

    /// Appends mutations under preconditions, and waits until they are applied here: only
    /// the replica shows which of them took effect.
    pub async fn append(
        &self,
        preconditions: &[Precondition],
        mutations: &[Mutation],
        priority: WritePriority,
    ) -> CommitOutcome {
        let mut last = CommitOutcome::Committed(0);
        let packed = codec::pack(mutations, self.max_packed_bytes());
        let mut packed = packed.into_iter().peekable();
        while packed.peek().is_some() {
            let batch = self.next_batch(preconditions, &mut packed);
            last = self.committer.commit(batch.transaction, priority).await;
            match &last {
                CommitOutcome::Committed(revision) => {
                    let max_wait = self.context.timing.round * 4;
                    if !self.replica.wait_for_revision(*revision, max_wait).await {
                        return CommitOutcome::Unanswered(Error::Unanswered("not seen yet".into()));
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

    /// Takes as many packed texts as one transaction holds.
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
            let next = packed.peek().map_or(0, String::len);
            let max_writes = self.context.settings.site.store.txn_ops;
            if transaction.writes.len() >= max_writes || bytes + next > MAX_TRANSACTION_BYTES {
                break;
            }
        }
        Batch {
            transaction,
            entry_numbers,
        }
    }

    fn release(&self, entry_numbers: Vec<u64>) {
        let mut entry_keys = self.entry_keys.lock();
        for number in entry_numbers {
            entry_keys.release(number);
        }
    }
}
