//! The time of day, which the simulator replaces by virtual time.

use rushwalk_state::UnixMillis;
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The time of day at which virtual time begins.
const VIRTUAL_EPOCH_MS: UnixMillis = 1_000_000;

thread_local! {
    /// On threads whose time is virtual, when it began.
    static VIRTUAL_SINCE: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// From now on the time of day on this thread follows its runtime's clock, which may be
/// paused, and its random numbers follow from a seed.
pub fn use_virtual_time(seed: u64) {
    VIRTUAL_SINCE.set(Some(Instant::now()));
    rushwalk_random::seed(seed);
}

/// Whether this thread's time is virtual.
pub fn is_virtual() -> bool {
    VIRTUAL_SINCE.get().is_some()
}

/// The time of day.
pub fn now_ms() -> UnixMillis {
    if let Some(began) = VIRTUAL_SINCE.get() {
        return VIRTUAL_EPOCH_MS + began.elapsed().as_millis() as UnixMillis;
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as UnixMillis)
}
