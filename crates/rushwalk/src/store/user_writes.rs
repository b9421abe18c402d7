//! Batches users' writes: all that arrive while a commit is in flight are committed together
//! by the next one.

use super::committer::WritePriority;
use super::log_writer::{LogWriter, MAX_TRANSACTION_BYTES};
use super::replica::Replica;
use crate::context::Context;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_state::codec;
use rushwalk_state::mutation::Mutation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// The capacity of the queue; further writes are rejected.
const MAX_WAITING: usize = 1024;

/// How often a commit is retried after a conflict, which means that the key of its log entry no
/// longer has the expected version.
const CONFLICT_RETRIES: usize = 3;

/// A user's write, and the channel that receives its outcome.
struct PendingWrite {
    mutation: Mutation,
    outcome_sender: oneshot::Sender<CommitOutcome>,
}

/// The sending side of the queue of users' writes.
#[derive(Clone)]
pub struct UserWrites {
    queue: mpsc::Sender<PendingWrite>,
}

/// The queue of users' writes is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many writes are waiting")]
pub struct TooManyWrites;

impl UserWrites {
    /// The sending side, and the queue that [`UserWriteQueue::run`] commits.
    pub fn new() -> (UserWrites, UserWriteQueue) {
        let (queue, waiting) = mpsc::channel(MAX_WAITING);
        (UserWrites { queue }, UserWriteQueue { waiting })
    }

    /// Queues a mutation, which is committed together with others in the queue, and returns the
    /// outcome of the commit.
    ///
    /// # Errors
    ///
    /// [`TooManyWrites`] if the queue is full, or if its receiving side is dropped before the
    /// write is committed.
    pub async fn write(&self, mutation: Mutation) -> Result<CommitOutcome, TooManyWrites> {
        let (outcome_sender, outcome) = oneshot::channel();
        let write = PendingWrite {
            mutation,
            outcome_sender,
        };
        self.queue.try_send(write).map_err(|_| TooManyWrites)?;
        outcome.await.map_err(|_| TooManyWrites)
    }
}

/// The receiving side of the queue of users' writes.
pub struct UserWriteQueue {
    waiting: mpsc::Receiver<PendingWrite>,
}

impl UserWriteQueue {
    /// Commits the queued writes, one transaction after the other, until the sending side is
    /// dropped.
    pub async fn run(mut self, context: Arc<Context>, replica: Arc<Replica>, log: Arc<LogWriter>) {
        let write_rps = context.settings.site.store.write_rps;
        // Half of the mean time between this controller's writes at an equal share of the store's
        // write limit.
        let batching_delay =
            Duration::from_secs_f64(0.5 * context.controllers() as f64 / write_rps);
        let mut left_over: Option<PendingWrite> = None;
        loop {
            let first = match left_over.take() {
                Some(write) => write,
                None => match self.waiting.recv().await {
                    Some(write) => write,
                    None => return,
                },
            };
            sleep(batching_delay).await;
            let writes = self.take_batch(first, &mut left_over);
            let (mutations, outcome_senders): (Vec<_>, Vec<_>) = writes
                .into_iter()
                .map(|write| (write.mutation, write.outcome_sender))
                .unzip();
            let outcome = commit(&context, &replica, &log, &mutations).await;
            for outcome_sender in outcome_senders {
                // Sending fails only if the user's request is no longer being handled.
                let _ = outcome_sender.send(outcome.clone());
            }
        }
    }

    /// Takes as many queued writes as fit into one transaction, so that all have the same
    /// outcome. A write that no longer fits is stored in `left_over` for the next batch.
    fn take_batch(
        &mut self,
        first: PendingWrite,
        left_over: &mut Option<PendingWrite>,
    ) -> Vec<PendingWrite> {
        let mut bytes = codec::packed_size(&first.mutation);
        let mut batch = vec![first];
        while let Ok(write) = self.waiting.try_recv() {
            bytes += codec::packed_size(&write.mutation);
            if bytes > MAX_TRANSACTION_BYTES / 2 {
                *left_over = Some(write);
                break;
            }
            batch.push(write);
        }
        batch
    }
}

async fn commit(
    context: &Context,
    replica: &Replica,
    log: &LogWriter,
    mutations: &[Mutation],
) -> CommitOutcome {
    let mut outcome = log.append(&[], mutations, WritePriority::UserRequest).await;
    for _ in 0..CONFLICT_RETRIES {
        if !matches!(outcome, CommitOutcome::Conflict) {
            break;
        }
        replica.linearizable_read(context.timing.round / 2).await;
        outcome = log.append(&[], mutations, WritePriority::UserRequest).await;
    }
    outcome
}
