//! `rushwalk-simulator`: controllers and their failures on virtual time.

mod commands;
mod parallel;
mod quantiles;

use clap::{Parser, Subcommand};
use commands::{detector_sweep, failover, search};
use std::process::ExitCode;

/// Fails controllers against a simulated platform, on virtual time, and measures what it
/// costs. Without a subcommand: the leader of three controllers crashes.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Measure failovers of whole controllers with machines and jobs.
    Failover(failover::FailoverArgs),
    /// Run random combinations of faults, to find violated invariants.
    Search(search::SearchArgs),
    /// Measure the failure detector alone: false positives beside the time to detection.
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
