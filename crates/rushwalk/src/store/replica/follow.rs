//! How the replica follows the store: it lists all keys, then watches for changes by long
//! polls, and reads on demand.

use super::Replica;
use crate::clock::now_ms;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use rushwalk_clients::Error;
use rushwalk_protocol::store::{KeyValue, WatchResponse};
use rushwalk_state::{ClusterState, Revision, keys};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};

/// The maximum number of concurrent reads on demand.
const MAX_READS: usize = 4;

/// How long a watch waits for a change while a newly listed state catches up.
const CATCH_UP_WAIT: Duration = Duration::from_millis(100);

/// HTTP 410: the store no longer has the changes after the revision that the watch begins at.
const GONE: u16 = 410;

/// Follows the store by long polls until the process ends.
pub(crate) async fn watch_loop(replica: Arc<Replica>, work_profile: Arc<WorkProfile>) {
    let round = replica.context.timing.round;
    let mut listed = false;
    loop {
        if !listed {
            match list(&replica, &work_profile).await {
                Ok(()) => listed = true,
                Err(error) => {
                    tracing::debug!(%error, "listing failed");
                    sleep(round / 3).await;
                    continue;
                }
            }
        }
        let (since, has_gap) = {
            let state = replica.state();
            (state.revision, state.has_gap)
        };
        if has_gap {
            tracing::warn!("watch missed changes; listing the store again");
            listed = false;
            continue;
        }
        let sent = Instant::now();
        let call = replica
            .client
            .watch(keys::ROOT, since, round * 2, round * 4);
        match call.await {
            Ok(response) => apply(&replica, &work_profile, since, sent, response),
            Err(error) if error.status() == Some(GONE) => listed = false,
            // The changes exceed the size limit of a response; a listing is read in pages.
            Err(Error::ResponseTooLarge) => listed = false,
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(round / 4).await;
            }
        }
    }
}

/// Lists the whole store, at the start and when a watch can't continue, and replaces the
/// replica's state.
async fn list(replica: &Replica, work_profile: &WorkProfile) -> Result<(), Error> {
    let sent = Instant::now();
    let listing = list_pages(replica).await?;
    // Later pages may already contain changes that were made during the listing. A watch from
    // the first page's revision delivers these changes again, in order. The new state is
    // therefore built separately, and replaces the old one once it has reached the last page's
    // revision.
    let timer = work_profile.start(WorkKind::List);
    let listed = ClusterState::from_listing(listing.entries, listing.first_revision, now_ms());
    drop(timer);
    let mut state = listed.map_err(|error| Error::Unanswered(error.to_string()))?;
    let mut target = listing.last_revision.max(replica.state().revision);
    loop {
        catch_up(replica, &mut state, target).await?;
        // Reads on demand may have advanced the old state beyond the new one in the meantime.
        let mut current = replica.state();
        match current.replace_with(state) {
            Ok(()) => break,
            Err(older) => (state, target) = (*older, current.revision),
        }
    }
    tracing::info!(revision = listing.first_revision, "state listed");
    replica.record_read(sent);
    Ok(())
}

/// All keys of the store, with the revisions of the first and the last page.
struct Listing {
    entries: Vec<KeyValue>,
    first_revision: Revision,
    last_revision: Revision,
}

/// Reads all pages of a listing.
async fn list_pages(replica: &Replica) -> Result<Listing, Error> {
    let mut entries = Vec::new();
    let mut after = String::new();
    let mut first_revision = None;
    loop {
        let page = replica.client.list(keys::ROOT, &after).await?;
        let first_revision = *first_revision.get_or_insert(page.revision);
        if let Some(last) = page.entries.last() {
            after = last.key.clone();
        }
        let has_more = page.more && !page.entries.is_empty();
        entries.extend(page.entries);
        if !has_more {
            return Ok(Listing {
                entries,
                first_revision,
                last_revision: page.revision,
            });
        }
    }
}

/// Applies changes to a newly listed state, which is not the replica's yet, until it has
/// reached the revision `target`.
async fn catch_up(
    replica: &Replica,
    state: &mut ClusterState,
    target: Revision,
) -> Result<(), Error> {
    while state.revision < target {
        let since = state.revision;
        let timeout = replica.context.timing.round * 4;
        let call = replica
            .client
            .watch(keys::ROOT, since, CATCH_UP_WAIT, timeout);
        let response = call.await?;
        state
            .apply_watch(since, response, now_ms())
            .map_err(|error| Error::Unanswered(error.to_string()))?;
    }
    if state.has_gap {
        return Err(Error::Unanswered(
            "the watch after the listing missed changes".into(),
        ));
    }
    Ok(())
}

/// Applies a watch's response to the replica.
fn apply(
    replica: &Replica,
    work_profile: &WorkProfile,
    since: Revision,
    sent: Instant,
    response: WatchResponse,
) {
    let mut timer = work_profile.start(WorkKind::Watch);
    timer.add_items(response.events.len());
    let is_complete = {
        let mut state = replica.state();
        state.apply_watch(since, response, now_ms()).is_ok() && !state.has_gap
    };
    drop(timer);
    // No request may be served from a state that has missed a change. Such a read does not count as
    // successful, and the watch loop lists the store again.
    if is_complete {
        replica.record_read(sent);
    } else {
        replica.notify_changed();
    }
}

/// Reads the store on demand. A read is a watch that does not wait for changes; it serves all
/// requests that were made before it is sent.
pub(crate) async fn read_loop(replica: Arc<Replica>, work_profile: Arc<WorkProfile>) {
    let context = &replica.context;
    // The reads of all controllers together use at most a third of the store's request limit.
    let min_interval_s = 3.0 * context.controllers() as f64 / context.settings.site.store.rps;
    let min_interval = Duration::from_secs_f64(min_interval_s);
    let permits = Arc::new(Semaphore::new(MAX_READS));
    loop {
        replica.read_requested.notified().await;
        if !replica.has_been_read() {
            sleep(min_interval).await;
            continue;
        }
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (reader, profile) = (replica.clone(), work_profile.clone());
        let mut read = tokio::spawn(async move {
            read_once(&reader, &profile, min_interval).await;
            drop(permit);
        });
        // A slow read must not delay requests that were made after it was sent, so the next
        // read may begin before this one ends.
        let _ = timeout(context.timing.round / 8, &mut read).await;
        sleep(min_interval).await;
    }
}

async fn read_once(replica: &Replica, work_profile: &WorkProfile, min_interval: Duration) {
    let since = replica.state().revision;
    let sent = Instant::now();
    let timeout = replica.context.timing.round * 2;
    let call = replica
        .client
        .watch(keys::ROOT, since, Duration::ZERO, timeout);
    match call.await {
        Ok(response) => apply(replica, work_profile, since, sent, response),
        Err(error) => {
            tracing::debug!(%error, "read failed");
            sleep(min_interval * 4).await;
            replica.read_requested.notify_one();
        }
    }
}
