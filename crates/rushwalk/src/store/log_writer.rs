//! Appending to the log: many changes in one key, keys used again.

#[cfg(test)]
mod tests;

use crate::controller::{Controller, WritePriority, lock};
use crate::view::ClusterState;
use rushwalk_clients::Error;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::records::{Mutation, entry_key};
use rushwalk_protocol::store::{Transaction, Write};
use serde_json::value::RawValue;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// The limit of a transaction, less what its conditions may take.
const TRANSACTION: usize = 56 << 10;

/// Keys of our own part of the log: one whose entry is in the snapshot may be
/// used again. Every use is conditioned on the version that the key then has,
/// so a commit that comes late can't overwrite an entry that still counts.
#[derive(Default)]
pub struct EntryKeyAllocator {
    free: VecDeque<u64>,
    next: u64,
    /// Under way, or of unknown fate, with the version they had.
    using: HashMap<u64, u64>,
    /// The snapshot for which `free` was made.
    base: Option<u64>,
}

impl EntryKeyAllocator {
    /// A slot, with the version that its key has.
    fn take(&mut self, view: &ClusterState, member: &str) -> (u64, u64) {
        if self.base != Some(view.snapshot.revision) {
            self.base = Some(view.snapshot.revision);
            let prefix = entry_key(member, 0);
            let prefix = prefix.trim_end_matches('0');
            let mut mine: Vec<(u64, u64)> = view
                .log_versions
                .iter()
                .filter_map(|(key, version)| {
                    Some((key.strip_prefix(prefix)?.parse().ok()?, *version))
                })
                .collect();
            mine.sort_unstable();
            self.next = mine.last().map_or(0, |(n, _)| n + 1).max(self.next);
            for (n, version) in &mine {
                if self.using.get(n).is_some_and(|before| version > before) {
                    self.using.remove(n);
                }
            }
            let free = mine.iter().filter(|(n, version)| {
                *version <= view.snapshot.revision && !self.using.contains_key(n)
            });
            self.free = free.map(|(n, _)| *n).collect();
        }
        loop {
            let n = self.free.pop_front().unwrap_or_else(|| {
                self.next += 1;
                self.next - 1
            });
            let before = view
                .log_versions
                .get(&entry_key(member, n))
                .copied()
                .unwrap_or(0);
            // Written since, by a commit of the process before this one that came
            // late: its entry is in no snapshot, and would be lost to whoever lists.
            if before > view.snapshot.revision {
                continue;
            }
            self.using.insert(n, before);
            return (n, before);
        }
    }

    /// Nothing was written: it can be used at once.
    fn put_back(&mut self, n: u64) {
        if self.using.remove(&n).is_some() {
            self.free.push_back(n);
        }
    }
}

/// Changes as text, in groups that fit a value, `limit` bytes.
pub fn pack(ops: &[Mutation], limit: usize) -> Vec<String> {
    let mut out: Vec<String> = Vec::new();
    pack_more(&mut out, ops, limit);
    out
}

/// Packs more changes behind those that are packed already.
pub fn pack_more(out: &mut Vec<String>, ops: &[Mutation], limit: usize) {
    for op in ops {
        let Ok(text) = serde_json::to_string(op) else {
            continue;
        };
        if text.len() > limit {
            // Lists are split and submissions refused before they come here.
            tracing::error!(bytes = text.len(), "a change that fits no value");
            continue;
        }
        match out.last_mut() {
            Some(last) if last.len() + 1 + text.len() <= limit => {
                last.push(',');
                last.push_str(&text);
            }
            _ => out.push(text),
        }
    }
}

