//! A worker: reports, obeys whoever has the highest token, keeps its lease.

use crate::invariants::{Place, Room};
use crate::platform::{Build, Fault, World};
use rushwalk_protocol::jobs::{JobSpec, TaskName};
use rushwalk_protocol::worker::{
    Command, CommandBatch, ExitCause, Heartbeat, HeartbeatResponse, Redirect, TaskPhase, TaskStatus,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub build: Build,
    pub spot: bool,
    /// When the cloud takes it back, as it says.
    pub recalled: Option<Instant>,
    pub address: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Held>,
    pub last: Instant,
    pub dead: bool,
    /// When it was rented, and when it was deleted or taken.
    pub born: Instant,
    pub ended: Option<Instant>,
}

pub struct Held {
    report: TaskStatus,
    started: Instant,
    runs: Duration,
}

impl Worker {
    pub fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: self.address.clone(),
            machine_type: self.build.label.into(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            sequence: self.seq,
            token: self.token,
            notice_s: self
                .recalled
                .map(|at| at.duration_since(Instant::now()).as_secs_f64()),
            tasks: self.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    /// What is free on it.
    pub fn room(&self, jobs: &HashMap<String, JobSpec>) -> Room {
        let there = self
            .tasks
            .iter()
            .filter(|t| t.report.phase != TaskPhase::Exited);
        let specs = there.filter_map(|t| jobs.get(TaskName::parse(&t.report.task)?.job));
        let mut room = Room {
            machine: self.name.clone(),
            zone: self.zone.clone(),
            kind: self.build.label.into(),
            spot: self.spot,
            cpus: self.build.cpus,
            gpus: self.build.gpus,
            memory_gb: self.build.memory_gb,
        };
        for spec in specs {
            room.cpus -= spec.cpus;
            room.gpus -= spec.gpus;
            room.memory_gb -= spec.memory_gb;
        }
        room
    }

    fn execute(&mut self, world: &World, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Run { task, attempt } => {
                    let same = |t: &&Held| t.report.task == *task;
                    let known = self.tasks.iter().find(same);
                    if known.is_some_and(|t| t.report.attempt == *attempt) {
                        continue;
                    }
                    let busy = known.is_some_and(|t| t.report.phase != TaskPhase::Exited);
                    let Some(TaskName { job: uid, index }) = TaskName::parse(task) else {
                        continue;
                    };
                    let mut rules = world.rules();
                    let spec = rules.jobs.get(uid);
                    let full = !busy && spec.is_some_and(|s| !self.room(&rules.jobs).holds(s));
                    let runs = rules.jobs.get(uid).map_or(0.0, |s| s.estimate_s);
                    let other = rules.takes_s.get(&(uid.to_string(), index)).copied();
                    let runs = other.unwrap_or(runs);
                    let service = rules
                        .jobs
                        .get(uid)
                        .is_some_and(|s| s.shape == rushwalk_protocol::jobs::Shape::Service);
                    let fails = !busy && !full && rules.fails(uid, &self.name);
                    let refused = match (busy, full, fails) {
                        (true, ..) => Some(ExitCause::Busy),
                        (_, true, _) => Some(ExitCause::NoRoom),
                        (.., true) => Some(ExitCause::Error),
                        _ => None,
                    };
                    let state = match refused {
                        Some(_) => TaskPhase::Exited,
                        None => TaskPhase::Running,
                    };
                    world.note(|| format!("{} {task} {attempt} {refused:?}", self.name));
                    if refused.is_none() {
                        let at = Place {
                            machine: &self.name,
                            zone: &self.zone,
                            kind: self.build.label,
                            spot: self.spot,
                        };
                        rules.starts(uid, index, &at);
                    }
                    let report = TaskStatus {
                        task: task.clone(),
                        attempt: *attempt,
                        phase: state,
                        exit_cause: refused,
                        saved: None,
                    };
                    let runs = match service {
                        true => Duration::from_secs(1 << 30),
                        false => Duration::from_secs_f64(runs),
                    };
                    self.tasks.push(Held {
                        report,
                        started: Instant::now(),
                        runs,
                    });
                }
                Command::Stop { task, attempt, .. } => {
                    self.exit(world, task, *attempt, ExitCause::Stopped)
                }
                Command::Forget { task, attempt } => self.tasks.retain(|t| {
                    (&t.report.task, t.report.attempt) != (task, *attempt)
                        || t.report.phase != TaskPhase::Exited
                }),
            }
        }
    }

    fn exit(&mut self, world: &World, task: &str, attempt: u64, cause: ExitCause) {
        for t in &mut self.tasks {
            let it = t.report.task == task && t.report.attempt == attempt;
            if it && t.report.phase != TaskPhase::Exited {
                world.note(|| format!("{} {task} {attempt} ends {cause:?}", self.name));
                t.report.phase = TaskPhase::Exited;
                t.report.exit_cause = Some(cause);
                if let Some(TaskName { job: uid, index }) = TaskName::parse(task) {
                    let done = cause == ExitCause::Done;
                    world.rules().gone(uid, index, &self.name, done);
                }
            }
        }
    }

    /// Its lease runs out.
    pub fn lapse(&mut self, world: &World, lease: Duration) {
        if self.last.elapsed() > lease {
            self.restart(world);
        }
    }

    /// Lets time pass: tasks finish, a lease runs out.
    pub fn pass(&mut self, world: &World, lease: Duration) {
        self.lapse(world, lease);
        let over =
            |t: &&Held| t.report.phase == TaskPhase::Running && t.started.elapsed() >= t.runs;
        let done = self.tasks.iter().filter(over);
        let done: Vec<_> = done
            .map(|t| (t.report.task.clone(), t.report.attempt))
            .collect();
        for (task, attempt) in done {
            self.exit(world, &task, attempt, ExitCause::Done);
        }
    }

    /// The machine starts anew at once: nothing is left on it, and its next session begins.
    pub fn restart(&mut self, world: &World) {
        self.kill(world);
        self.session += 1;
        self.last = Instant::now();
    }

    pub fn kill(&mut self, world: &World) {
        for t in std::mem::take(&mut self.tasks) {
            if let Some(TaskName { job: uid, index }) = TaskName::parse(&t.report.task) {
                world.rules().gone(uid, index, &self.name, false);
            }
        }
    }

    /// Direct commands: the status, and the report after them.
    pub fn orders(&mut self, world: &World, orders: &CommandBatch) -> (u16, Heartbeat) {
        if orders.token < self.token || orders.session != self.session {
            return (409, self.report());
        }
        self.token = orders.token;
        self.execute(world, &orders.commands);
        (200, self.report())
    }
}

