//! Keeping the view new, and the member lease and key alive.

use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::observability::work_profile::WorkKind;
use crate::view::ClusterState;
use rushwalk_clients::Error;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::records::{self as rec, ROOT};
use rushwalk_protocol::store::{Transaction, WatchResponse};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

/// Reads everything; used at the start and when a watch is too old.
async fn list(node: &Controller) -> Result<(), Error> {
    let sent = Instant::now();
    let (mut items, mut since, mut revision) = (Vec::new(), String::new(), None);
    let mut last;
    loop {
        let page = node.store.list(ROOT, &since).await?;
        revision.get_or_insert(page.revision);
        last = page.revision;
        if let Some(last) = page.entries.last() {
            since = last.key.clone();
        }
        let more = page.more && !page.entries.is_empty();
        items.extend(page.entries);
        if !more {
            break;
        }
    }
    // Changes during the listing come again with the watch from its start, and
    // in their order. So the new view is made beside the old one, and takes its
    // place once it has passed all that the listing may have shown.
    let revision = revision.unwrap_or(0);
    let mut last = last.max(node.view().revision);
    let turn = node.work_profile.start(WorkKind::List);
    let listed = ClusterState::from_listing(items, revision, now_ms());
    drop(turn);
    let Some(mut view) = listed else {
        return Err(Error::Unanswered(
            "the snapshot was replaced meanwhile".into(),
        ));
    };
    loop {
        while view.revision < last {
            let block = Duration::from_millis(100);
            let since = view.revision;
            let patience = node.timing.round * 4;
            let call = node.store.watch(ROOT, since, block, patience);
            view.apply_watch(since, call.await?, now_ms());
        }
        if view.has_gap {
            return Err(Error::Unanswered("changes were missed".into()));
        }
        // Fresh reads for users may have brought the old one further meanwhile.
        let mut old = node.view();
        match old.replace_with(view) {
            Ok(()) => break,
            Err(back) => (view, last) = (*back, old.revision),
        }
    }
    tracing::info!(revision, "view listed");
    synced(node, sent);
    Ok(())
}

fn synced(node: &Controller, sent: Instant) {
    node.last_read_sent
        .update(|at| *at = Some(at.map_or(sent, |old| old.max(sent))));
    node.notify_changed();
}

/// Takes a watch's answer into the view.
fn take(node: &Controller, since: u64, sent: Instant, answer: WatchResponse) {
    let mut turn = node.work_profile.start(WorkKind::Watch);
    turn.add_items(answer.events.len());
    let whole = {
        let mut view = node.view();
        view.apply_watch(since, answer, now_ms()) && !view.has_gap
    };
    drop(turn);
    // Nobody is answered from a view that lacks a change: it is listed anew.
    match whole {
        true => synced(node, sent),
        false => node.notify_changed(),
    }
}

/// Follows the state service by long polls.
pub async fn watch_loop(node: Arc<Controller>) {
    let mut listed = false;
    let block = node.timing.round * 2;
    loop {
        if !listed {
            match list(&node).await {
                Ok(()) => listed = true,
                Err(error) => {
                    tracing::debug!(%error, "listing failed");
                    sleep(node.timing.round / 3).await;
                    continue;
                }
            }
        }
        let (since, missed) = {
            let view = node.view();
            (view.revision, view.has_gap)
        };
        if missed {
            tracing::warn!("a change was missed: listing again");
            listed = false;
            continue;
        }
        let sent = Instant::now();
        let patience = node.timing.round * 4;
        match node.store.watch(ROOT, since, block, patience).await {
            Ok(answer) => take(&node, since, sent, answer),
            Err(error) if error.status() == Some(410) => listed = false,
            // More than can be held at once: a listing comes in pages.
            Err(Error::ResponseTooLarge) => listed = false,
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(node.timing.round / 4).await;
            }
        }
    }
}

/// One cheap read serves all requests that wait for a fresh view.
pub async fn fresh_loop(node: Arc<Controller>) {
    // The readers of all nodes together take at most a third of the budget.
    let nodes = 1.0 + node.settings.peers.len() as f64;
    let gap = Duration::from_secs_f64(3.0 * nodes / node.settings.site.store.rps);
    let reads = Arc::new(Semaphore::new(READS));
    loop {
        node.read_requested.notified().await;
        if node.last_read_sent.get().is_none() {
            sleep(gap).await;
            continue;
        }
        let Ok(permit) = reads.clone().acquire_owned().await else {
            return;
        };
        let reader = node.clone();
        let mut read = tokio::spawn(async move {
            fresh_read(&reader, gap).await;
            drop(permit);
        });
        // Behind a read that takes long nobody has to wait for its end and then as long
        // again: others begin meanwhile.
        let _ = tokio::time::timeout(node.timing.round / 8, &mut read).await;
        sleep(gap).await;
    }
}

/// Fresh reads under way at once, if they take long.
const READS: usize = 4;

async fn fresh_read(node: &Controller, gap: Duration) {
    let since = node.view().revision;
    let sent = Instant::now();
    let call = node
        .store
        .watch(ROOT, since, Duration::ZERO, node.timing.round * 2);
    match call.await {
        Ok(answer) => take(node, since, sent, answer),
        Err(error) => {
            tracing::debug!(%error, "fresh read failed");
            sleep(gap * 4).await;
            node.read_requested.notify_one();
        }
    }
}

/// Keeps the member lease and key.
pub async fn member_loop(node: Arc<Controller>) {
    let every = node.timing.member_lease / 5;
    loop {
        let lease = *lock(&node.member_lease);
        match lease {
            None => match node.store.grant_lease(node.timing.member_lease).await {
                Ok(lease) => {
                    *lock(&node.member_lease) = Some(lease);
                    continue;
                }
                Err(error) => tracing::debug!(%error, "no lease"),
            },
            Some(lease) => {
                match node.store.renew_lease(lease, every * 2).await {
                    Ok(()) => {}
                    Err(error) if error.status() == Some(404) => {
                        tracing::info!("member lease ended");
                        *lock(&node.member_lease) = None;
                        continue;
                    }
                    Err(error) => tracing::debug!(%error, "lease not renewed"),
                }
                if node.last_read_sent.get().is_some() {
                    register(&node, lease).await;
                    if !node.is_registered() {
                        // Its earlier process's key was in the way, and ended just
                        // then.
                        node.linearizable_read(node.timing.round / 2).await;
                        sleep(every / 8).await;
                        continue;
                    }
                }
            }
        }
        sleep(every).await;
    }
}

async fn register(node: &Controller, lease: u64) {
    let key = rec::member_key(node.member());
    if node.is_registered() {
        return;
    }
    let txn = {
        let view = node.view();
        let before = view.members.get(node.member());
        if let Some(before) = before.filter(|m| m.incarnation != node.incarnation) {
            let soon =
                now_ms() < before.registered_ms + node.timing.member_lease.as_millis() as u64;
            node.crash_looping.store(soon, Ordering::Relaxed);
        }
        let member = rec::MemberRecord {
            zone: node.settings.zone.clone(),
            incarnation: node.incarnation,
            registered_ms: now_ms(),
        };
        Transaction::default()
            .expect_version(&key, view.key_version(&key))
            .put_leased(&key, &member, lease)
    };
    match node.commit(txn, WritePriority::Coordination).await {
        CommitOutcome::LeaseExpired => *lock(&node.member_lease) = None,
        CommitOutcome::Committed(revision) => {
            node.wait_for_revision(revision, node.timing.round * 2)
                .await;
        }
        _ => {}
    }
}
