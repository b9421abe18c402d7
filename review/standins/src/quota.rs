//! Case: a gang for which the cloud has too few machines takes up its team's limit without
//! running, so that no other job of the team starts.

use crate::cloud::{Capacity, Job};
use crate::record::Record;
use crate::site::{lockkeeper, Site};
use crate::users::Submission;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GANG: &str = "j-000100";
const BATCH: &str = "j-000200";
const RUN_S: f64 = 8.0;
/// No job is to wait for longer while a machine that fits has room.
const MAX_WAIT_S: f64 = 90.0;
/// When the case ends at the latest, in seconds from its start.
const END_S: f64 = 114.0;

/// A team whose limit is what the gang needs.
const TEAM: &str = r#"
[[settings.teams]]
name = "tillerlab"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 4.0
"#;

/// A job of a team: the gang, an array, or a service.
fn submission(id: &str, crew: &'static str, shape: &str, cpus: f64, run_s: f64) -> Submission {
    let is_gang = shape == "gang";
    let (tasks, gpus) = match shape {
        "gang" => (2, 2.0),
        "sweep" => (2, 1.0),
        _ => (1, 0.0),
    };
    Submission {
        id: id.into(),
        lane: if is_gang { "fitsim" } else { "castcheck" },
        crew,
        rank: if is_gang { "urgent" } else { "normal" },
        guess_s: if run_s.is_finite() { run_s } else { 0.0 },
        builds: None,
        yard: None,
        together: is_gang,
        loaners: false,
        job: Job {
            shape: shape.into(),
            tasks,
            cpus,
            gpus,
            memory_gb: 30.0,
            image: "img-07".into(),
            size_gb: 0.4,
            run_s,
        },
    }
}

pub fn run(record: Arc<Record>, trouble: bool) -> i32 {
    // The gang needs two machines in one zone.
    let count = if trouble { 1 } else { 3 };
    let capacity = ["stoke-wharf", "tipton-basin"].map(|zone| Capacity {
        label: "lockkeeper",
        zone,
        count,
        spot: 0,
    });
    let types = vec![lockkeeper(1.5)];
    let mut site = Site::with_teams(record.clone(), types, capacity.to_vec(), TEAM);
    if !site.start() {
        record.say("the controllers did not become healthy");
        return 2;
    }
    let users = site.users.clone();
    // Another team's services keep a machine in each zone.
    for (id, yard) in [("j-000001", "stoke-wharf"), ("j-000002", "tipton-basin")] {
        let mut service = submission(id, "brassworks", "standing", 1.0, f64::INFINITY);
        service.yard = Some(yard);
        users.submit(&service);
    }
    let started = Instant::now();
    while site.on_machines("j-000001") + site.on_machines("j-000002") < 2 {
        if started.elapsed().as_secs() > 20 {
            record.say("the services did not start in time");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let status = users.submit(&submission(GANG, "tillerlab", "gang", 14.0, RUN_S));
    record.say(&format!("{GANG}: submitted, the answer is {status}"));
    thread::sleep(Duration::from_secs(3));
    let status = users.submit(&submission(BATCH, "tillerlab", "sweep", 6.0, RUN_S));
    record.say(&format!("{BATCH}: submitted, the answer is {status}"));
    let mut waiting_since: Option<Instant> = None;
    let mut longest_s: f64 = 0.0;
    let mut is_done = false;
    let mut polls = 0;
    while record.at() < END_S && longest_s < MAX_WAIT_S && !is_done {
        thread::sleep(Duration::from_secs(1));
        polls += 1;
        is_done = users.ask(polls % 3, BATCH).1 == "done";
        if site.on_machines(BATCH) + site.on_machines(GANG) > 0 {
            waiting_since = None;
        } else {
            let since = *waiting_since.get_or_insert_with(Instant::now);
            longest_s = since.elapsed().as_secs_f64();
        }
    }
    for id in [GANG, BATCH] {
        let answers: Vec<_> = (0..3).map(|node| users.ask(node, id)).collect();
        record.say(&format!("{id}: the answers are {answers:?}"));
    }
    let ended = site.nodes.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {ended:?}"));
    }
    if is_done {
        record.say("held: the batch job is done");
        return 0;
    }
    record.say(&format!(
        "no task of the team was on a machine for {longest_s:.1} s"
    ));
    if longest_s >= MAX_WAIT_S {
        record.say("BROKEN: an accepted job is left waiting while two machines have room");
        return 1;
    }
    record.say("undecided");
    2
}