/// An entry, or a chunk, from packed changes.
pub fn value(before: u64, packed: &str) -> Option<Box<RawValue>> {
    RawValue::from_string(format!(r#"{{"p":{before},"o":[{packed}]}}"#)).ok()
}

impl Controller {
    /// Bytes of changes that one value holds, its frame left out.
    pub fn packed_limit(&self) -> usize {
        let kb = self.settings.site.store.value_kb.clamp(1.0, 48.0);
        (kb * 1024.0) as usize - 64
    }

    /// A submission whose record would fit no value is refused before it is accepted.
    pub fn fits_a_value(&self, spec: &JobSpec) -> Result<(), String> {
        let op = Mutation::Submit(Arc::new(spec.clone()), u64::MAX);
        let size = serde_json::to_string(&op).map_or(0, |t| t.len());
        match size > self.packed_limit() {
            true => Err("its lists are too long".into()),
            false => Ok(()),
        }
    }

    /// Appends changes to the log under conditions, and waits until they are in
    /// the view: only there it shows which of them took effect.
    pub async fn append(
        &self,
        conditions: &[(String, u64)],
        ops: &[Mutation],
        whom: WritePriority,
    ) -> CommitOutcome {
        let mut last = CommitOutcome::Committed(0);
        let mut packed = pack(ops, self.packed_limit()).into_iter().peekable();
        while packed.peek().is_some() {
            let mut txn = Transaction::default();
            for (key, version) in conditions {
                txn = txn.expect_version(key, *version);
            }
            let mut used = Vec::new();
            let mut size = 0;
            while let Some(text) = packed.next() {
                size += text.len();
                let (n, before) = lock(&self.entry_keys).take(&self.view(), self.member());
                used.push(n);
                let key = entry_key(self.member(), n);
                txn = txn.expect_version(&key, before);
                txn.writes.push(Write {
                    put: Some(key),
                    value: value(before, &text),
                    ..Write::default()
                });
                let next = packed.peek().map_or(0, String::len);
                if txn.writes.len() >= self.settings.site.store.txn_ops || size + next > TRANSACTION
                {
                    break;
                }
            }
            last = self.commit(txn, whom).await;
            match &last {
                CommitOutcome::Committed(revision) => {
                    if !self
                        .wait_for_revision(*revision, self.timing.round * 4)
                        .await
                    {
                        return CommitOutcome::Unanswered(Error::Unanswered("not seen yet".into()));
                    }
                }
                CommitOutcome::Unanswered(_) => return last,
                _ => {
                    let mut slots = lock(&self.entry_keys);
                    used.into_iter().for_each(|n| slots.put_back(n));
                    return last;
                }
            }
        }
        last
    }
}

/// A user's change, and who waits for what becomes of it.
pub type PendingWrite = (Mutation, oneshot::Sender<CommitOutcome>);

/// Users' changes that arrive while a commit is under way go into the next one
/// together. Each is answered when it is committed; what the budget can't take
/// is refused at once.
pub async fn users_loop(node: Arc<Controller>, mut asked: mpsc::Receiver<PendingWrite>) {
    let nodes = 1.0 + node.settings.peers.len() as f64;
    let gap = Duration::from_secs_f64(0.5 * nodes / node.settings.site.store.write_rps);
    let mut held: Option<PendingWrite> = None;
    loop {
        let first = match held.take() {
            Some(first) => first,
            None => match asked.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        sleep(gap).await;
        let size = |op: &Mutation| serde_json::to_string(op).map_or(0, |t| t.len());
        let mut bytes = size(&first.0);
        let (mut ops, mut waiting) = (vec![first.0], vec![first.1]);
        // One transaction's worth, so that all have the same fate.
        while let Ok((op, tell)) = asked.try_recv() {
            bytes += size(&op);
            if bytes > TRANSACTION / 2 {
                held = Some((op, tell));
                break;
            }
            ops.push(op);
            waiting.push(tell);
        }
        let mut outcome = node.append(&[], &ops, WritePriority::UserRequest).await;
        for _ in 0..3 {
            if !matches!(outcome, CommitOutcome::Conflict) {
                break;
            }
            // Another entry had the key first.
            node.linearizable_read(node.timing.round / 2).await;
            outcome = node.append(&[], &ops, WritePriority::UserRequest).await;
        }
        for tell in waiting {
            let _ = tell.send(outcome.clone());
        }
    }
}
