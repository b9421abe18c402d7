//! How the replica follows the store: a listing, then long polls, and reads on demand.

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

/// Reads in flight at once, if they take long.
const MAX_READS: usize = 4;

/// How long a watch waits for a change when the replica has only to catch up.
const CATCH_UP_WAIT: Duration = Duration::from_millis(100);

/// HTTP 410: the store no longer has the changes from where a watch would begin.
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
            tracing::warn!("watch gap: relisting");
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
            // More than can be held at once: a listing comes in pages.
            Err(Error::ResponseTooLarge) => listed = false,
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                sleep(round / 4).await;
            }
        }
    }
}

/// Lists the whole store: at the start, and when a watch can't continue.
async fn list(replica: &Replica, work_profile: &WorkProfile) -> Result<(), Error> {
    let sent = Instant::now();
    let listing = list_pages(replica).await?;
    // Changes during the listing come again with the watch from its start, and in their
    // order. So the new state is made beside the old one, and takes its place once it has
    // passed all that the listing may have shown.
    let timer = work_profile.start(WorkKind::List);
    let listed = ClusterState::from_listing(listing.entries, listing.first_revision, now_ms());
    drop(timer);
    let mut state = listed.map_err(|error| Error::Unanswered(error.to_string()))?;
    let mut target = listing.last_revision.max(replica.state().revision);
    loop {
        catch_up(replica, &mut state, target).await?;
        // Reads for users may have brought the old state further meanwhile.
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

/// Reads all pages of a listing.
struct Listing {
    entries: Vec<KeyValue>,
    first_revision: Revision,
    last_revision: Revision,
}

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

/// Applies changes to a state beside the replica's until it has reached `target`.
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
        return Err(Error::Unanswered("changes were missed".into()));
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
    // Nobody is answered from a state that misses a change: it is listed anew.
    if is_complete {
        replica.record_read(sent);
    } else {
        replica.notify_changed();
    }
}

/// Reads the store when a linearizable read is requested; one cheap read serves all requests.
pub(crate) async fn read_loop(replica: Arc<Replica>, work_profile: Arc<WorkProfile>) {
    let context = &replica.context;
    // The reads of all controllers together take at most a third of the store's budget.
    let gap_s = 3.0 * context.controllers() as f64 / context.settings.site.store.rps;
    let gap = Duration::from_secs_f64(gap_s);
    let permits = Arc::new(Semaphore::new(MAX_READS));
    loop {
        replica.read_requested.notified().await;
        if !replica.has_been_read() {
            sleep(gap).await;
            continue;
        }
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (reader, profile) = (replica.clone(), work_profile.clone());
        let mut read = tokio::spawn(async move {
            read_once(&reader, &profile, gap).await;
            drop(permit);
        });
        // A slow read does not delay the requests that come after it was sent: further
        // reads begin in the meantime.
        let _ = timeout(context.timing.round / 8, &mut read).await;
        sleep(gap).await;
    }
}

async fn read_once(replica: &Replica, work_profile: &WorkProfile, gap: Duration) {
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
            sleep(gap * 4).await;
            replica.read_requested.notify_one();
        }
    }
}
