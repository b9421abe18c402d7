//! The program's subcommands, and types that they share.

pub(crate) mod detector_sweep;
pub(crate) mod failover;
pub(crate) mod search;

use std::num::ParseFloatError;

/// Whether the invariants held in all runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// No invariant was violated.
    Passed,
    /// At least one invariant was violated in at least one run.
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

/// Why a number on the command line is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NumberError {
    /// The text is not a number.
    #[error("not a number")]
    NotANumber(#[from] ParseFloatError),
    /// A restart delay in seconds is out of range.
    #[error("must be from 0 to 60")]
    RestartDelay,
    /// A number of simulated hours is out of range.
    #[error("must be above 0 and at most 100000")]
    Hours,
}

/// Makes controllers write their log to standard error, without the time of day.
fn init_controller_log() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}
