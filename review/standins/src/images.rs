//! Case: the record of a machine with many images is left out of a snapshot. A controller that
//! restarts from it doesn't know the machine; once it owns the machine's shard, it takes the tasks
//! there for lost, and they start a second time.

use crate::cloud::{Capacity, Job};
use crate::record::Record;
use crate::site::{lockkeeper, towpath, Site};
use crate::users::{Submission, Users};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Images that one machine fetches, each of 0.02 GB; its cache has 120 GB.
const IMAGES: usize = 130;
/// The image of the services and of the jobs of interest, which is on that machine too.
const LARGE_IMAGE: &str = "img-07";
const LARGE_GB: f64 = 2.0;
/// The jobs of interest, and how long each of them runs.
const BATCH: [&str; 4] = ["j-900011", "j-900012", "j-900013", "j-900014"];
const RUN_S: f64 = 40.0;
/// The services, each on a machine of its own.
const SERVICES: [&str; 2] = ["j-900001", "j-900002"];
/// The controller that crashes: that of the machines' zone. How long it is away.
const VICTIM: usize = 0;
const RESTART_S: f64 = 3.0;
/// How long the users watch at most, and when the case ends at the latest, in seconds.
const WATCH_S: f64 = 75.0;
const END_S: f64 = 112.0;

/// The reference of a container image.
fn image(number: usize) -> String {
    let digest = format!(
        "{:016x}",
        (number as u64 + 1).wrapping_mul(0x9E3779B97F4A7C15)
    );
    format!(
        "registry.midland-fittings.example/brassworks/castcheck/scan-{number:04}@sha256:{}",
        digest.repeat(4)
    )
}

fn job(id: usize, build: &'static str, image: String, size_gb: f64, run_s: f64) -> Submission {
    Submission {
        id: format!("j-{id:06}"),
        lane: "castcheck",
        crew: "brassworks",
        rank: "normal",
        guess_s: run_s,
        builds: Some(build),
        yard: None,
        together: false,
        loaners: false,
        job: Job {
            shape: "sweep".into(),
            tasks: 1,
            cpus: 0.25,
            gpus: 0.0,
            memory_gb: 1.0,
            image,
            size_gb,
            run_s,
        },
    }
}

/// Submits jobs from a few threads.
fn submit_all(users: &Arc<Users>, jobs: Vec<Submission>) -> bool {
    let jobs = Arc::new(jobs);
    let next = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..6)
        .map(|_| {
            let (users, jobs, next) = (users.clone(), jobs.clone(), next.clone());
            thread::spawn(move || {
                let mut accepted = true;
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::SeqCst)) {
                    accepted &= matches!(users.submit(job), 200 | 201);
                }
                accepted
            })
        })
        .collect();
    threads.into_iter().all(|t| t.join().unwrap_or(false))
}

