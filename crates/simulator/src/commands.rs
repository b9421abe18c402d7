//! The program's subcommands, and what they share.

pub(crate) mod detector_sweep;
pub(crate) mod failover;
pub(crate) mod search;

use std::num::ParseFloatError;

/// Result of checking the invariants over all runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// All hold.
    Passed,
    /// Some were violated.
    Violated,
}

impl CheckResult {
    fn from_passed(passed: bool) -> CheckResult {
        if passed {
            CheckResult::Passed
        } else {
            CheckResult::Violated
        }
    }
}

/// Why a number on the command line is refused.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NumberError {
    /// It is no number.
    #[error("not a number")]
    NotANumber(#[from] ParseFloatError),
    /// It is outside the range of a restart delay.
    #[error("not from 0 to 60")]
    RestartDelay,
    /// It is outside the range of simulated hours.
    #[error("not above 0 and up to 100000")]
    Hours,
}

/// Writes the controllers' log to standard error.
fn init_controller_log() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}
