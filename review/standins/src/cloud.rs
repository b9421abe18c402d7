//! Stand-ins of the cloud and of the workers, as PROTOCOL's page describes them. All machines
//! share one lock: a case has few of them.

use crate::http::{call, serve, Reply, Request};
use crate::json::{quote, Json};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// When a faulty machine's task fails, in seconds after it started to run.
const FAILS_AFTER_S: f64 = 1.0;
const CLOUD_LATENCY: Duration = Duration::from_millis(200);

#[derive(Clone)]
pub struct MachineType {
    pub label: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub local_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub low_price: f64,
    pub startup_s: f64,
    /// How long a machine takes to boot here.
    pub boot_s: f64,
}

/// How many machines of a type a zone has.
#[derive(Clone)]
pub struct Capacity {
    pub label: &'static str,
    pub zone: &'static str,
    pub count: usize,
    pub spot: usize,
}

#[derive(Clone, Copy)]
pub struct WorkerTiming {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
}

/// A job as the workers know it: users upload its description.
#[derive(Clone, Debug)]
pub struct Job {
    pub shape: String,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub size_gb: f64,
    /// How long a task runs; infinite for a service.
    pub run_s: f64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Phase {
    Fetching,
    Gathering,
    Running,
    Ended,
}

pub struct Task {
    pub piece: String,
    pub attempt: u64,
    pub phase: Phase,
    cause: &'static str,
    since: Instant,
    /// When the image is there, or when a running task is done.
    until: Option<Instant>,
    /// Whether the task fails instead of completing.
    fails: bool,
}

pub struct Machine {
    pub name: String,
    label: &'static str,
    zone: &'static str,
    spot: bool,
    asked: Instant,
    boots: Instant,
    gone: Option<Instant>,
    pub address: String,
    started: bool,
    pub stint: u64,
    tally: u64,
    baton: u64,
    lease_from: Instant,
    changed: bool,
    /// Whether the machine fails the next batch task that it starts.
    fails_next: bool,
    pub tasks: Vec<Task>,
    /// Names and sizes of the cached images, the most recently used last.
    images: Vec<(String, f64)>,
    fetching_until: Instant,
}

/// One stay of a task on a machine.
#[derive(Clone, Debug)]
pub struct Stay {
    pub piece: String,
    pub machine: String,
    pub attempt: u64,
    pub from: Instant,
    pub to: Option<Instant>,
    /// Why the stay ended.
    pub end: &'static str,
}

#[derive(Default)]
pub struct World {
    pub machines: Vec<Machine>,
    pub jobs: HashMap<String, Job>,
    pub stays: Vec<Stay>,
    /// The results of tasks that are done.
    pub done: BTreeMap<String, Instant>,
    asks: HashMap<String, Vec<String>>,
    /// Whether each machine that is rented from now on fails its first batch task.
    pub faulty: bool,
}

pub struct Platform {
    pub record: Arc<Record>,
    types: Vec<MachineType>,
    capacity: Vec<Capacity>,
    timing: WorkerTiming,
    list_lag: Duration,
    /// The controllers' names and public addresses.
    nodes: Vec<(String, String)>,
    world: Mutex<World>,
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// The job of a task `j-000412/3`.
pub fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or("")
}

impl Platform {
    pub fn new(
        record: Arc<Record>,
        types: Vec<MachineType>,
        capacity: Vec<Capacity>,
        timing: WorkerTiming,
        list_lag_s: f64,
        nodes: Vec<(String, String)>,
    ) -> Arc<Platform> {
        let platform = Arc::new(Platform {
            record,
            types,
            capacity,
            timing,
            list_lag: seconds(list_lag_s),
            nodes,
            world: Mutex::default(),
        });
        let ticking = platform.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ticking.tick();
        });
        platform
    }

    pub fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap()
    }

    fn type_of(&self, label: &str) -> &MachineType {
        self.types.iter().find(|t| t.label == label).expect("type")
    }

    /// Answers a request to the cloud.
    pub fn handle(self: &Arc<Self>, request: &Request) -> Option<Reply> {
        thread::sleep(CLOUD_LATENCY);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => self.machine_types(),
            ("GET", _) => self.list(request),
            ("POST", "/rentals") => self.rent(&body),
            _ => self.delete(&body),
        };
        Some(reply)
    }

    fn machine_types(&self) -> Reply {
        let types: Vec<String> = self.types.iter().map(|t| self.describe(t)).collect();
        (200, format!(r#"{{"builds":[{}]}}"#, types.join(",")))
    }

    fn describe(&self, t: &MachineType) -> String {
        let offers = self.capacity.iter().filter(|c| c.label == t.label);
        let zones: Vec<String> = offers.map(|c| quote(c.zone)).collect();
        format!(
            r#"{{"label":{},"cpus":{},"gpus":{},"memoryGb":{},"localGb":{},"pullGbPerS":{},"hourly":{},"lowPrice":{},"startupS":{},"yards":[{}]}}"#,
            quote(t.label),
            t.cpus,
            t.gpus,
            t.memory_gb,
            t.local_gb,
            t.pull_gb_per_s,
            t.hourly,
            t.low_price,
            t.startup_s,
            zones.join(",")
        )
    }

    fn rent(&self, body: &Json) -> Reply {
        let (ask, label, zone) = (body.str("ask"), body.str("build"), body.str("yard"));
        let (spot, count) = (body.bool("loaners"), body.u64("count") as usize);
        let mut world = self.world();
        let names = match world.asks.get(&ask) {
            Some(names) => names.clone(),
            None => {
                let matching = |c: &&Capacity| c.label == label && c.zone == zone;
                let Some(offer) = self.capacity.iter().find(matching) else {
                    return (400, r#"{"error":"unknown kind"}"#.into());
                };
                let limit = if spot { offer.spot } else { offer.count };
                let kind = |m: &&Machine| {
                    m.gone.is_none() && m.label == label && m.zone == zone && m.spot == spot
                };
                let used = world.machines.iter().filter(kind).count();
                let granted = limit.saturating_sub(used).min(count).min(50);
                if granted == 0 {
                    return (503, r#"{"error":"no capacity"}"#.into());
                }
                let boot = seconds(self.type_of(offer.label).boot_s);
                let names: Vec<String> = (0..granted)
                    .map(|_| add_machine(&mut world, offer, spot, boot))
                    .collect();
                world.asks.insert(ask.clone(), names.clone());
                names
            }
        };
        self.record.line(&format!("cloud: {ask} rents {names:?}"));
        let names: Vec<String> = names.iter().map(|name| quote(name)).collect();
        (200, format!(r#"{{"rigs":[{}]}}"#, names.join(",")))
    }

    fn delete(&self, body: &Json) -> Reply {
        let mut world = self.world();
        for name in body.arr("rigs") {
            let Json::Str(name) = name else { continue };
            let Some(index) = world.machines.iter().position(|m| m.name == *name) else {
                continue;
            };
            if world.machines[index].gone.is_none() {
                self.record.line(&format!("cloud: {name} is deleted"));
                self.end_all(&mut world, index, "its machine was deleted");
                world.machines[index].gone = Some(Instant::now());
            }
        }
        (200, "{}".into())
    }

    fn list(&self, request: &Request) -> Reply {
        let since = request.param("since");
        let limit: usize = request.param("limit").parse().unwrap_or(500);
        let Some(then) = Instant::now().checked_sub(self.list_lag) else {
            return (200, r#"{"rigs":[],"truncated":false}"#.into());
        };
        let world = self.world();
        let listed = world.machines.iter().filter(|m| {
            m.name.as_str() > since && m.asked <= then && m.gone.is_none_or(|at| at > then)
        });
        let mut rigs: Vec<String> = listed
            .map(|m| {
                let stance = if m.boots <= then { "running" } else { "starting" };
                format!(
                    r#"{{"uid":{},"address":{},"build":{},"yard":{},"loaners":{},"stance":{},"ageS":{:.3}}}"#,
                    quote(&m.name),
                    quote(&m.address),
                    quote(m.label),
                    quote(m.zone),
                    m.spot,
                    quote(stance),
                    then.duration_since(m.asked).as_secs_f64()
                )
            })
            .collect();
        let more = rigs.len() > limit;
        rigs.truncate(limit);
        (
            200,
            format!(r#"{{"rigs":[{}],"truncated":{more}}}"#, rigs.join(",")),
        )
    }

    /// Ends all tasks of a machine; they are forgotten.
    fn end_all(&self, world: &mut World, index: usize, why: &'static str) {
        let name = world.machines[index].name.clone();
        let tasks = std::mem::take(&mut world.machines[index].tasks);
        for task in tasks {
            self.end_stay(world, &name, &task, why);
        }
    }

    fn end_stay(&self, world: &mut World, machine: &str, task: &Task, why: &'static str) {
        let stay = world.stays.iter_mut().find(|stay| {
            stay.to.is_none()
                && stay.piece == task.piece
                && stay.machine == machine
                && stay.attempt == task.attempt
        });
        if let Some(stay) = stay {
            stay.to = Some(Instant::now());
            stay.end = why;
            let (piece, attempt) = (&task.piece, task.attempt);
            self.record
                .line(&format!("{machine}: {piece} try {attempt} ends: {why}"));
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let mut world = self.world();
        for index in 0..world.machines.len() {
            let machine = &mut world.machines[index];
            if machine.gone.is_some() || machine.boots > now {
                continue;
            }
            if !machine.started {
                machine.started = true;
                machine.lease_from = now;
                let platform = self.clone();
                thread::spawn(move || platform.report_loop(index));
                let (platform, name) = (self.clone(), machine.name.clone());
                let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
                machine.address = listener.local_addr().expect("address").to_string();
                self.record.line(&format!("{name}: is up"));
                serve(listener, Arc::new(move |r| platform.serve_worker(index, r)));
            }
            if now.duration_since(machine.lease_from) > seconds(self.timing.lease_s) {
                machine.stint += 1;
                machine.lease_from = now;
                machine.changed = true;
                self.record
                    .line(&format!("{}: its lease expired", machine.name));
                self.end_all(&mut world, index, "the worker's lease expired");
            }
            self.advance_tasks(&mut world, index, now);
        }
    }

    fn advance_tasks(&self, world: &mut World, index: usize, now: Instant) {
        for position in 0..world.machines[index].tasks.len() {
            let machine = &world.machines[index];
            let task = &machine.tasks[position];
            let (piece, attempt, name) = (task.piece.clone(), task.attempt, machine.name.clone());
            // A task of a job that was not uploaded was refused as unknown.
            let Some(job) = world.jobs.get(job_of(&piece)).cloned() else {
                continue;
            };
            let due = task.until.is_some_and(|until| until <= now);
            match task.phase {
                Phase::Fetching if due => {
                    self.cache(world, index, &job);
                    let stay = Stay {
                        piece: piece.clone(),
                        machine: name.clone(),
                        attempt,
                        from: now,
                        to: None,
                        end: "",
                    };
                    world.stays.push(stay);
                    self.record
                        .line(&format!("{name}: {piece} try {attempt} is on the machine"));
                    let is_gang = job.shape == "gang";
                    let phase = if is_gang {
                        Phase::Gathering
                    } else {
                        Phase::Running
                    };
                    let run_s = if world.done.contains_key(&piece) {
                        0.0
                    } else {
                        job.run_s
                    };
                    let machine = &mut world.machines[index];
                    let fails = job.shape == "sweep" && std::mem::take(&mut machine.fails_next);
                    let run_s = if fails { FAILS_AFTER_S } else { run_s };
                    let until = (!is_gang && run_s.is_finite()).then(|| now + seconds(run_s));
                    set_phase(machine, position, phase, until);
                    machine.tasks[position].fails = fails;
                    if is_gang {
                        start_gang(world, &job, &piece, attempt, now);
                    }
                }
                Phase::Gathering
                    if now.duration_since(task.since) > seconds(self.timing.gang_wait_s) =>
                {
                    self.exit(world, index, position, "alone");
                }
                Phase::Running if due && task.fails => {
                    self.exit(world, index, position, "error");
                }
                Phase::Running if due => {
                    world.done.entry(piece).or_insert(now);
                    self.exit(world, index, position, "done");
                }
                Phase::Running
                    if job.shape == "gang"
                        && now.duration_since(task.since) > seconds(self.timing.gang_peer_s)
                        && !gang_is_whole(world, &job, &piece, attempt) =>
                {
                    self.exit(world, index, position, "peers");
                }
                _ => {}
            }
        }
    }

    /// Adds an image to a machine's cache, and drops the least recently used ones beyond its
    /// size.
    fn cache(&self, world: &mut World, index: usize, job: &Job) {
        let machine = &mut world.machines[index];
        let local_gb = self.type_of(machine.label).local_gb;
        machine.images.retain(|(image, _)| *image != job.image);
        machine.images.push((job.image.clone(), job.size_gb));
        while machine.images.len() > 1
            && machine.images.iter().map(|(_, size)| size).sum::<f64>() > local_gb
        {
            machine.images.remove(0);
        }
    }

    fn exit(&self, world: &mut World, index: usize, position: usize, cause: &'static str) {
        let name = world.machines[index].name.clone();
        set_phase(&mut world.machines[index], position, Phase::Ended, None);
        let task = &mut world.machines[index].tasks[position];
        task.cause = cause;
        let ended = Task {
            piece: task.piece.clone(),
            ..*task
        };
        self.end_stay(world, &name, &ended, cause);
    }

    /// Carries out orders, in their order.
    fn execute(&self, world: &mut World, index: usize, orders: &[Json]) {
        for order in orders {
            let (piece, attempt) = (order.str("piece"), order.u64("try"));
            let machine = &world.machines[index];
            let same = |task: &Task| task.piece == piece && task.attempt == attempt;
            let position = machine.tasks.iter().position(same);
            match (order.str("verb").as_str(), position) {
                ("run", None) => self.run(world, index, piece, attempt),
                ("stop", Some(position)) => {
                    if machine.tasks[position].phase != Phase::Ended {
                        self.exit(world, index, position, "stopped");
                    }
                }
                ("forget", Some(position)) => {
                    if machine.tasks[position].phase == Phase::Ended {
                        world.machines[index].tasks.remove(position);
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&self, world: &mut World, index: usize, piece: String, attempt: u64) {
        let now = Instant::now();
        let name = world.machines[index].name.clone();
        self.record
            .line(&format!("{name}: is told to run {piece} try {attempt}"));
        let mut task = Task {
            piece,
            attempt,
            phase: Phase::Ended,
            cause: "unknown",
            since: now,
            until: None,
            fails: false,
        };
        if let Some(job) = world.jobs.get(job_of(&task.piece)).cloned() {
            let machine = &world.machines[index];
            let t = self.type_of(machine.label);
            let live: Vec<&Task> = machine
                .tasks
                .iter()
                .filter(|task| task.phase != Phase::Ended)
                .collect();
            let used = |amount: fn(&Job) -> f64| -> f64 {
                let jobs = live.iter().map(|task| &world.jobs[job_of(&task.piece)]);
                jobs.map(amount).sum::<f64>() + amount(&job)
            };
            let fits = used(|j| j.cpus) <= t.cpus + 1e-6
                && used(|j| j.gpus) <= t.gpus + 1e-6
                && used(|j| j.memory_gb) <= t.memory_gb + 1e-6;
            if live.iter().any(|other| other.piece == task.piece) {
                task.cause = "busy";
            } else if !fits {
                task.cause = "full";
            } else {
                task.phase = Phase::Fetching;
                task.cause = "";
                task.until = Some(self.fetched_at(world, index, &job, now));
            }
        }
        world.machines[index].tasks.push(task);
        world.machines[index].changed = true;
    }

    /// When a machine has an image. Images are fetched one after the other.
    fn fetched_at(&self, world: &mut World, index: usize, job: &Job, now: Instant) -> Instant {
        let rate = self.type_of(world.machines[index].label).pull_gb_per_s;
        let machine = &world.machines[index];
        if machine.images.iter().any(|(image, _)| *image == job.image) {
            return now;
        }
        let same = |task: &&Task| {
            task.phase == Phase::Fetching && world.jobs[job_of(&task.piece)].image == job.image
        };
        if let Some(until) = machine.tasks.iter().find(same).and_then(|task| task.until) {
            return until;
        }
        let machine = &mut world.machines[index];
        let until = machine.fetching_until.max(now) + seconds(job.size_gb / rate);
        machine.fetching_until = until;
        until
    }

    /// The report of a machine; each is newer than the one before.
    fn report(&self, machine: &mut Machine) -> String {
        machine.tally += 1;
        let tasks: Vec<String> = machine
            .tasks
            .iter()
            .map(|task| {
                let stance = match task.phase {
                    Phase::Fetching => "fetching",
                    Phase::Gathering => "gathering",
                    Phase::Running => "running",
                    Phase::Ended => "ended",
                };
                let cause = match task.phase {
                    Phase::Ended => format!(r#","cause":{}"#, quote(task.cause)),
                    _ => String::new(),
                };
                format!(
                    r#"{{"piece":{},"try":{},"stance":{}{cause}}}"#,
                    quote(&task.piece),
                    task.attempt,
                    quote(stance)
                )
            })
            .collect();
        format!(
            r#"{{"rig":{},"address":{},"build":{},"yard":{},"loaners":{},"stint":{},"tally":{},"baton":{},"recallS":null,"pieces":[{}]}}"#,
            quote(&machine.name),
            quote(&machine.address),
            quote(machine.label),
            quote(machine.zone),
            machine.spot,
            machine.stint,
            machine.tally,
            machine.baton,
            tasks.join(",")
        )
    }

    /// Serves the worker's own address.
    fn serve_worker(&self, index: usize, request: &Request) -> Option<Reply> {
        let mut world = self.world();
        if world.machines[index].gone.is_some() {
            return None;
        }
        if request.path == "/status" {
            return Some((200, self.report(&mut world.machines[index])));
        }
        let body = Json::parse(&request.body)?;
        if body.get("baton").is_none() || body.get("stint").is_none() {
            return Some((400, "{}".into()));
        }
        let machine = &mut world.machines[index];
        if body.u64("baton") < machine.baton || body.u64("stint") != machine.stint {
            return Some((409, self.report(machine)));
        }
        machine.baton = body.u64("baton");
        self.execute(&mut world, index, body.arr("orders"));
        Some((200, self.report(&mut world.machines[index])))
    }

    /// Sends reports until the machine is gone.
    fn report_loop(self: Arc<Self>, index: usize) {
        let mut node = index % self.nodes.len();
        let mut spread = index as u64 * 7919 + 13;
        loop {
            let (body, sent, stint) = {
                let mut world = self.world();
                let machine = &mut world.machines[index];
                if machine.gone.is_some() {
                    return;
                }
                machine.changed = false;
                (self.report(machine), Instant::now(), machine.stint)
            };
            let address = &self.nodes[node].1;
            let wait = Duration::from_secs(4);
            match call(address, "POST", "/agent/beat", &body, wait) {
                Ok((200, reply)) => self.receive(index, &reply, sent, stint),
                Ok((421, reply)) => {
                    let named = Json::parse(&reply).map(|r| r.str("steward"));
                    let found = self.nodes.iter().position(|n| Some(&n.0) == named.as_ref());
                    match found.filter(|found| *found != node) {
                        Some(found) => {
                            node = found;
                            thread::sleep(Duration::from_millis(100));
                        }
                        None => {
                            node = (node + 1) % self.nodes.len();
                            thread::sleep(Duration::from_secs(1));
                        }
                    }
                    continue;
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            spread = spread.wrapping_mul(6364136223846793005).wrapping_add(1);
            let factor = 0.75 + 0.5 * ((spread >> 33) % 1000) as f64 / 1000.0;
            let next = sent + seconds(self.timing.report_s * factor);
            let earliest = sent + Duration::from_millis(500);
            loop {
                let now = Instant::now();
                let changed = self.world().machines[index].changed;
                if now >= next || changed && now >= earliest {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Takes an accepted answer to a report.
    fn receive(&self, index: usize, reply: &str, sent: Instant, stint: u64) {
        let Some(reply) = Json::parse(reply) else {
            return;
        };
        let mut world = self.world();
        let machine = &mut world.machines[index];
        let baton = reply.u64("baton");
        if machine.stint != stint || reply.get("baton").is_none() || baton < machine.baton {
            return;
        }
        if baton > machine.baton {
            machine.baton = baton;
            machine.changed = true;
        }
        machine.lease_from = sent;
        self.execute(&mut world, index, reply.arr("orders"));
    }
}

fn set_phase(machine: &mut Machine, position: usize, phase: Phase, until: Option<Instant>) {
    let task = &mut machine.tasks[position];
    task.phase = phase;
    task.until = until;
    task.since = Instant::now();
    machine.changed = true;
}

fn add_machine(world: &mut World, offer: &Capacity, spot: bool, boot: Duration) -> String {
    let now = Instant::now();
    let name = format!("i-{:06}", world.machines.len() + 1);
    world.machines.push(Machine {
        name: name.clone(),
        label: offer.label,
        zone: offer.zone,
        spot,
        asked: now,
        boots: now + boot,
        gone: None,
        address: "127.0.0.1:1".into(),
        started: false,
        stint: 1,
        tally: 0,
        baton: 0,
        lease_from: now,
        changed: false,
        fails_next: world.faulty,
        tasks: Vec::new(),
        images: Vec::new(),
        fetching_until: now,
    });
    name
}

/// The positions of a gang's tasks of one attempt in one of two phases.
fn gang_tasks(world: &World, piece: &str, attempt: u64, phase: Phase) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    for (index, machine) in world.machines.iter().enumerate() {
        for (position, task) in machine.tasks.iter().enumerate() {
            let same = job_of(&task.piece) == job_of(piece) && task.attempt == attempt;
            if same && task.phase == phase {
                found.push((index, position));
            }
        }
    }
    found
}

/// Starts a gang once its last task has its image.
fn start_gang(world: &mut World, job: &Job, piece: &str, attempt: u64, now: Instant) {
    let gathered = gang_tasks(world, piece, attempt, Phase::Gathering);
    if gathered.len() == job.tasks as usize {
        for (index, position) in gathered {
            let until = Some(now + seconds(job.run_s));
            set_phase(&mut world.machines[index], position, Phase::Running, until);
        }
    }
}

fn gang_is_whole(world: &World, job: &Job, piece: &str, attempt: u64) -> bool {
    let running = gang_tasks(world, piece, attempt, Phase::Running).len();
    let prefix = format!("{}/", job_of(piece));
    let done = world.done.keys().filter(|p| p.starts_with(&prefix)).count();
    running + done >= job.tasks as usize
}
