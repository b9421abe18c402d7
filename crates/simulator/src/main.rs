//! `rushwalk-simulator`: fail controllers on virtual time, and see what it costs.

use clap::{Args, Parser, Subcommand, ValueEnum};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use rushwalk_failure_detector::DetectorConfig;
use rushwalk_simulator::detector_model::{self, End, Hours, Network};
use rushwalk_simulator::failover::{self, Failure, Figures};
use rushwalk_simulator::fault_search::{self, Day, Found, Trouble};
use rushwalk_simulator::plot;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Fails controllers against stand-ins of the platform, on virtual time, and tells what
/// it cost. Without a subcommand: the leader of three controllers crashes.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Whole controllers with machines and jobs.
    Trial(Trial),
    /// Days on which drawn troubles meet, to find broken rules.
    Meet(Meet),
    /// The failure detector alone: rate of false verdicts beside the time to a verdict.
    Detector(Sweep),
}

#[derive(Args, Clone)]
struct Trial {
    /// What goes wrong; may be given several times.
    #[arg(long, value_enum, default_values = ["crash"])]
    failure: Vec<Failure>,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(2..=16))]
    controllers: u16,
    /// Seconds after which a process that ended is started again; may be given several
    /// times.
    #[arg(long, default_values_t = [4.0], value_parser = seconds)]
    restart_after: Vec<f64>,
    /// Runs of each failure, each with a seed of its own.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    runs: u32,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print each run's figures as JSON, a line a run.
    #[arg(long)]
    json: bool,
    /// Print the controllers' own log to standard error, one run at a time.
    #[arg(long)]
    log: bool,
    /// Write the distributions of the time without rounds to an SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[derive(Args, Clone)]
struct Meet {
    /// Troubles a day.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=8))]
    troubles: u16,
    /// Draw only these; may be given several times.
    #[arg(long, value_enum)]
    only: Vec<Trouble>,
    /// Days, each with a seed of its own.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    days: u32,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print what came of each day as JSON, a line a day.
    #[arg(long)]
    json: bool,
    /// Print the controllers' own log to standard error, one day at a time.
    #[arg(long)]
    log: bool,
    /// Print what happened, a line an event, to standard error: users' requests with their
    /// answers, commits, starts and ends of tasks.
    #[arg(long)]
    events: bool,
}

#[derive(Args, Clone)]
struct Sweep {
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(2..=16))]
    controllers: u16,
    /// Controller-hours for each setting.
    #[arg(long, default_value_t = 120.0, value_parser = hours)]
    hours: f64,
    /// Share of greetings that are lost.
    #[arg(long, default_value_t = 0.02)]
    loss: f64,
    /// The longest pause of a controller, in seconds.
    #[arg(long, default_value_t = 3.0)]
    pause: f64,
    /// Seconds between a controller's pauses in the mean.
    #[arg(long, default_value_t = 300.0)]
    pause_each: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the distributions of the time to a verdict to an SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    match (0.0..=60.0).contains(&seconds) {
        true => Ok(seconds),
        false => Err("not from 0 to 60".into()),
    }
}

fn hours(text: &str) -> Result<f64, String> {
    let hours: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    match hours > 0.0 && hours <= 100_000.0 {
        true => Ok(hours),
        false => Err("not above 0 and up to 100000".into()),
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        None => trials(&Trial::parse_from_defaults()),
        Some(What::Trial(trial)) => trials(&trial),
        Some(What::Meet(meet)) => search(&meet),
        Some(What::Detector(sweep)) => detector(&sweep),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("rushwalk-simulator: {error}");
            ExitCode::from(2)
        }
    }
}

impl Trial {
    fn parse_from_defaults() -> Trial {
        #[derive(Parser)]
        struct Bare {
            #[command(flatten)]
            trial: Trial,
        }
        Bare::parse_from(["rushwalk-simulator"]).trial
    }
}

