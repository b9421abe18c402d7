//! A limit on the number of log lines of one kind.

#[cfg(test)]
mod tests;

use parking_lot::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Length of the intervals in which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Limits the number of log lines of one kind in each second, so that a fault of the whole fleet
/// does not fill the log.
#[derive(Debug)]
pub(crate) struct EventLimiter {
    /// Maximum number of lines in an interval.
    max_lines: u64,
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    interval_began: Instant,
    /// Lines written in this interval.
    written: u64,
    /// Lines left out since the last one that was written.
    omitted: u64,
}

impl EventLimiter {
    /// A limiter that admits `max_lines` lines in each second.
    pub(crate) fn new(max_lines: u64) -> EventLimiter {
        EventLimiter {
            max_lines,
            counts: Mutex::new(Counts {
                interval_began: Instant::now(),
                written: 0,
                omitted: 0,
            }),
        }
    }

    /// The number of lines left out since the last one if another line may be written now; `None`
    /// if it is to be left out as well.
    pub(crate) fn admit(&self) -> Option<u64> {
        let mut counts = self.counts.lock();
        if counts.interval_began.elapsed() >= INTERVAL {
            counts.interval_began = Instant::now();
            counts.written = 0;
        }
        if counts.written >= self.max_lines {
            counts.omitted += 1;
            return None;
        }
        counts.written += 1;
        Some(std::mem::take(&mut counts.omitted))
    }
}
