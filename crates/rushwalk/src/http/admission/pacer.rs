//! How many connections are admitted in one pass of the event loop.

use std::time::Duration;

/// Adapts the number of connections admitted in a pass to how long passes take: the number is
/// halved after a pass over the limit and raised by one after any other.
pub(super) struct AdmissionPacer {
    pass_limit: Duration,
    /// Maximum number of connections that the current pass may admit.
    per_pass: usize,
    /// Number of connections that the current pass has admitted.
    admitted: usize,
}

impl AdmissionPacer {
    const MAX_PER_PASS: usize = 64;

    pub(super) fn new(pass_limit: Duration) -> AdmissionPacer {
        AdmissionPacer {
            pass_limit,
            per_pass: AdmissionPacer::MAX_PER_PASS,
            admitted: 0,
        }
    }

    /// Counts one more admitted connection; `false` if the current pass may admit no more.
    pub(super) fn try_admit(&mut self) -> bool {
        if self.admitted >= self.per_pass {
            return false;
        }
        self.admitted += 1;
        true
    }

    /// Begins the next pass after one that took `duration`, and adapts the number of connections.
    pub(super) fn finish_pass(&mut self, duration: Duration) {
        self.admitted = 0;
        self.per_pass = if duration > self.pass_limit {
            (self.per_pass / 2).max(1)
        } else {
            (self.per_pass + 1).min(AdmissionPacer::MAX_PER_PASS)
        };
    }
}