/// How long a worker waits before it reports to a controller that it was sent to, and
/// before it tries the next one.
const ELSEWHERE: Duration = Duration::from_millis(250);
const NEXT: Duration = Duration::from_secs(1);

/// Ends a worker's lease when its time has come, whatever the worker waits for.
async fn keep_lease(world: Arc<World>, index: usize, lease: Duration) {
    loop {
        let over = {
            let mut workers = world.workers();
            let worker = &mut workers[index];
            if worker.dead {
                return;
            }
            worker.lapse(&world, lease);
            worker.last + lease
        };
        tokio::time::sleep_until(over + Duration::from_millis(1)).await;
    }
}

/// The life of a worker, from its start until its machine is deleted.
pub async fn live(world: Arc<World>, index: usize, lease: Duration, every: Duration) {
    tokio::spawn(keep_lease(world.clone(), index, lease));
    let mut node = 0;
    let mut pause = every;
    loop {
        sleep(std::mem::replace(&mut pause, every)).await;
        while world.has(Fault::Hung(index)) {
            sleep(Duration::from_millis(50)).await;
        }
        let (report, sent) = {
            let mut workers = world.workers();
            let worker = &mut workers[index];
            if worker.dead {
                return;
            }
            worker.pass(&world, lease);
            (worker.report(), Instant::now())
        };
        // After 4 s it gives up; the report may still arrive, much later.
        let beat = {
            let (world, report) = (world.clone(), report.clone());
            tokio::spawn(async move { world.beat(index, node, &report).await })
        };
        let answer = tokio::time::timeout(Duration::from_secs(4), beat).await;
        let answer = answer.ok().and_then(Result::ok).flatten();
        let lost = world.has(Fault::DeafMachine(index));
        let answer = answer.filter(|_| !lost);
        if lost {
            sleep(Duration::from_secs(4).saturating_sub(sent.elapsed())).await;
        }
        let mut workers = world.workers();
        let worker = &mut workers[index];
        match answer {
            Some((200, body)) if sent.elapsed() < Duration::from_secs(4) => {
                let answer: Option<HeartbeatResponse> = serde_json::from_slice(&body).ok();
                if let Some(answer) = answer
                    && answer.token >= worker.token
                    && report.session == worker.session
                    && !worker.dead
                {
                    worker.token = answer.token;
                    worker.last = sent;
                    worker.execute(&world, &answer.commands);
                }
            }
            Some((421, body)) => {
                let to: Option<Redirect> = serde_json::from_slice(&body).ok();
                let named = to.and_then(|t| t.report_to);
                (node, pause) = match named.and_then(|n| world.node_named(&n)) {
                    Some(named) if named != node => (named, ELSEWHERE),
                    _ => ((node + 1) % world.nodes_len(), NEXT),
                };
            }
            _ => (node, pause) = ((node + 1) % world.nodes_len(), NEXT),
        }
    }
}
