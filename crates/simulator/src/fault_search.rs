//! A seeded search for troubles that break a rule when they meet.
//!
//! Two or three troubles, their moments, lengths and victims are drawn from a seed and
//! played on a small site with jobs of all shapes whose users ask and cancel. The same
//! seed plays the same day, to the last commit.

use crate::cluster::{close_look, job, request};
use crate::{Setup, Site};
use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk::observable::Observable;
use rushwalk_protocol::jobs::{JobSpec, JobStatus, StatusPhase};
use rushwalk_testkit::{Fault, Request, World, ZONES};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// What may go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// The state service refuses the leader alone.
    RefusedLeader,
    /// The leader loses the state service and the other controllers.
    CutLeader,
    /// The state service is down for all.
    Outage,
    /// It answers slowly.
    SlowState,
    /// Transactions get no answer and come late.
    LateWrites,
    /// Transactions are carried out, their answers lost.
    LostAnswers,
    /// Copies of reports come late.
    LateReports,
    /// Some machines hear nothing.
    DeafMachines,
    /// Some machines stand still, and go on with what was sent to them.
    HungMachines,
    /// Messages between the leader and workers are held up.
    HeldFromWorkers,
    /// The leader reaches no worker.
    NoWorkers,
    /// The leader stands still.
    Frozen,
    /// The leader ends; it is back after `for_s`.
    EndLeader,
    /// Another controller ends.
    EndOther,
    /// All end; one is back at once, the others after `for_s`.
    EndAll,
    /// Some machines reach no controller; direct commands reach them.
    MuteMachines,
    /// Nothing reaches some machines, nor they anybody.
    CutMachines,
    /// Some machines start anew at once, their workers with the next session.
    RestartMachines,
    /// A zone is cut off with its workers and its controller.
    CutZone,
    /// Copies of reports are kept, and reach everybody when somebody new leads.
    KeptReports,
    /// Users call off every second job at once.
    CancelNow,
    /// Every second job that ends is called off at the moment of its end.
    CancelAtEnd,
    /// New machines are up within two seconds.
    QuickBoots,
}

/// One trouble of a day.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Event {
    pub trouble: Trouble,
    pub at_s: f64,
    pub for_s: f64,
    pub victim: usize,
}

/// What is drawn from a seed.
#[derive(Debug, Clone, Serialize)]
pub struct Day {
    pub seed: u64,
    pub events: Vec<Event>,
}

/// What came of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Found {
    pub day: Day,
    pub broken: Vec<String>,
    /// From a confirmed cancellation to the end of the job's last task, at most.
    pub cancelled_s: f64,
    pub started: usize,
    /// Starts after a confirmed cancellation.
    pub after_cancel: usize,
    /// The longest that a job waited in calm though a machine that fits had room.
    pub waited_s: f64,
}

const CONTROLLERS: usize = 3;
/// When troubles begin, and how far apart.
const FROM_S: f64 = 35.0;
const SPREAD_S: f64 = 70.0;
/// How long jobs come.
const JOBS_S: f64 = 150.0;
/// Time after the last trouble in which all that can be done must be.
const REST_S: f64 = 260.0;

impl Day {
    /// Draws a day of so many troubles out of some.
    pub fn draw(seed: u64, troubles: usize, from: &[Trouble]) -> Day {
        let mut random = SmallRng::seed_from_u64(seed);
        let event = |random: &mut SmallRng| {
            let trouble = from[random.random_range(0..from.len())];
            let for_s: f64 = match trouble {
                Trouble::EndLeader | Trouble::EndOther | Trouble::EndAll => {
                    [0.05, 0.3, 0.9, 4.0][random.random_range(0..4)]
                }
                _ => [3.0, 12.0, 25.0, 45.0, 75.0, 100.0][random.random_range(0..6)],
            };
            Event {
                trouble,
                at_s: FROM_S + (random.random_range(0.0..SPREAD_S) * 10.0_f64).round() / 10.0,
                for_s,
                victim: random.random_range(0..64),
            }
        };
        let events = (0..troubles).map(|_| event(&mut random)).collect();
        Day { seed, events }
    }

    /// The day without one of its troubles.
    pub fn without(&self, i: usize) -> Day {
        let mut day = self.clone();
        day.events.remove(i);
        day
    }
}