fn wait_until(s: f64, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(s);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

pub fn run(record: Arc<Record>, trouble: bool) -> i32 {
    let one = |label, zone, count| Capacity {
        label,
        zone,
        count,
        spot: 0,
    };
    let capacity = vec![
        one("towpath", "braunston-loop", 3),
        one("lockkeeper", "stoke-wharf", 8),
    ];
    let types = vec![lockkeeper(1.5), towpath(1.5)];
    let mut site = Site::new(record.clone(), types, capacity);
    if !site.start() {
        record.say("the controllers did not become healthy");
        return 2;
    }
    let users = site.users.clone();
    // Small jobs come all the time, so that the log grows.
    let stop = Arc::new(AtomicBool::new(false));
    let traffic: Vec<_> = (1..=4)
        .map(|lane| {
            let (users, stop) = (users.clone(), stop.clone());
            thread::spawn(move || {
                let mut id = 100_000 * lane;
                while !stop.load(Ordering::SeqCst) {
                    id += 1;
                    users.submit(&job(id, "lockkeeper", "img-07".into(), 1.0, 0.5));
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    let prepared = prepare(&site, &users);
    stop.store(true, Ordering::SeqCst);
    traffic.into_iter().for_each(|t| drop(t.join()));
    if let Err(why) = prepared {
        record.say(&why);
        return 2;
    }
    let mut trouble = trouble;
    if trouble {
        record.say("one controller crashes");
        site.nodes.kill(VICTIM);
    }
    let crashed = Instant::now();
    let jobs = BATCH.map(|id| {
        let mut batch = job(0, "towpath", LARGE_IMAGE.into(), LARGE_GB, RUN_S);
        batch.id = id.into();
        batch
    });
    let submitting = users.clone();
    let submitting = thread::spawn(move || submit_all(&submitting, jobs.to_vec()));
    while crashed.elapsed().as_secs_f64() < WATCH_S && record.at() < END_S {
        thread::sleep(Duration::from_millis(100));
        if trouble && crashed.elapsed().as_secs_f64() >= RESTART_S {
            trouble = false;
            site.nodes.start(VICTIM);
        }
        if !trouble && (are_done(&site) || !starts_while_elsewhere(&site).is_empty()) {
            break;
        }
    }
    if !submitting.join().unwrap_or(false) {
        record.say("a job was not accepted");
        return 2;
    }
    judge(&mut site, &users)
}

fn piece(id: &str) -> String {
    format!("{id}/0")
}

/// Starts a service that takes more than half of the memory of a machine.
fn start_service(site: &Site, users: &Arc<Users>, id: &str) -> Result<(), String> {
    let mut service = job(0, "towpath", LARGE_IMAGE.into(), LARGE_GB, f64::INFINITY);
    service.id = id.into();
    service.guess_s = 0.0;
    service.rank = "prod";
    service.job.shape = "standing".into();
    service.job.memory_gb = 100.0;
    if !submit_all(users, vec![service]) {
        return Err("a service was not accepted".into());
    }
    let is_up = || {
        let world = site.platform.world();
        world.stays.iter().any(|stay| stay.piece == piece(id))
    };
    if !wait_until(20.0, is_up) {
        return Err("a service did not start in time".into());
    }
    Ok(())
}

/// Brings many images to one machine, starts a second machine, and waits for a snapshot.
fn prepare(site: &Site, users: &Arc<Users>) -> Result<(), String> {
    start_service(site, users, SERVICES[0])?;
    let images = (0..IMAGES).map(|n| job(n + 1, "towpath", image(n), 0.02, 0.5));
    site.record
        .say(&format!("{IMAGES} jobs, each with an image of its own"));
    if !submit_all(users, images.collect()) {
        return Err("a job was not accepted".into());
    }
    let all_done = || {
        let world = site.platform.world();
        let mut numbers = 1..=IMAGES;
        numbers.all(|n| world.done.contains_key(&piece(&format!("j-{n:06}"))))
    };
    if !wait_until(40.0, all_done) {
        return Err("the jobs with the images were not done in time".into());
    }
    start_service(site, users, SERVICES[1])?;
    let ledger = site.state.ledger();
    site.record
        .say("these jobs are done; waiting for a snapshot");
    let covered = || {
        site.state
            .value("w/base")
            .is_some_and(|m| m.u64("at") >= ledger)
    };
    if !wait_until(45.0, covered) {
        return Err("no snapshot was written in time".into());
    }
    let manifest = site.state.value("w/base").map(|v| v.text());
    site.record
        .say(&format!("snapshot: {}", manifest.unwrap_or_default()));
    Ok(())
}

/// Whether all jobs of interest are done.
fn are_done(site: &Site) -> bool {
    let world = site.platform.world();
    BATCH.iter().all(|id| world.done.contains_key(&piece(id)))
}

/// The tasks that started on one machine while they were on another.
fn starts_while_elsewhere(site: &Site) -> Vec<String> {
    let world = site.platform.world();
    let mut found = Vec::new();
    for later in &world.stays {
        let elsewhere = world.stays.iter().find(|stay| {
            stay.piece == later.piece
                && stay.machine != later.machine
                && stay.from <= later.from
                && stay.to.is_none_or(|to| to > later.from)
        });
        if let Some(stay) = elsewhere {
            let since_s = (later.from - stay.from).as_secs_f64();
            found.push(format!(
                "{} started on {} (try {}) while it was on {} (try {}) for {since_s:.1} s",
                later.piece, later.machine, later.attempt, stay.machine, stay.attempt
            ));
        }
    }
    found
}

fn judge(site: &mut Site, users: &Users) -> i32 {
    let record = site.record.clone();
    for id in SERVICES.iter().chain(&BATCH) {
        let answers: Vec<_> = (0..3).map(|node| users.ask(node, id)).collect();
        let on = site.on_machines(id);
        record.say(&format!(
            "{id}: on {on} machines; the answers are {answers:?}"
        ));
    }
    let ended = site.nodes.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {ended:?}"));
    }
    let twice = starts_while_elsewhere(site);
    for line in &twice {
        record.say(line);
    }
    if !twice.is_empty() {
        record.say("BROKEN: a task started on one machine while it was on another");
        return 1;
    }
    if !are_done(site) {
        record.say("undecided: the jobs are not done, and none ran twice");
        return 2;
    }
    record.say("held: each job ran on one machine only, and is done");
    0
}
