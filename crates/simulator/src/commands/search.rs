//! `search`: runs random combinations of faults. A combination that violates an invariant is
//! reduced to fewer faults.

use super::{CheckResult, init_controller_log};
use crate::parallel;
use clap::{Args, ValueEnum};
use rushwalk_simulator::SimulatorError;
use rushwalk_simulator::fault_search::{
    FaultKind, FaultSchedule, SearchOutcome, run as run_schedule, run_with_events,
};
use rushwalk_simulator::virtual_time::run_on_virtual_time;

/// Options of `search`: which faults are drawn, the seeds and the output.
#[derive(Args, Clone)]
pub(crate) struct SearchArgs {
    /// Number of faults in each run.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=8))]
    faults: u16,
    /// Draw only this kind of fault; may be given several times.
    #[arg(long, value_enum)]
    only: Vec<FaultKind>,
    /// Number of simulated runs, each with its own seed.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    days: u32,
    /// Seed of the first run; each further run increments it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Limit on the size of a value in the store, in KB; at least 1.
    #[arg(long)]
    value_kb: Option<f64>,
    /// Print the outcome of each run as one line of JSON.
    #[arg(long)]
    json: bool,
    /// Print the controllers' log to standard error; the runs then execute one at a time.
    #[arg(long)]
    log: bool,
    /// Print the events of each run to standard error, one line each: user requests with their
    /// responses, commits, and starts and ends of tasks; the runs then execute one at a time.
    #[arg(long)]
    events: bool,
}

impl SearchArgs {
    fn schedules(&self) -> Vec<FaultSchedule> {
        let kinds = if self.only.is_empty() {
            FaultKind::value_variants()
        } else {
            &self.only
        };
        let seeds = (0..u64::from(self.days)).map(|run| self.seed + run);
        seeds
            .map(|seed| {
                let schedule = FaultSchedule::draw(seed, usize::from(self.faults), kinds);
                FaultSchedule {
                    value_kb: self.value_kb.unwrap_or(schedule.value_kb),
                    ..schedule
                }
            })
            .collect()
    }

    /// The limit of threads: one thread if logs or events are printed, because the output of
    /// parallel runs would be interleaved; no limit otherwise.
    fn max_threads(&self) -> usize {
        if self.log || self.events {
            1
        } else {
            usize::MAX
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
/// If a runtime can't be created, or an outcome can't be written as JSON.
pub(crate) fn run(args: &SearchArgs) -> Result<CheckResult, SimulatorError> {
    if args.log {
        init_controller_log();
    }
    let outcomes = parallel::map(args.max_threads(), &args.schedules(), |schedule| {
        let recorded = run_on_virtual_time(run_with_events(schedule, args.events))?;
        recorded.events.iter().for_each(|line| eprintln!("{line}"));
        Ok::<_, SimulatorError>(recorded.outcome)
    });
    let outcomes: Vec<SearchOutcome> = outcomes.into_iter().collect::<Result<_, _>>()?;
    if args.json {
        for outcome in &outcomes {
            println!("{}", serde_json::to_string(outcome)?);
        }
    }
    let violated: Vec<_> = (outcomes.iter())
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    for outcome in &violated {
        let reduced = reduce_faults((*outcome).clone())?;
        let seed = outcome.schedule.seed;
        println!("seed {seed}: {}", serde_json::to_string(&reduced)?);
    }
    let longest_cancellation_s = outcomes
        .iter()
        .map(|outcome| outcome.longest_cancellation_s)
        .fold(0.0, f64::max);
    println!(
        "{} runs from seed {}, {} with a violated invariant; a cancelled job's last task ended after {:.1} s at most",
        outcomes.len(),
        args.seed,
        violated.len(),
        longest_cancellation_s
    );
    Ok(CheckResult::from_passed(violated.is_empty()))
}

/// Removes faults one at a time while the remaining ones still violate an invariant. Returns the
/// outcome of the last such run.
fn reduce_faults(mut outcome: SearchOutcome) -> Result<SearchOutcome, SimulatorError> {
    while let Some(reduced) = violation_with_one_fault_fewer(&outcome.schedule)? {
        outcome = reduced;
    }
    Ok(outcome)
}

/// Runs the schedule without each of its faults in turn. Returns the outcome of the first run that
/// still violates an invariant; `None` if no run does, or if the schedule has only one fault.
fn violation_with_one_fault_fewer(
    schedule: &FaultSchedule,
) -> Result<Option<SearchOutcome>, SimulatorError> {
    if schedule.events.len() <= 1 {
        return Ok(None);
    }
    for index in 0..schedule.events.len() {
        let outcome = run_on_virtual_time(run_schedule(&schedule.without(index)))?;
        if !outcome.violations.is_empty() {
            return Ok(Some(outcome));
        }
    }
    Ok(None)
}