/// The faults that a trouble sets while it lasts.
fn faults(event: &Event, leader: usize, machines: usize) -> Vec<Fault> {
    let some = |fault: fn(usize) -> Fault| {
        let third = machines.div_ceil(3);
        let of = (0..third).map(move |k| fault((event.victim + 3 * k) % machines.max(1)));
        of.collect()
    };
    match event.trouble {
        Trouble::RefusedLeader => vec![Fault::NoState(leader)],
        Trouble::CutLeader => vec![Fault::NoState(leader), Fault::NoPeers(leader)],
        Trouble::Outage => vec![Fault::Outage],
        Trouble::SlowState => vec![Fault::SlowState],
        Trouble::LateWrites => vec![Fault::LateWrites],
        Trouble::LostAnswers => vec![Fault::LostAnswers],
        Trouble::LateReports => vec![Fault::LateReports],
        Trouble::DeafMachines => some(Fault::DeafMachine),
        Trouble::HungMachines => some(Fault::Hung),
        Trouble::HeldFromWorkers => vec![Fault::HeldFromWorkers(leader)],
        Trouble::NoWorkers => vec![Fault::NoWorkers(leader)],
        Trouble::Frozen => vec![Fault::Frozen(leader)],
        Trouble::MuteMachines => some(Fault::MuteMachine),
        Trouble::CutMachines => some(Fault::CutMachine),
        Trouble::CutZone => vec![Fault::CutZone(event.victim % ZONES.len())],
        Trouble::KeptReports => vec![Fault::KeptReports],
        Trouble::EndLeader | Trouble::EndOther | Trouble::EndAll => Vec::new(),
        // What is done when they begin.
        Trouble::RestartMachines
        | Trouble::CancelNow
        | Trouble::CancelAtEnd
        | Trouble::QuickBoots => Vec::new(),
    }
}

/// What a user does with one job.
struct Plan {
    uid: String,
    shape: &'static str,
    tasks: u32,
    gpus: f64,
    run_s: f64,
    cancel_after_s: Option<f64>,
    /// Asks at all controllers within milliseconds after each change.
    looks_closely: bool,
}

fn plans(random: &mut SmallRng) -> Vec<(f64, Plan)> {
    let mut out = Vec::new();
    let mut at = 0.0;
    while at < JOBS_S {
        let shape = ["sweep", "gang", "standing", "sweep"][out.len() % 4];
        let tasks = random.random_range(1..=3);
        let cancels = shape == "standing" || random.random_range(0..3) == 0;
        let plan = Plan {
            uid: format!("j-{:06}", out.len() + 1),
            shape,
            tasks,
            gpus: if shape == "gang" { 4.0 } else { 1.0 },
            run_s: [8.0, 20.0, 50.0][random.random_range(0..3)],
            cancel_after_s: cancels.then(|| random.random_range(0.0..120.0)),
            looks_closely: random.random_range(0..3) == 0,
        };
        out.push((at, plan));
        at += random.random_range(3.0..9.0);
    }
    out
}

/// States that users were told last, by job.
type Told = Arc<Mutex<BTreeMap<String, Option<StatusPhase>>>>;

/// The next controller that is healthy, as the load balancer chooses.
async fn healthy(world: &World, turn: &mut usize) -> Option<usize> {
    for _ in 0..CONTROLLERS {
        *turn += 1;
        let node = *turn % CONTROLLERS;
        let health = world.ask(node, "GET", "/healthz", Vec::new());
        let health = timeout(Duration::from_secs(1), health).await;
        if matches!(health, Ok(Some((200, _)))) {
            return Some(node);
        }
    }
    None
}

/// A request by way of the load balancer.
async fn by_balancer(
    world: &World,
    turn: &mut usize,
    what: Request,
    uid: &str,
    body: &str,
) -> Option<(u16, Option<JobStatus>)> {
    match healthy(world, turn).await {
        Some(node) => request(world, node, what, uid, body).await,
        None => {
            let mut rules = world.rules();
            let sent = rules.sends(what, uid);
            rules.answered(what, uid, sent, None, None);
            None
        }
    }
}

