//! `detector-sweep`: measures false positives and the time to detection of the failure detector
//! with several thresholds.

use super::{CheckResult, NumberError};
use crate::parallel;
use crate::quantiles::format_quantiles;
use clap::Args;
use rushwalk_failure_detector::DetectorConfig;
use rushwalk_simulator::SimulatorError;
use rushwalk_simulator::detector_model::{
    ErrorCounts, FailureMode, Network, simulate_healthy, time_to_detection,
};
use rushwalk_simulator::plot::{Series, cumulative_distributions};
use std::path::PathBuf;

/// Options of `detector-sweep`: the size of the cluster, its faults and the extent of the sweep.
#[derive(Args, Clone)]
pub(crate) struct DetectorSweepArgs {
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(2..=16))]
    controllers: u16,
    /// Simulated hours for each pair of thresholds, summed over the controllers.
    #[arg(long, default_value_t = 120.0, value_parser = parse_hours)]
    hours: f64,
    /// Share of heartbeats that are lost, 0 to 0.9.
    #[arg(long, default_value_t = 0.02)]
    loss: f64,
    /// The longest pause of a controller, in seconds.
    #[arg(long, default_value_t = 3.0)]
    pause: f64,
    /// Mean time from the end of a controller's pause to its next one, in seconds.
    #[arg(long, default_value_t = 300.0)]
    pause_each: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write an SVG file with the distributions of the time to detection.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn parse_hours(text: &str) -> Result<f64, NumberError> {
    let hours: f64 = text.parse()?;
    if hours > 0.0 && hours <= 100_000.0 {
        Ok(hours)
    } else {
        Err(NumberError::Hours)
    }
}

/// Number of detection runs for each pair of thresholds and failure mode, each with its own seed.
const DETECTION_RUNS: u64 = 200;
/// Number of runs into which the simulated hours of each pair of thresholds are divided, each
/// with its own seed.
const HEALTHY_RUNS: u64 = 32;

/// The thresholds of the failure detector, which the sweep varies.
#[derive(Clone, Copy)]
struct Thresholds {
    /// φ above which a peer is suspected as unresponsive.
    phi: f64,
    /// Number of consecutive heartbeats that a peer's port must refuse before the peer is
    /// suspected.
    refusals: u32,
}

impl Thresholds {
    const fn new(phi: f64, refusals: u32) -> Thresholds {
        Thresholds { phi, refusals }
    }

    fn label(&self, mode: &str) -> String {
        format!("phi {}, {} refusals, {mode}", self.phi, self.refusals)
    }

    /// A configuration with these thresholds. All intervals are those that a controller derives
    /// from worker heartbeats every 3 s and a worker lease of 40 s.
    fn detector_config(&self, controllers: usize) -> DetectorConfig {
        DetectorConfig {
            heartbeat_s: 1.0 / 3.0 * (controllers as f64 - 1.0).max(4.0) / 4.0,
            round_s: 1.0,
            member_lease_s: 40.0 / 7.0,
            worker_lease_s: 40.0,
            phi_threshold: self.phi,
            refusal_threshold: self.refusals,
        }
    }
}

/// The thresholds that are compared.
const SWEEP: [Thresholds; 6] = [
    Thresholds::new(4.0, 1),
    Thresholds::new(4.0, 2),
    Thresholds::new(8.0, 1),
    Thresholds::new(8.0, 2),
    Thresholds::new(8.0, 3),
    Thresholds::new(12.0, 2),
];

/// Measurements with one pair of thresholds.
struct SweepResult {
    thresholds: Thresholds,
    errors: ErrorCounts,
    /// Times to detection of a controller whose host refuses connections, in seconds. Failures
    /// that were not detected are left out.
    refusing_detection_s: Vec<f64>,
    /// Times to detection of a controller whose host does not respond, in seconds. Failures that
    /// were not detected are left out.
    silent_detection_s: Vec<f64>,
}

/// Runs the subcommand.
///
/// # Errors
/// If the plot can't be written.
pub(crate) fn run(args: &DetectorSweepArgs) -> Result<CheckResult, SimulatorError> {
    let network = args.network();
    print_header(args, &network);
    let mut series = Vec::new();
    for thresholds in SWEEP {
        let result = args.measure(&network, thresholds);
        println!("{}", result.table_row());
        series.extend(result.into_series());
    }
    if let Some(path) = &args.plot {
        cumulative_distributions(path, "Time until declared failed", &series)?;
    }
    Ok(CheckResult::Passed)
}

fn print_header(args: &DetectorSweepArgs, network: &Network) {
    println!(
        "{} controllers, {:.1}% of heartbeats lost, a pause of up to {} s each {} s; {} \
         controller-hours a setting\n",
        network.controllers,
        network.loss_share * 100.0,
        network.pause_max_s,
        network.mean_time_between_pauses_s,
        args.hours
    );
    println!(
        "{:>4} {:>9}  {:24} {:30} {:18} {:18}",
        "phi",
        "refusals",
        "suspicions an hour",
        "false failures an hour (95%)",
        "refuses: failed",
        "silent: failed"
    );
}

impl DetectorSweepArgs {
    fn network(&self) -> Network {
        Network {
            controllers: usize::from(self.controllers),
            loss_share: self.loss.clamp(0.0, 0.9),
            slow_share: 0.05,
            slow_max_s: 0.5,
            mean_time_between_pauses_s: self.pause_each.max(1.0),
            pause_max_s: self.pause.max(0.001),
        }
    }

    fn seeds(&self, runs: u64) -> Vec<u64> {
        (0..runs).map(|run| self.seed + run).collect()
    }

    fn measure(&self, network: &Network, thresholds: Thresholds) -> SweepResult {
        let config = thresholds.detector_config(network.controllers);
        let hours = self.hours / network.controllers as f64 / HEALTHY_RUNS as f64;
        let healthy_runs = parallel::map(usize::MAX, &self.seeds(HEALTHY_RUNS), |seed| {
            simulate_healthy(network, &config, hours, *seed)
        });
        let mut errors = ErrorCounts::default();
        healthy_runs.iter().for_each(|run| errors.add(run));
        let detection_times_s = |mode: FailureMode| {
            let times_s = parallel::map(usize::MAX, &self.seeds(DETECTION_RUNS), |seed| {
                time_to_detection(network, &config, mode, *seed)
            });
            times_s.into_iter().flatten().collect()
        };
        SweepResult {
            thresholds,
            errors,
            refusing_detection_s: detection_times_s(FailureMode::Refuses),
            silent_detection_s: detection_times_s(FailureMode::Silent),
        }
    }
}

impl SweepResult {
    fn table_row(&self) -> String {
        let Thresholds { phi, refusals } = self.thresholds;
        let rate = self.errors.false_positive_rate();
        format!(
            "{phi:>4} {refusals:>9}  {:<24.2} {:30} {} {}",
            self.errors.suspicions_per_hour(),
            format!("{:.4} ({:.4} to {:.4})", rate.per_hour, rate.low, rate.high),
            format_quantiles(self.refusing_detection_s.iter().copied()),
            format_quantiles(self.silent_detection_s.iter().copied()),
        )
    }

    fn into_series(self) -> [Series; 2] {
        [
            Series {
                name: self.thresholds.label("refuses"),
                values: self.refusing_detection_s,
            },
            Series {
                name: self.thresholds.label("silent"),
                values: self.silent_detection_s,
            },
        ]
    }
}
