//! The cases.

use crate::Verdict;
use crate::cloud::Capacity;
use crate::site::{Plan, Site, ZONES, job};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// How a case is played.
pub struct Context {
    pub root: PathBuf,
    pub record: PathBuf,
    pub temp: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// A job may wait for at most this long while a machine that fits has room and its team is under
/// its limit, in seconds.
const WAIT_LIMIT_S: f64 = 90.0;

/// A case ends by this time, in seconds.
const LAST_S: f64 = 115.0;

pub fn play(case: &str, context: &Context) -> Result<Verdict, String> {
    match case {
        "four-errors" => four_errors(context),
        "no-capacity" => no_capacity(context),
        "mistakes" => mistakes(context),
        "gang-fetch" => gang_fetch(context),
        "low-guess" => low_guess(context),
        _ => Err(format!("no case {case}")),
    }
}

/// The machine type `lockkeeper` of the site midland-fittings-hunt.
fn lockkeeper(startup_s: f64) -> Value {
    json!([{
        "label": "lockkeeper", "cpus": 16.0, "gpus": 2.0, "memoryGb": 96.0, "localGb": 60.0,
        "pullGbPerS": 0.4, "hourly": 5.41, "lowPrice": 2.02, "startupS": startup_s,
        "yards": ZONES,
    }])
}

/// Ordinary machines only, `count` in each of the first `zones` zones.
fn ordinary(zones: usize, count: usize) -> Vec<Capacity> {
    let zones = ZONES[..zones].iter();
    let capacity = zones.map(|zone| Capacity {
        build: "lockkeeper".into(),
        yard: zone.to_string(),
        loaners: false,
        count,
        pull_factor: 1.0,
    });
    capacity.collect()
}

fn plan(startup_s: f64, capacity: Vec<Capacity>) -> Plan {
    Plan {
        teams: "[[settings.teams]]\nname = \"brassworks\"\n".into(),
        types: lockkeeper(startup_s),
        capacity,
        boot_s: 2.0,
        report_s: 8.0,
        lease_s: 36.0,
        cancel_s: 61.0,
    }
}

fn in_zone(mut spec: Value, zone: &str) -> Value {
    spec["yard"] = json!(zone);
    spec
}

fn start(plan: &Plan, context: &Context) -> Result<Site, String> {
    let site = Site::start(plan, &context.root, &context.temp, &context.record)?;
    site.wait_healthy(Duration::from_secs(15))?;
    Ok(site)
}

/// Waits until a task of a job runs.
fn wait_running(site: &Site, job: &str, limit_s: u64) -> Result<(), String> {
    site.wait_for(&format!("{job} runs"), Duration::from_secs(limit_s), || {
        site.world.runs_of(job).iter().any(|run| run.end.is_none())
    })
}

/// Whether a machine that a job may use has room for a task or, if the job is a gang, as many
/// machines as it has tasks.
fn has_room(site: &Site, spec: &Value) -> bool {
    let amount = |name: &str| spec[name].as_f64().unwrap_or(0.0);
    let needs = [amount("cpus"), amount("gpus"), amount("memoryGb")];
    let fits = |free: [f64; 3]| {
        free.iter()
            .zip(needs)
            .all(|(free, need)| need <= free + 1e-6)
    };
    let zone = spec["yard"].as_str();
    let machines = site.world.machines().into_iter();
    let with_room = machines
        .filter(|machine| zone.is_none_or(|zone| zone == machine.kind.yard))
        .filter(|machine| fits(machine.free()));
    let needed = match spec["shape"].as_str() {
        Some("gang") => spec["pieces"].as_u64().unwrap_or(1) as usize,
        _ => 1,
    };
    with_room.count() >= needed
}

/// Watches a job with one task that waits: broken once it has waited for 90 s in one go while a
/// machine that fits had room; held once it runs, is done, or could not run.
fn watch_waiting(site: &mut Site, spec: &Value, watch_s: f64) -> Result<Verdict, String> {
    let job = spec["uid"].as_str().unwrap_or("").to_string();
    let began_s = site.world.record.now_s();
    let mut since_s: Option<f64> = None;
    let mut longest_s: f64 = 0.0;
    let mut round = 0;
    loop {
        thread::sleep(Duration::from_millis(250));
        let now_s = site.world.record.now_s();
        let runs = site.world.runs_of(&job);
        let is_active =
            |run: &crate::world::Run| run.end.as_ref().is_none_or(|(_, why)| why == "done");
        let has_run = match spec["shape"].as_str() {
            Some("gang") => site.world.gang_ran(&job),
            _ => runs.iter().any(is_active),
        };
        if has_run {
            return Ok(Verdict::Held(format!(
                "{job} ran; it had waited {longest_s:.0} s"
            )));
        }
        if has_room(site, spec) {
            let since_s = *since_s.get_or_insert(now_s);
            longest_s = longest_s.max(now_s - since_s);
        } else {
            since_s = None;
        }
        if round % 20 == 0 {
            site.poll(round / 20 % ZONES.len(), &job);
        }
        round += 1;
        if let Some(node) = site.ended_controller() {
            return Err(format!("walker-{node} ended by itself"));
        }
        if longest_s > WAIT_LIMIT_S {
            let text = format!("{job} was left waiting {longest_s:.1} s though a machine had room");
            site.world.record.line(&text);
            return Ok(Verdict::Broken(text));
        }
        if now_s - began_s > watch_s || now_s > LAST_S {
            let text = format!("{job} waited {longest_s:.0} s with room, less than the limit");
            return Ok(Verdict::Held(text));
        }
    }
}

/// The tasks of a job exit with `error` once, each on another one of the four machines that the job
/// may use.
fn four_errors(context: &Context) -> Result<Verdict, String> {
    let zone = ZONES[2];
    let mut capacity = ordinary(3, 4);
    capacity.retain(|capacity| capacity.yard == zone);
    let mut site = start(&plan(35.0, capacity), context)?;
    for number in 1..5 {
        let uid = format!("j-00000{number}");
        let mut service = in_zone(job(&uid, "partmatch", "standing", "prod", 0.0), zone);
        service["cpus"] = json!(9.0);
        site.submit(&service, None)?;
    }
    for number in 1..5 {
        wait_running(&site, &format!("j-00000{number}"), 20)?;
    }
    if context.trouble {
        for rig in site
            .world
            .machines()
            .iter()
            .map(|machine| machine.rig.clone())
        {
            (0..4).for_each(|index| site.world.fail_once(&format!("j-000101/{index}"), &rig));
        }
    }
    let mut batch = in_zone(job("j-000101", "castcheck", "sweep", "normal", 10.0), zone);
    batch["pieces"] = json!(4);
    batch["cpus"] = json!(6.0);
    site.submit(&batch, Some(10.0))?;
    let limit = Duration::from_secs(15);
    site.wait_for("the first starts", limit, || {
        site.world.runs_of("j-000101").len() >= 4
    })?;
    site.world.end_failures();
    watch_waiting(&mut site, &batch, 95.0)
}

/// Submits short jobs of the class of the mistaken ones, all of which are done in another zone.
fn submit_good_jobs(site: &Site, zone: &str, count: usize) -> Result<(), String> {
    const USERS: usize = 12;
    let submit = |user: usize| -> Result<(), String> {
        for number in (user..count).step_by(USERS) {
            let uid = format!("j-{:06}", 1000 + number);
            let mut spec = in_zone(job(&uid, "castcheck", "sweep", "normal", 1.0), zone);
            spec["gpus"] = json!(0.0);
            spec["cpus"] = json!(1.0);
            spec["memoryGb"] = json!(4.0);
            site.submit(&spec, Some(1.0))?;
        }
        Ok(())
    };
    thread::scope(|scope| {
        let submit = &submit;
        let users: Vec<_> = (0..USERS)
            .map(|user| scope.spawn(move || submit(user)))
            .collect();
        users
            .into_iter()
            .try_for_each(|user| user.join().map_err(|_| "a user ended")?)
    })
}

/// Three of 75 jobs were submitted with a mistake. They fail on a machine, and are cancelled.
fn mistakes(context: &Context) -> Result<Verdict, String> {
    let zone = ZONES[2];
    let mut capacity = ordinary(3, 1);
    capacity.retain(|capacity| capacity.yard != ZONES[0]);
    let mut site = start(&plan(35.0, capacity), context)?;
    let service = in_zone(job("j-000001", "partmatch", "standing", "prod", 0.0), zone);
    site.submit(&service, None)?;
    wait_running(&site, "j-000001", 20)?;
    let rig = site.world.runs_of("j-000001")[0].rig.clone();
    let long = in_zone(job("j-000002", "castcheck", "sweep", "normal", 200.0), zone);
    site.submit(&long, Some(200.0))?;
    wait_running(&site, "j-000002", 20)?;
    submit_good_jobs(&site, ZONES[1], 72)?;
    let faulty: Vec<String> = (11..14).map(|number| format!("j-0000{number}")).collect();
    for uid in &faulty {
        if context.trouble {
            site.world.fail_always(&format!("{uid}/0"), &rig);
        }
        let mut spec = in_zone(job(uid, "castcheck", "sweep", "normal", 2.0), zone);
        spec["gpus"] = json!(0.0);
        spec["cpus"] = json!(2.0);
        site.submit(&spec, Some(2.0))?;
    }
    for uid in &faulty {
        let limit = Duration::from_secs(15);
        site.wait_for("its end", limit, || {
            site.world.runs_of(uid).iter().any(|run| run.end.is_some())
        })?;
    }
    thread::sleep(Duration::from_secs(5));
    for uid in faulty.iter().filter(|_| context.trouble) {
        site.cancel(uid, 0);
    }
    watch_waiting(&mut site, &service, 93.0)
}

/// The cloud has no further machine for a zone, while the only one there runs a long task.
fn no_capacity(context: &Context) -> Result<Verdict, String> {
    let zone = ZONES[2];
    let mut capacity = ordinary(3, if context.trouble { 1 } else { 4 });
    capacity.retain(|capacity| capacity.yard == zone);
    let mut site = start(&plan(35.0, capacity), context)?;
    let long = in_zone(job("j-000002", "castcheck", "sweep", "normal", 200.0), zone);
    site.submit(&long, Some(200.0))?;
    wait_running(&site, "j-000002", 20)?;
    thread::sleep(Duration::from_secs(3));
    let service = in_zone(job("j-000001", "partmatch", "standing", "prod", 0.0), zone);
    site.submit(&service, None)?;
    watch_waiting(&mut site, &service, 95.0)
}

/// The owner of a job has guessed half of its run time.
fn low_guess(context: &Context) -> Result<Verdict, String> {
    let (busy, free) = (ZONES[1], ZONES[2]);
    let mut capacity = ordinary(3, 1);
    capacity.retain(|capacity| capacity.yard != ZONES[0]);
    let mut plan = plan(5.0, capacity);
    plan.teams += "gpus = 0.0\ngpus_max = 4.0\n";
    let mut site = start(&plan, context)?;
    let mut service = in_zone(job("j-000001", "partmatch", "standing", "prod", 0.0), free);
    service["gpus"] = json!(0.0);
    site.submit(&service, None)?;
    wait_running(&site, "j-000001", 20)?;
    let run_s = 110.0;
    let batch = |uid: &str, zone: &str, guess_s: f64| {
        let mut spec = in_zone(job(uid, "castcheck", "sweep", "normal", guess_s), zone);
        spec["gpus"] = json!(2.0);
        spec
    };
    let guess_s = if context.trouble { run_s / 2.0 } else { run_s };
    site.submit(&batch("j-000011", busy, guess_s), Some(run_s))?;
    wait_running(&site, "j-000011", 20)?;
    site.submit(&batch("j-000012", busy, guess_s), Some(run_s))?;
    thread::sleep(Duration::from_secs(2));
    let waiting = batch("j-000013", free, guess_s);
    site.submit(&waiting, Some(run_s))?;
    watch_waiting(&mut site, &waiting, 93.0)
}

/// The machines of a gang fetch its image at different rates.
fn gang_fetch(context: &Context) -> Result<Verdict, String> {
    let (fast, slow) = if context.trouble {
        (4.0 / 3.0, 2.0 / 3.0)
    } else {
        (1.0, 1.0)
    };
    let one = |build: &str, zone: usize, pull_factor: f64| Capacity {
        build: build.into(),
        yard: ZONES[zone].into(),
        loaners: false,
        count: 1,
        pull_factor,
    };
    let capacity = vec![one("towpath", 0, fast), one("lockkeeper", 2, slow)];
    let mut plan = plan(35.0, capacity);
    plan.types = json!([
        {
            "label": "lockkeeper", "cpus": 16.0, "gpus": 2.0, "memoryGb": 96.0, "localGb": 60.0,
            "pullGbPerS": 0.4, "hourly": 5.41, "lowPrice": 2.02, "startupS": 35.0,
            "yards": [ZONES[2]],
        },
        {
            "label": "towpath", "cpus": 48.0, "gpus": 8.0, "memoryGb": 192.0, "localGb": 120.0,
            "pullGbPerS": 0.6, "hourly": 27.29, "lowPrice": 10.78, "startupS": 50.0,
            "yards": [ZONES[0]],
        },
    ]);
    let mut site = start(&plan, context)?;
    let mut gang = job("j-000101", "fitsim", "gang", "normal", 10.0);
    gang["pieces"] = json!(2);
    gang["spread"] = json!(true);
    gang["kit"] = json!("img-19");
    gang["sizeGb"] = json!(19.0);
    site.submit(&gang, Some(10.0))?;
    site.wait_for("both machines", Duration::from_secs(12), || {
        site.world.machines().len() == 2
    })?;
    watch_waiting(&mut site, &gang, 100.0)
}