/// One user: submits, asks each five seconds, cancels if that is the plan or everybody
/// does.
async fn user(
    world: Arc<World>,
    plan: Plan,
    mut turn: usize,
    told: Told,
    alarm: Arc<Observable<usize>>,
) {
    let text = job(&plan.uid, plan.shape, plan.tasks, plan.gpus, plan.run_s);
    let Ok(spec) = JobSpec::parse(text.as_bytes()) else {
        return;
    };
    {
        let mut rules = world.rules();
        rules.jobs.insert(plan.uid.clone(), spec);
        // The tasks of an array end far apart.
        for i in 1..plan.tasks {
            let takes = plan.run_s * f64::from(i + 1);
            let takes = if plan.shape == "sweep" {
                takes
            } else {
                plan.run_s
            };
            rules.takes_s.insert((plan.uid.clone(), i), takes);
        }
    }
    let called_off = turn.is_multiple_of(2);
    let began = Instant::now();
    loop {
        let answer = by_balancer(&world, &mut turn, Request::Submit, &plan.uid, &text);
        if let Some((200 | 201, _)) = answer.await {
            break;
        }
        if began.elapsed() > Duration::from_secs(60) {
            return;
        }
        sleep(Duration::from_secs(1)).await;
    }
    let keep = |stance| {
        let mut told = told.lock().unwrap_or_else(PoisonError::into_inner);
        told.insert(plan.uid.clone(), stance);
    };
    keep(None);
    if plan.looks_closely {
        close_look(&world, &plan.uid, &text).await;
    }
    let accepted = Instant::now();
    let mut cancel = plan.cancel_after_s;
    let mut looked = false;
    let mut heard = alarm.get();
    loop {
        let due = cancel.is_some_and(|s| accepted.elapsed().as_secs_f64() > s);
        let what = if due { Request::Cancel } else { Request::Ask };
        let answer = by_balancer(&world, &mut turn, what, &plan.uid, "").await;
        let stance = answer.and_then(|(_, state)| Some(state?.phase));
        if let Some(stance) = stance {
            keep(Some(stance));
            if due {
                cancel = None;
            }
        }
        // One that is over is asked about now and then.
        let over = matches!(stance, Some(StatusPhase::Done | StatusPhase::Cancelled));
        if over && plan.looks_closely && !std::mem::replace(&mut looked, true) {
            close_look(&world, &plan.uid, &text).await;
        }
        let pause = sleep(Duration::from_secs(if over { 20 } else { 5 }));
        tokio::select! {
            biased;
            rung = alarm.wait_for(|n| n != heard) => {
                heard = rung;
                if called_off && !over {
                    cancel = Some(0.0);
                }
            }
            () = pause => {}
        }
    }
}

/// A team has room for all jobs on one half of the days, and is at its limit on the other.
const GPUS: [f64; 2] = [60.0, 24.0];

/// Calls off every second job at the moment of its end, while that is to be done.
async fn call_off_at_end(
    world: Arc<World>,
    mut ended: tokio::sync::mpsc::UnboundedReceiver<String>,
    wanted: Arc<Observable<bool>>,
) {
    let mut turn = 0;
    while let Some(uid) = ended.recv().await {
        turn += 1;
        if wanted.get() && turn % 2 == 0 {
            let world = world.clone();
            tokio::spawn(async move {
                request(&world, turn % CONTROLLERS, Request::Cancel, &uid, "").await;
            });
        }
    }
}

/// Plays a day, on a runtime whose time is paused.
pub async fn play(day: &Day) -> Found {
    played(day, false).await.0
}