/// Does each work on a thread of some, and says how many are done.
fn spread<T: Send, W: Sync>(most: usize, all: &[W], work: impl Fn(&W) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let threads = threads.min(most);
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len}, {eta} left");
    let bar = ProgressBar::new(all.len() as u64);
    if let Ok(style) = style {
        bar.set_style(style);
    }
    let next = AtomicUsize::new(0);
    let out: Mutex<Vec<(usize, T)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(all.len()) {
            scope.spawn(|| {
                while let Some((i, one)) = {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    all.get(i).map(|one| (i, one))
                } {
                    let done = work(one);
                    if let Ok(mut out) = out.lock() {
                        out.push((i, done));
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut out = out.into_inner().unwrap_or_default();
    out.sort_by_key(|(i, _)| *i);
    out.into_iter().map(|(_, done)| done).collect()
}

/// A runtime of its own, whose time is paused.
fn paused<T>(what: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .map_err(|e| e.to_string())?;
    Ok(runtime.block_on(what))
}

fn log() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

/// Plays days of drawn troubles; one that breaks a rule is made smaller.
fn search(meet: &Meet) -> Result<bool, String> {
    let all = match meet.only.is_empty() {
        true => Trouble::value_variants(),
        false => &meet.only,
    };
    if meet.log {
        log();
    }
    let draw = |n| Day::draw(meet.seed + n, usize::from(meet.troubles), all);
    let days: Vec<Day> = (0..u64::from(meet.days)).map(draw).collect();
    let threads = if meet.log || meet.events {
        1
    } else {
        usize::MAX
    };
    let found = spread(threads, &days, |day| {
        let (found, events) = paused(fault_search::played(day, meet.events))?;
        events.iter().for_each(|line| eprintln!("{line}"));
        Ok::<_, String>(found)
    });
    let found: Vec<Found> = found.into_iter().collect::<Result<_, _>>()?;
    let text = |value: &Found| serde_json::to_string(value).map_err(|e| e.to_string());
    if meet.json {
        for one in &found {
            println!("{}", text(one)?);
        }
    }
    let mut broken = 0;
    for one in found.iter().filter(|f| !f.broken.is_empty()) {
        broken += 1;
        let mut least = one.clone();
        while let Some(smaller) = (0..least.day.events.len())
            .filter(|_| least.day.events.len() > 1)
            .map(|i| paused(fault_search::play(&least.day.without(i))))
            .find(|f| f.as_ref().is_ok_and(|f| !f.broken.is_empty()))
        {
            least = smaller?;
        }
        println!("seed {}: {}", one.day.seed, text(&least)?);
    }
    let most = |value: fn(&Found) -> f64| found.iter().map(value).fold(0.0, f64::max);
    println!(
        "{} days from seed {}, {} with a broken rule; a cancelled job's last task was gone after {:.1} s at most",
        found.len(),
        meet.seed,
        broken,
        most(|f| f.cancelled_s)
    );
    Ok(broken == 0)
}

fn play(
    failure: Failure,
    controllers: usize,
    seed: u64,
    restart_s: f64,
) -> Result<Figures, String> {
    paused(failover::play(failure, controllers, seed, restart_s))
}

/// Median, 95% and most of some seconds.
fn told(values: impl Iterator<Item = f64>) -> String {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return String::new();
    };
    for value in values {
        // In milliseconds; longer than an hour is an hour.
        let _ = histogram.record(((value * 1000.0) as u64).min(3_600_000));
    }
    if histogram.is_empty() {
        return format!("{:>18}", "-");
    }
    let at = |p: f64| histogram.value_at_quantile(p) as f64 / 1000.0;
    format!("{:5.1} {:5.1} {:5.1} ", at(0.5), at(0.95), at(1.0))
}

fn trials(trial: &Trial) -> Result<bool, String> {
    let controllers = usize::from(trial.controllers);
    let kinds = trial.failure.iter();
    let kinds = kinds.flat_map(|f| trial.restart_after.iter().map(move |s| (*f, *s)));
    let kinds: Vec<(Failure, f64)> = kinds.collect();
    let runs: Vec<((Failure, f64), u64)> = (kinds.iter())
        .flat_map(|kind| (0..u64::from(trial.runs)).map(move |n| (*kind, trial.seed + n)))
        .collect();
    if trial.log {
        log();
    }
    let threads = if trial.log { 1 } else { usize::MAX };
    let one = |((failure, restart_s), seed): &((Failure, f64), u64)| {
        play(*failure, controllers, *seed, *restart_s)
    };
    let all = spread(threads, &runs, one);
    let all: Vec<Figures> = all.into_iter().collect::<Result<_, _>>()?;
    if trial.json {
        for figures in &all {
            println!(
                "{}",
                serde_json::to_string(figures).map_err(|e| e.to_string())?
            );
        }
    } else {
        println!(
            "{controllers} controllers, {} machines, {} runs of each failure; seconds as median, \
             95%, most\n",
            failover::MACHINES,
            trial.runs
        );
        println!(
            "{:18} {:>5} {:18} {:18} {:18} {:18} {:>8} {:>11} {:>7} {:>7}",
            "failure",
            "back",
            "without a round",
            "until suspected",
            "until judged",
            "machines heard",
            "leaders",
            "blocks moved",
            "false",
            "broken"
        );
        for kind in &kinds {
            println!("{}", row(*kind, &all));
        }
        for figures in all.iter().filter(|f| !f.broken.is_empty()) {
            println!("seed {}: {:?}", figures.seed, figures.broken);
        }
    }
    if let Some(path) = &trial.plot {
        let sets = trial.failure.iter().map(|failure| {
            let of = all.iter().filter(|f| f.failure == *failure);
            (name(*failure), of.map(|f| f.no_round_s).collect())
        });
        let sets: Vec<(String, Vec<f64>)> = sets.collect();
        plot::shares(path, "Longest time without a planning round", &sets)?;
    }
    Ok(all.iter().all(|f| f.broken.is_empty()))
}

fn name(failure: Failure) -> String {
    let value = failure.to_possible_value();
    value.map_or(String::new(), |v| v.get_name().to_string())
}

fn row((failure, restart_s): (Failure, f64), all: &[Figures]) -> String {
    let same = |f: &&Figures| f.failure == failure && f.restart_s == restart_s;
    let of: Vec<&Figures> = all.iter().filter(same).collect();
    let most = |value: &dyn Fn(&Figures) -> usize| of.iter().map(|f| value(f)).max().unwrap_or(0);
    let sum = |value: &dyn Fn(&Figures) -> usize| of.iter().map(|f| value(f)).sum::<usize>();
    let unheard = sum(&|f| f.unheard);
    let heard = told(of.iter().flat_map(|f| f.heard_s.iter().copied()));
    let unheard = if unheard > 0 {
        format!("+{unheard}")
    } else {
        String::new()
    };
    format!(
        "{:18} {restart_s:>5} {} {} {} {}{unheard} {:>8} {:>7} of {:<2} {:>5} {:>7}",
        name(failure),
        told(of.iter().map(|f| f.no_round_s)),
        told(of.iter().filter_map(|f| f.suspected_s)),
        told(of.iter().filter_map(|f| f.judged_s)),
        heard,
        most(&|f| f.leaders),
        most(&|f| f.moved),
        most(&|f| f.blocks),
        sum(&|f| f.false_verdicts),
        sum(&|f| f.broken.len()),
    )
}

/// Seeds for the time to a verdict, for each setting.
const ENDS: u64 = 200;

fn detector(sweep: &Sweep) -> Result<bool, String> {
    let network = Network {
        controllers: usize::from(sweep.controllers),
        loss: sweep.loss.clamp(0.0, 0.9),
        slow: 0.05,
        slow_s: 0.5,
        pause_each_s: sweep.pause_each.max(1.0),
        pause_s: sweep.pause.max(0.001),
    };
    // As the program has them for a report interval of 3 s and a lease of 40 s.
    let limits = |phi: f64, refusals: u32| DetectorConfig {
        heartbeat_s: 1.0 / 3.0 * (network.controllers as f64 - 1.0).max(4.0) / 4.0,
        round_s: 1.0,
        member_lease_s: 40.0 / 7.0,
        worker_lease_s: 40.0,
        phi_threshold: phi,
        refusal_threshold: refusals,
    };
    println!(
        "{} controllers, {:.1}% of greetings lost, a pause of up to {} s each {} s; {} \
         controller-hours a setting\n",
        network.controllers,
        network.loss * 100.0,
        network.pause_s,
        network.pause_each_s,
        sweep.hours
    );
    println!(
        "{:>4} {:>9}  {:24} {:30} {:18} {:18}",
        "phi",
        "refusals",
        "suspicions an hour",
        "false verdicts an hour (95%)",
        "refuses: judged",
        "silent: judged"
    );
    let mut sets = Vec::new();
    for (phi, refusals) in [(4.0, 1), (4.0, 2), (8.0, 1), (8.0, 2), (8.0, 3), (12.0, 2)] {
        let limits = limits(phi, refusals);
        let parts = 32u64;
        let each = sweep.hours / network.controllers as f64 / parts as f64;
        let seeds: Vec<u64> = (0..parts).map(|n| sweep.seed + n).collect();
        let mut hours = Hours::default();
        for part in spread(usize::MAX, &seeds, |seed| {
            detector_model::live(&network, &limits, each, *seed)
        }) {
            hours.add(&part);
        }
        let seeds: Vec<u64> = (0..ENDS).map(|n| sweep.seed + n).collect();
        let ends = |how: End| {
            spread(usize::MAX, &seeds, |seed| {
                detector_model::end(&network, &limits, how, *seed)
            })
        };
        let (refuses, silent) = (ends(End::Refuses), ends(End::Silent));
        let (_, low, high) = detector_model::rate(hours.judged, hours.controller_hours);
        let judged = detector_model::rate(hours.judged, hours.controller_hours).0;
        let suspected = hours.suspected as f64 / hours.controller_hours;
        println!(
            "{phi:>4} {refusals:>9}  {suspected:<24.2} {:30} {} {}",
            format!("{judged:.4} ({low:.4} to {high:.4})"),
            told(refuses.iter().flatten().copied()),
            told(silent.iter().flatten().copied()),
        );
        let kept = |all: Vec<Option<f64>>| all.into_iter().flatten().collect();
        sets.push((
            format!("phi {phi}, {refusals} refusals, refuses"),
            kept(refuses),
        ));
        sets.push((
            format!("phi {phi}, {refusals} refusals, silent"),
            kept(silent),
        ));
    }
    if let Some(path) = &sweep.plot {
        plot::shares(path, "Time to the first verdict", &sets)?;
    }
    Ok(true)
}
