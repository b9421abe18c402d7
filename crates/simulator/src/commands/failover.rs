//! `failover`: measures failover scenarios in several runs each.

use super::{CheckResult, NumberError, init_controller_log};
use crate::parallel;
use crate::quantiles::format_quantiles;
use clap::{Args, Parser};
use rushwalk_simulator::SimulatorError;
use rushwalk_simulator::failover::{self, FailoverMeasurements, FailoverScenario};
use rushwalk_simulator::plot::{Series, cumulative_distributions};
use rushwalk_simulator::value_name::value_name;
use rushwalk_simulator::virtual_time::run_on_virtual_time;
use std::path::{Path, PathBuf};

/// Options of `failover`: the scenarios, the size of the cluster, the seeds and the output.
#[derive(Args, Clone)]
pub(crate) struct FailoverArgs {
    /// The failure to simulate; may be given several times.
    #[arg(long = "failure", value_name = "FAILURE", value_enum, default_values = ["crash"])]
    scenarios: Vec<FailoverScenario>,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(2..=16))]
    controllers: u16,
    /// Seconds after which a crashed controller is restarted, 0 to 60; may be given several
    /// times.
    #[arg(long = "restart-after", value_name = "RESTART_AFTER", default_values_t = [4.0],
        value_parser = parse_restart_delay)]
    restart_delays_s: Vec<f64>,
    /// Number of runs for each failure and restart delay, each with its own seed.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    runs: u32,
    /// Seed of the first run; each further run increments it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the measurements of each run as one line of JSON.
    #[arg(long)]
    json: bool,
    /// Print the controllers' log to standard error; the runs then execute one at a time.
    #[arg(long)]
    log: bool,
    /// Write an SVG file with the distribution, for each failure, of the longest time without a
    /// scheduling round.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn parse_restart_delay(text: &str) -> Result<f64, NumberError> {
    let seconds: f64 = text.parse()?;
    if (0.0..=60.0).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(NumberError::RestartDelay)
    }
}

/// A scenario with a restart delay; each makes one row of the table.
#[derive(Clone, Copy)]
struct Case {
    scenario: FailoverScenario,
    /// Delay until a crashed controller is restarted, in seconds.
    restart_s: f64,
}

impl Case {
    /// Whether `run` is one of this case's runs.
    fn includes(&self, run: &FailoverMeasurements) -> bool {
        run.scenario == self.scenario && run.restart_s == self.restart_s
    }
}

/// One run of a case.
struct SeededCase {
    case: Case,
    seed: u64,
}

impl FailoverArgs {
    /// The default values of all options.
    pub(crate) fn defaults() -> FailoverArgs {
        #[derive(Parser)]
        struct Defaults {
            #[command(flatten)]
            args: FailoverArgs,
        }
        Defaults::parse_from(["rushwalk-simulator"]).args
    }

    fn cases(&self) -> Vec<Case> {
        let cases_of_scenario = |scenario: FailoverScenario| {
            let delays_s = self.restart_delays_s.iter();
            delays_s.map(move |restart_s| Case {
                scenario,
                restart_s: *restart_s,
            })
        };
        let scenarios = self.scenarios.iter().copied();
        scenarios.flat_map(cases_of_scenario).collect()
    }

    /// All runs: those of a case follow each other, in the order of their seeds.
    fn seeded_cases(&self, cases: &[Case]) -> Vec<SeededCase> {
        let runs_of_case = |case: Case| {
            let seeds = (0..u64::from(self.runs)).map(|run| self.seed + run);
            seeds.map(move |seed| SeededCase { case, seed })
        };
        cases.iter().copied().flat_map(runs_of_case).collect()
    }
}

/// Runs the subcommand.
///
/// # Errors
/// If a runtime can't be created, or a result can't be written.
pub(crate) fn run(args: &FailoverArgs) -> Result<CheckResult, SimulatorError> {
    let controllers = usize::from(args.controllers);
    let cases = args.cases();
    if args.log {
        init_controller_log();
    }
    let max_threads = if args.log { 1 } else { usize::MAX };
    let runs = parallel::map(max_threads, &args.seeded_cases(&cases), |seeded| {
        let Case {
            scenario,
            restart_s,
        } = seeded.case;
        run_on_virtual_time(failover::run(scenario, controllers, seeded.seed, restart_s))
    });
    let runs: Vec<FailoverMeasurements> = runs.into_iter().collect::<Result<_, _>>()?;
    if args.json {
        for run in &runs {
            println!("{}", serde_json::to_string(run)?);
        }
    } else {
        print_table(args, &cases, &runs);
    }
    if let Some(path) = &args.plot {
        plot_round_gaps(path, &args.scenarios, &runs)?;
    }
    let passed = runs.iter().all(|run| run.violations.is_empty());
    Ok(CheckResult::from_passed(passed))
}

fn print_table(args: &FailoverArgs, cases: &[Case], runs: &[FailoverMeasurements]) {
    println!(
        "{} controllers, {} machines, {} runs of each failure; seconds as median, 95%, most\n",
        args.controllers,
        failover::MACHINES,
        args.runs
    );
    println!(
        "{:18} {:>5} {:18} {:18} {:18} {:18} {:>8} {:>12} {:>7} {:>7}",
        "failure",
        "back",
        "without a round",
        "until suspected",
        "declared failed",
        "machines owned",
        "leaders",
        "shards moved",
        "false",
        "broken"
    );
    for case in cases {
        println!("{}", table_row(*case, runs));
    }
    for run in runs.iter().filter(|run| !run.violations.is_empty()) {
        println!("seed {}: {:?}", run.seed, run.violations);
    }
}

fn table_row(case: Case, runs: &[FailoverMeasurements]) -> String {
    let runs: Vec<_> = runs.iter().filter(|run| case.includes(run)).collect();
    let max = |count: fn(&FailoverMeasurements) -> usize| {
        let counts = runs.iter().map(|run| count(run));
        counts.max().unwrap_or(0)
    };
    let sum = |count: fn(&FailoverMeasurements) -> usize| -> usize {
        runs.iter().map(|run| count(run)).sum()
    };
    let recovery_s = runs.iter().flat_map(|run| &run.machine_recovery_s).copied();
    let unrecovered = match sum(|run| run.unrecovered_machines) {
        0 => String::new(),
        machines => format!("+{machines}"),
    };
    format!(
        "{:18} {:>5} {} {} {} {}{unrecovered} {:>8} {:>7} of {:<2} {:>5} {:>7}",
        value_name(&case.scenario),
        case.restart_s,
        format_quantiles(runs.iter().map(|run| run.longest_round_gap_s)),
        format_quantiles(runs.iter().filter_map(|run| run.suspected_s)),
        format_quantiles(runs.iter().filter_map(|run| run.declared_failed_s)),
        format_quantiles(recovery_s),
        max(|run| run.leaders),
        max(|run| run.shard_moves),
        max(|run| run.shards),
        sum(|run| run.false_positives),
        sum(|run| run.violations.len()),
    )
}

fn plot_round_gaps(
    path: &Path,
    scenarios: &[FailoverScenario],
    runs: &[FailoverMeasurements],
) -> Result<(), SimulatorError> {
    let series = scenarios.iter().map(|scenario| {
        let runs_of_scenario = runs.iter().filter(|run| run.scenario == *scenario);
        Series {
            name: value_name(scenario),
            values: runs_of_scenario
                .map(|run| run.longest_round_gap_s)
                .collect(),
        }
    });
    let series: Vec<Series> = series.collect();
    cumulative_distributions(path, "Longest time without a scheduling round", &series)
}