/// The same; also what happened, a line an event, if that is to be written down.
pub async fn played(day: &Day, record: bool) -> (Found, Vec<String>) {
    let mut random = SmallRng::seed_from_u64(day.seed ^ 0x5eed);
    let setup = Setup {
        controllers: CONTROLLERS,
        teams: vec![("red", GPUS[(day.seed % 2) as usize])],
        // Few changes a second: snapshots are made all the while.
        write_rps: 12.0,
        // Who is away for half a minute has to list everything.
        kept_changes: 200,
        ..Setup::default()
    };
    let mut site = Site::with(setup, day.seed);
    if record {
        site.world.record();
    }
    let told: Told = Arc::default();
    let alarm: Arc<Observable<usize>> = Arc::default();
    let at_end: Arc<Observable<bool>> = Arc::default();
    let (ends_tell, ended) = tokio::sync::mpsc::unbounded_channel();
    site.world.rules().completed = Some(ends_tell);
    let mut users = tokio::task::JoinSet::new();
    users.spawn(call_off_at_end(site.world.clone(), ended, at_end.clone()));
    for (i, (at, plan)) in plans(&mut random).into_iter().enumerate() {
        let (world, told, alarm) = (site.world.clone(), told.clone(), alarm.clone());
        users.spawn(async move {
            sleep(Duration::from_secs_f64(8.0 + at)).await;
            user(world, plan, i, told, alarm).await;
        });
    }
    let mut leader = 0;
    let mut set: BTreeMap<usize, Vec<Fault>> = BTreeMap::new();
    let mut back: Vec<(f64, usize)> = Vec::new();
    let ends = |e: &Event| e.at_s + e.for_s;
    let calm = day.events.iter().map(ends).fold(0.0, f64::max) + 35.0;
    let last = calm.max(JOBS_S) + REST_S;
    let step = 0.05;
    for look in 0..(last / step) as usize {
        let now = look as f64 * step;
        let led = leader;
        leader = site.leads().unwrap_or(led);
        if led != leader {
            // The beginning of a term is when old reports do the most harm.
            let world = site.world.clone();
            users.spawn(async move { world.deliver_kept().await });
        }
        for (i, event) in day.events.iter().enumerate() {
            let starts = now >= event.at_s && now < event.at_s + step;
            if starts {
                let other = (leader + 1) % CONTROLLERS;
                let ends: Vec<usize> = match event.trouble {
                    Trouble::EndLeader => vec![leader],
                    Trouble::EndOther => vec![other],
                    Trouble::EndAll => (0..CONTROLLERS).collect(),
                    _ => Vec::new(),
                };
                for (k, node) in ends.into_iter().enumerate() {
                    site.crash(node);
                    // Of all, one is back at once and the others much later.
                    let late = if k == 0 { 0.0 } else { 30.0 };
                    back.push((now + event.for_s + late, node));
                }
                let machines = site.world.workers().len();
                match event.trouble {
                    Trouble::CancelNow => alarm.update(|n| *n += 1),
                    Trouble::CancelAtEnd => {
                        at_end.update(|on| *on = true);
                    }
                    Trouble::QuickBoots => site.world.boots_in(Duration::from_millis(1_200)),
                    Trouble::RestartMachines => {
                        let mut workers = site.world.workers();
                        let third = workers.iter_mut().skip(event.victim % 3).step_by(3);
                        third.for_each(|w| w.restart(&site.world));
                    }
                    _ => {}
                }
                let faults = faults(event, leader, machines);
                faults.iter().for_each(|f| site.world.set(*f));
                set.insert(i, faults);
            }
            if now >= ends(event)
                && let Some(faults) = set.remove(&i)
            {
                // Not those that another trouble still sets.
                let still: Vec<Fault> = set.values().flatten().copied().collect();
                let over = faults.into_iter().filter(|f| !still.contains(f));
                over.for_each(|f| site.world.clear(f));
                if event.trouble == Trouble::CancelAtEnd {
                    at_end.update(|on| *on = false);
                }
            }
        }
        let due = back.iter().filter(|(at, _)| *at <= now).map(|b| b.1);
        for node in due.collect::<Vec<_>>() {
            if site.processes[node].is_none() {
                site.start(node);
            }
        }
        back.retain(|(at, _)| *at > now);
        sleep(Duration::from_secs_f64(step)).await;
        if look % 20 == 0 {
            site.world.sweep();
            if now > calm {
                let mut rules = site.world.rules();
                rules.calm_since.get_or_insert_with(Instant::now);
            }
        }
    }
    users.abort_all();
    let mut rules = site.world.rules();
    let told = told.lock().unwrap_or_else(PoisonError::into_inner);
    let mut broken = std::mem::take(&mut rules.broken);
    broken.extend(rules.served());
    // Every accepted job that wasn't cancelled runs or stays known.
    for (uid, stance) in told.iter() {
        let shape = rules.jobs.get(uid).map(|s| s.shape);
        let service = shape == Some(rushwalk_protocol::jobs::Shape::Service);
        let served = match stance {
            Some(StatusPhase::Done | StatusPhase::Cancelled) => true,
            Some(StatusPhase::Running) => service,
            _ => false,
        };
        if !served {
            broken.push(format!("not served: {uid} {stance:?}"));
        }
    }
    broken.dedup();
    let found = Found {
        day: day.clone(),
        broken,
        cancelled_s: rules.cancelled_for.as_secs_f64(),
        started: rules.started,
        after_cancel: rules.after_cancel.0,
        waited_s: rules.waited.as_secs_f64(),
    };
    drop(rules);
    (found, site.world.history())
}
