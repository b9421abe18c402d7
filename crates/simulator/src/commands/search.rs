//! `search`: runs random combinations of faults; one that violates an invariant is reduced.

use super::{CheckResult, init_controller_log};
use crate::parallel;
use clap::{Args, ValueEnum};
use rushwalk_simulator::SimulatorError;
use rushwalk_simulator::fault_search::{
    FaultKind, FaultSchedule, SearchOutcome, run as run_schedule, run_with_events,
};
use rushwalk_simulator::virtual_time::run_on_virtual_time;

/// Options of `search`.
#[derive(Args, Clone)]
pub(crate) struct SearchArgs {
    /// Faults a day.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=8))]
    faults: u16,
    /// Draw only these; may be given several times.
    #[arg(long, value_enum)]
    only: Vec<FaultKind>,
    /// Days, each with a seed of its own.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    days: u32,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print each day's outcome as JSON, a line a day.
    #[arg(long)]
    json: bool,
    /// Print the controllers' log to standard error, one day at a time.
    #[arg(long)]
    log: bool,
    /// Print what happened, a line an event, to standard error: users' requests with their
    /// responses, commits, starts and ends of tasks.
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
        let seeds = (0..u64::from(self.days)).map(|day| self.seed + day);
        seeds
            .map(|seed| FaultSchedule::draw(seed, usize::from(self.faults), kinds))
            .collect()
    }

    /// Output of several days at a time would be mixed.
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
/// If no runtime can be created, or an outcome not be written as JSON.
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
        let reduced = reduce((*outcome).clone())?;
        let seed = outcome.schedule.seed;
        println!("seed {seed}: {}", serde_json::to_string(&reduced)?);
    }
    let longest_cancellation_s = outcomes
        .iter()
        .map(|outcome| outcome.longest_cancellation_s)
        .fold(0.0, f64::max);
    println!(
        "{} days from seed {}, {} with a broken rule; a cancelled job's last task was gone after {:.1} s at most",
        outcomes.len(),
        args.seed,
        violated.len(),
        longest_cancellation_s
    );
    Ok(CheckResult::from_passed(violated.is_empty()))
}

/// Leaves out faults one by one for as long as an invariant is still violated.
fn reduce(mut outcome: SearchOutcome) -> Result<SearchOutcome, SimulatorError> {
    while let Some(smaller) = smaller_violation(&outcome.schedule)? {
        outcome = smaller;
    }
    Ok(outcome)
}

/// The first run with one fault less that still violates an invariant.
fn smaller_violation(schedule: &FaultSchedule) -> Result<Option<SearchOutcome>, SimulatorError> {
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
