//! Case: a job whose tasks failed once on each of three machines is never started again, although
//! all three have room for it and fail no more.

use crate::cloud::{Capacity, Job};
use crate::record::Record;
use crate::site::{lockkeeper, Site};
use crate::users::Submission;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The batch job of interest, an array of one task for each machine.
const BATCH: &str = "j-000100";
const TASKS: u32 = 3;
const RUN_S: f64 = 10.0;
/// No job is to wait for longer while a machine that fits has room.
const MAX_WAIT_S: f64 = 90.0;
/// When the case ends at the latest, in seconds from its start.
const END_S: f64 = 114.0;

fn submission(
    id: &str,
    shape: &str,
    tasks: u32,
    cpus: f64,
    memory_gb: f64,
    run_s: f64,
) -> Submission {
    let is_service = shape == "standing";
    Submission {
        id: id.into(),
        lane: if is_service { "partmatch" } else { "castcheck" },
        crew: "brassworks",
        rank: if is_service { "prod" } else { "normal" },
        guess_s: if is_service { 0.0 } else { run_s },
        builds: None,
        yard: None,
        together: false,
        loaners: false,
        job: Job {
            shape: shape.into(),
            tasks,
            cpus,
            gpus: 1.0,
            memory_gb,
            image: "img-07".into(),
            size_gb: 0.4,
            run_s,
        },
    }
}

pub fn run(record: Arc<Record>, trouble: bool) -> i32 {
    let capacity = vec![Capacity {
        label: "lockkeeper",
        zone: "stoke-wharf",
        count: 8,
        spot: 0,
    }];
    let mut site = Site::new(record.clone(), vec![lockkeeper(1.5)], capacity);
    site.platform.world().faulty = trouble;
    if !site.start() {
        record.say("the controllers did not become healthy");
        return 2;
    }
    let users = site.users.clone();
    // Each service takes more than half of the memory of a machine, so that three are rented.
    let services = ["j-000001", "j-000002", "j-000003"];
    for id in services {
        users.submit(&submission(id, "standing", 1, 4.0, 50.0, f64::INFINITY));
    }
    let started = Instant::now();
    while services.iter().any(|id| site.on_machines(id) == 0) {
        if started.elapsed().as_secs() > 20 {
            record.say("the services did not start in time");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.say("the services are on three machines");
    let status = users.submit(&submission(BATCH, "sweep", TASKS, 6.0, 36.0, RUN_S));
    record.say(&format!("{BATCH}: submitted, the answer is {status}"));
    let mut waiting_since: Option<Instant> = None;
    let mut longest_s: f64 = 0.0;
    let mut is_done = false;
    let mut polls = 0;
    while record.at() < END_S && longest_s < MAX_WAIT_S && !is_done {
        thread::sleep(Duration::from_secs(1));
        polls += 1;
        is_done = users.ask(polls % 3, BATCH).1 == "done";
        if site.on_machines(BATCH) > 0 {
            waiting_since = None;
        } else {
            let since = *waiting_since.get_or_insert_with(Instant::now);
            longest_s = since.elapsed().as_secs_f64();
        }
    }
    let world = site.platform.world();
    for stay in world
        .stays
        .iter()
        .filter(|stay| stay.piece.starts_with(BATCH))
    {
        record.say(&format!(
            "{} was on {}: {}",
            stay.piece, stay.machine, stay.end
        ));
    }
    drop(world);
    let answers: Vec<_> = (0..3).map(|node| users.ask(node, BATCH)).collect();
    let up = services
        .iter()
        .filter(|id| site.on_machines(id) == 1)
        .count();
    record.say(&format!(
        "{BATCH}: the answers are {answers:?}; services on their machines: {up}"
    ));
    let ended = site.nodes.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {ended:?}"));
    }
    if is_done {
        record.say("held: the job is done");
        return 0;
    }
    record.say(&format!(
        "no task of the job was on a machine for {longest_s:.1} s"
    ));
    if longest_s >= MAX_WAIT_S {
        record.say("BROKEN: an accepted job is left waiting while three machines have room");
        return 1;
    }
    record.say("undecided");
    2
}
