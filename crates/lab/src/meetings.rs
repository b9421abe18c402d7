//! A seeded search for troubles that break a rule when they meet.
//!
//! Two or three troubles, their moments, lengths and victims are drawn from a seed and
//! played on a small site with jobs of all shapes whose users ask and cancel. The same
//! seed draws the same troubles and jobs; controllers draw numbers of their own, so two
//! runs differ in detail.

use crate::Site;
use crate::site::job;
use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_testkit::{Fault, World};
use rushwalk_wire::jobs::{JobSpec, JobState, Stance};
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
        Trouble::EndLeader | Trouble::EndOther | Trouble::EndAll => Vec::new(),
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
            cancel_after_s: cancels.then(|| random.random_range(10.0..120.0)),
        };
        out.push((at, plan));
        at += random.random_range(3.0..9.0);
    }
    out
}

/// States that users were told last, by job.
type Told = Arc<Mutex<BTreeMap<String, Option<Stance>>>>;

/// A request by way of the load balancer: to the next controller that is healthy.
async fn request(
    world: &World,
    turn: &mut usize,
    method: &str,
    path: &str,
    body: &[u8],
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    for _ in 0..CONTROLLERS {
        *turn += 1;
        let node = *turn % CONTROLLERS;
        let health = world.ask(node, "GET", "/healthz", Vec::new());
        let health = timeout(Duration::from_secs(1), health).await;
        if !matches!(health, Ok(Some((200, _)))) {
            continue;
        }
        let call = world.ask(node, method, path, body.to_vec());
        return timeout(patience, call).await.ok().flatten();
    }
    None
}

/// One user: submits, asks each five seconds, cancels if that is the plan.
async fn user(world: Arc<World>, plan: Plan, mut turn: usize, told: Told) {
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
    let began = Instant::now();
    let patience = Duration::from_secs(5);
    loop {
        let answer = request(
            &world,
            &mut turn,
            "POST",
            "/api/jobs",
            text.as_bytes(),
            patience,
        );
        if let Some((status, _)) = answer.await {
            world.rules().submitted(&plan.uid, status);
            if matches!(status, 200 | 201) {
                break;
            }
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
    let accepted = Instant::now();
    let path = format!("/api/jobs/{}", plan.uid);
    let mut cancel = plan.cancel_after_s;
    loop {
        let due = cancel.is_some_and(|s| accepted.elapsed().as_secs_f64() > s);
        let (answer, asks) = match due {
            true => {
                world.rules().asks_to_cancel(&plan.uid);
                let path = format!("{path}/abort");
                let call = request(&world, &mut turn, "POST", &path, b"", patience);
                (call.await, false)
            }
            false => {
                let patience = Duration::from_secs(2);
                let call = request(&world, &mut turn, "GET", &path, b"", patience);
                (call.await, true)
            }
        };
        let state = answer.as_ref().filter(|(status, _)| *status == 200);
        let state = state.and_then(|(_, b)| serde_json::from_slice::<JobState>(b).ok());
        let stance = state.map(|s| s.state);
        if asks || stance.is_some() {
            let status = answer.map(|(status, _)| status);
            world.rules().asked(&plan.uid, status, stance);
        }
        if let Some(stance) = stance {
            keep(Some(stance));
            if due {
                cancel = None;
            }
        }
        // One that is over is asked about now and then.
        let over = matches!(stance, Some(Stance::Done | Stance::Cancelled));
        sleep(Duration::from_secs(if over { 20 } else { 5 })).await;
    }
}

/// Plays a day, on a runtime whose time is paused.
pub async fn play(day: &Day) -> Found {
    let mut random = SmallRng::seed_from_u64(day.seed ^ 0x5eed);
    let mut site = Site::with(CONTROLLERS, day.seed);
    site.world.rules().limits.insert("red".into(), 60.0);
    (0..CONTROLLERS).for_each(|i| site.crash(i));
    // Few changes a second: snapshots are made all the while.
    (site.gpus, site.write_rps) = (60.0, 12.0);
    (0..CONTROLLERS).for_each(|i| site.start(i));
    let told: Told = Arc::default();
    let mut users = tokio::task::JoinSet::new();
    for (i, (at, plan)) in plans(&mut random).into_iter().enumerate() {
        let (world, told) = (site.world.clone(), told.clone());
        users.spawn(async move {
            sleep(Duration::from_secs_f64(8.0 + at)).await;
            user(world, plan, i, told).await;
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
        leader = site.leads().unwrap_or(leader);
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
            let mut rules = site.world.rules();
            rules.sweep();
            if now > calm {
                rules.calm_since.get_or_insert_with(Instant::now);
            }
        }
    }
    users.abort_all();
    let mut rules = site.world.rules();
    let told = told.lock().unwrap_or_else(PoisonError::into_inner);
    let mut broken = std::mem::take(&mut rules.broken);
    // Every accepted job that wasn't cancelled runs or stays known.
    for (uid, stance) in told.iter() {
        let shape = rules.jobs.get(uid).map(|s| s.shape);
        let service = shape == Some(rushwalk_wire::jobs::Shape::Service);
        let served = match stance {
            Some(Stance::Done | Stance::Cancelled) => true,
            Some(Stance::Running) => service,
            _ => false,
        };
        if !served {
            broken.push(format!("not served: {uid} {stance:?}"));
        }
    }
    broken.dedup();
    Found {
        day: day.clone(),
        broken,
        cancelled_s: rules.cancelled_for.as_secs_f64(),
        started: rules.started,
    }
}
