//! Keeping the view new, and the member lease and key alive.

use crate::meter::Work;
use crate::node::{For, Node, lock, now_ms};
use crate::view::View;
use rushwalk_clients::Error;
use rushwalk_clients::store::Outcome;
use rushwalk_protocol::records::{self as rec, ROOT};
use rushwalk_protocol::store::{Changes, Transaction};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

/// Reads everything; used at the start and when a watch is too old.
async fn list(node: &Node) -> Result<(), Error> {
    let sent = Instant::now();
    let (mut items, mut since, mut revision) = (Vec::new(), String::new(), None);
    let mut last;
    loop {
        let page = node.state.list(ROOT, &since).await?;
        revision.get_or_insert(page.revision);
        last = page.revision;
        if let Some(last) = page.items.last() {
            since = last.key.clone();
        }
        let more = page.more && !page.items.is_empty();
        items.extend(page.items);
        if !more {
            break;
        }
    }
    // Changes during the listing come again with the watch from its start, and
    // in their order. So the new view is made beside the old one, and takes its
    // place once it has passed all that the listing may have shown.
    let revision = revision.unwrap_or(0);
    let mut last = last.max(node.view().revision);
    let turn = node.meter.turn(Work::List);
    let listed = View::listed(items, revision, now_ms());
    drop(turn);
    let Some(mut view) = listed else {
        return Err(Error::Unknown("the snapshot was replaced meanwhile".into()));
    };
    loop {
        while view.revision < last {
            let block = Duration::from_millis(100);
            let since = view.revision;
            let patience = node.times.round * 4;
            let call = node.state.changes(ROOT, since, block, patience);
            view.watch(since, call.await?, now_ms());
        }
        if view.missed {
            return Err(Error::Unknown("changes were missed".into()));
        }
        // Fresh reads for users may have brought the old one further meanwhile.
        let mut old = node.view();
        match old.replace(view) {
            Ok(()) => break,
            Err(back) => (view, last) = (*back, old.revision),
        }
    }
    tracing::info!(revision, "view listed");
    synced(node, sent);
    Ok(())
}

fn synced(node: &Node, sent: Instant) {
    node.synced
        .modify(|at| *at = Some(at.map_or(sent, |old| old.max(sent))));
    node.poke();
}

/// Takes a watch's answer into the view.
fn take(node: &Node, since: u64, sent: Instant, answer: Changes) {
    let mut turn = node.meter.turn(Work::Watch);
    turn.looked_at(answer.events.len());
    let whole = {
        let mut view = node.view();
        view.watch(since, answer, now_ms()) && !view.missed
    };
    drop(turn);
    // Nobody is answered from a view that lacks a change: it is listed anew.
    match whole {
        true => synced(node, sent),
        false => node.poke(),
    }
}

/// Follows the state service by long polls.
pub async fn watch_loop(node: Arc<Node>) {
    let mut listed = false;
    let block = node.times.round * 2;
    loop {
        if !listed {
            match list(&node).await {
                Ok(()) => listed = true,
                Err(error) => {
                    tracing::debug!(%error, "listing failed");
                    sleep(node.times.round / 3).await;
                    continue;
                }
            }
        }
        let (since, missed) = {
            let view = node.view();
            (view.revision, view.missed)
        };
        if missed {
            tracing::warn!("a change was missed: listing again");
            listed = false;
            continue;
        }
        let sent = Instant::now();
        let patience = node.times.round * 4;
        match node.state.changes(ROOT, since, block, patience).await {
            Ok(answer) => take(&node, since, sent, answer),
            Err(error) if error.status() == Some(410) => listed = false,
            // More than can be held at once: a listing comes in pages.
            Err(Error::TooLarge) => listed = false,
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(node.times.round / 4).await;
            }
        }
    }
}

/// One cheap read serves all requests that wait for a fresh view.
pub async fn fresh_loop(node: Arc<Node>) {
    // The readers of all nodes together take at most a third of the budget.
    let nodes = 1.0 + node.settings.peers.len() as f64;
    let gap = Duration::from_secs_f64(3.0 * nodes / node.settings.site.state.rps);
    let reads = Arc::new(Semaphore::new(READS));
    loop {
        node.fresh_wanted.notified().await;
        if node.synced.get().is_none() {
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
        let _ = tokio::time::timeout(node.times.round / 8, &mut read).await;
        sleep(gap).await;
    }
}

/// Fresh reads under way at once, if they take long.
const READS: usize = 4;

async fn fresh_read(node: &Node, gap: Duration) {
    let since = node.view().revision;
    let sent = Instant::now();
    let call = node
        .state
        .changes(ROOT, since, Duration::ZERO, node.times.round * 2);
    match call.await {
        Ok(answer) => take(node, since, sent, answer),
        Err(error) => {
            tracing::debug!(%error, "fresh read failed");
            sleep(gap * 4).await;
            node.fresh_wanted.notify_one();
        }
    }
}

/// Keeps the member lease and key.
pub async fn member_loop(node: Arc<Node>) {
    let every = node.times.member / 5;
    loop {
        let lease = *lock(&node.member_lease);
        match lease {
            None => match node.state.lease(node.times.member).await {
                Ok(lease) => {
                    *lock(&node.member_lease) = Some(lease);
                    continue;
                }
                Err(error) => tracing::debug!(%error, "no lease"),
            },
            Some(lease) => {
                match node.state.renew(lease, every * 2).await {
                    Ok(()) => {}
                    Err(error) if error.status() == Some(404) => {
                        tracing::info!("member lease ended");
                        *lock(&node.member_lease) = None;
                        continue;
                    }
                    Err(error) => tracing::debug!(%error, "lease not renewed"),
                }
                if node.synced.get().is_some() {
                    register(&node, lease).await;
                    if !node.registered() {
                        // Its earlier process's key was in the way, and ended just
                        // then.
                        node.fresh(node.times.round / 2).await;
                        sleep(every / 8).await;
                        continue;
                    }
                }
            }
        }
        sleep(every).await;
    }
}

async fn register(node: &Node, lease: u64) {
    let key = rec::member_key(node.me());
    if node.registered() {
        return;
    }
    let txn = {
        let view = node.view();
        let before = view.members.get(node.me());
        if let Some(before) = before.filter(|m| m.nonce != node.nonce) {
            let soon = now_ms() < before.since_ms + node.times.member.as_millis() as u64;
            node.comes_and_goes.store(soon, Ordering::Relaxed);
        }
        let member = rec::Member {
            zone: node.settings.zone.clone(),
            nonce: node.nonce,
            since_ms: now_ms(),
        };
        Transaction::default()
            .when(&key, view.version(&key))
            .put_leased(&key, &member, lease)
    };
    match node.commit(txn, For::Order).await {
        Outcome::NoLease => *lock(&node.member_lease) = None,
        Outcome::Done(revision) => {
            node.reached(revision, node.times.round * 2).await;
        }
        _ => {}
    }
}
