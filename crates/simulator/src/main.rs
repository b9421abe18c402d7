//! `rushwalk-simulator`: simulates failures of controllers on virtual time.

mod commands;
mod parallel;
mod quantiles;

use clap::{Parser, Subcommand};
use commands::{detector_sweep, failover, search};
use std::process::ExitCode;

/// Simulates failures of controllers on virtual time, on a simulated platform, and measures
/// their effects. Without a subcommand, measures crashes of the leader of three controllers.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Measure failovers of complete controllers that schedule jobs on simulated machines.
    Failover(failover::FailoverArgs),
    /// Search for violated invariants with random combinations of faults.
    Search(search::SearchArgs),
    /// Measure the false positives and the time to detection of the failure detector alone.
    DetectorSweep(detector_sweep::DetectorSweepArgs),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        None => failover::run(&failover::FailoverArgs::defaults()),
        Some(Command::Failover(args)) => failover::run(&args),
        Some(Command::Search(args)) => search::run(&args),
        Some(Command::DetectorSweep(args)) => detector_sweep::run(&args),
    };
    match result {
        Ok(commands::CheckResult::Passed) => ExitCode::SUCCESS,
        Ok(commands::CheckResult::Violated) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("rushwalk-simulator: {error}");
            ExitCode::from(2)
        }
    }
}
