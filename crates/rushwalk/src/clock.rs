//! The time of day; simulations use virtual time instead.

use rushwalk_state::UnixMillis;
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The time of day at which virtual time begins, in milliseconds since the Unix epoch.
const VIRTUAL_EPOCH_MS: UnixMillis = 1_000_000;

thread_local! {
    /// When virtual time began on this thread; `None` if the thread uses real time.
    static VIRTUAL_SINCE: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Switches this thread to virtual time for the rest of its life: its time of day follows the clock
/// of its runtime, which may be paused. Also seeds the thread's random numbers with `seed`.
pub fn use_virtual_time(seed: u64) {
    VIRTUAL_SINCE.set(Some(Instant::now()));
    rushwalk_random::seed(seed);
}

/// Whether this thread uses virtual time.
pub fn is_virtual() -> bool {
    VIRTUAL_SINCE.get().is_some()
}

/// The time of day in milliseconds since the Unix epoch; virtual on threads that called
/// [`use_virtual_time`].
pub fn now_ms() -> UnixMillis {
    if let Some(began) = VIRTUAL_SINCE.get() {
        return VIRTUAL_EPOCH_MS + began.elapsed().as_millis() as UnixMillis;
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as UnixMillis)
}
