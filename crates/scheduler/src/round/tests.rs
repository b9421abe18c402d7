use super::candidates::MachineCandidate;
use super::*;
use crate::Resources;
use crate::quota::TasksPerZone;
use crate::timeline::MachineTimeline;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::jobs::JobSpec;

fn types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: cpus / 8.0,
        memory_gb: 4.0 * cpus,
        cache_gb: 60.0,
        fetch_gb_per_s: 0.5,
        price,
        spot_price: Some(price / 3.0),
        boot_s: 30.0,
        zones: vec!["east".into(), "west".into()],
    };
    vec![
        machine_type("small", 16.0, 5.0),
        machine_type("large", 64.0, 22.0),
    ]
}

fn unlimited() -> Team {
    Team {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

fn job(n: u32, gpus: f64, run_s: f64, spread: bool) -> PendingJob {
    let text = format!(
        r#"{{"uid":"j-{n}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":40,"cpus":{gpus},"gpus":{gpus},"memoryGb":1,"kit":"i-{}","sizeGb":4,
        "together":false,"spread":{spread},"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#,
        n % 3
    );
    let spec = Arc::new(JobSpec::parse(text.as_bytes()).unwrap());
    PendingJob {
        resources: Resources::of_task(&spec),
        estimates: vec![
            TaskEstimate {
                run_s,
                fetch_s: 8.0,
                boot_s: 30.0,
                allowed: true,
            };
            2
        ],
        overhead_s: 1.0,
        tasks: (0..20).collect(),
        tasks_per_zone: TasksPerZone::default(),
        avoided_machines: Vec::new(),
        price_bias: Vec::new(),
        single_probe: false,
        image: n % 3,
        spec,
    }
}

fn round<'a>(teams: &'a [Team], seed: &mut u64) -> SchedulingRound<'a> {
    let mut random = move |n: u64| {
        *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1);
        (*seed >> 33) % n
    };
    let types = types();
    let mut machines = TimelineIndex::new(100.0, 40);
    for i in 0..40 {
        let group = random(2) as usize;
        let zone = random(2) as usize;
        let ready = if random(4) == 0 { 110.0 } else { 100.0 };
        let name = format!("m-{i}");
        let mut machine = MachineTimeline::new(
            name.as_str().into(),
            group,
            &types[group],
            zone,
            random(2) == 0,
            ready,
        );
        machine.up = ready == 100.0;
        for _ in 0..random(3) {
            let amount = Resources {
                cpus: 1.0,
                gpus: 1.0,
                memory_gb: 1.0,
            };
            machine.reserve(amount, ready, ready + 5.0 + random(60) as f64);
        }
        if random(2) == 0 {
            machine.record_fetch(1, 100.0 + random(20) as f64);
        }
        machines.push(machine);
    }
    SchedulingRound {
        planned_time_s: 100.0,
        current_time_s: 100.0,
        first_rental: machines.len(),
        zones: vec!["east".into(), "west".into()],
        machines,
        rentable: Vec::new(),
        teams,
        usage: QuotaUsage::default(),
        tie_s: 3.0,
        evaluations: Cell::default(),
    }
}

/// On a full fleet few machines can be the best for a task: only those are evaluated. Each
/// job used to cost as much as there were machines.
#[test]
fn few_machines_are_evaluated_on_a_full_fleet() {
    let teams = [unlimited()];
    let mut full = round(&teams, &mut 7);
    let types = types();
    let mut machines = TimelineIndex::new(100.0, 2000);
    for i in 0..2000 {
        let name = format!("m-{i:04}");
        let mut machine =
            MachineTimeline::new(name.as_str().into(), i % 2, &types[i % 2], 0, false, 100.0);
        machine.up = true;
        let capacity = machine.capacity;
        machine.reserve(capacity, 100.0, 110.0 + i as f64);
        machines.push(machine);
    }
    full.first_rental = machines.len();
    full.machines = machines;
    let one = PendingJob {
        tasks: vec![0],
        ..job(1, 1.0, 60.0, false)
    };
    let decisions = full.schedule(std::slice::from_ref(&one));
    assert_eq!(decisions.pending_reasons.len(), 1, "its machine is busy");
    let evaluated = full.take_evaluations();
    assert!(
        (1..100).contains(&evaluated),
        "{evaluated} of 2000 machines"
    );
}

/// A job that fails wherever it runs keeps no machine from others.
#[test]
fn single_probe_reserves_and_rents_nothing() {
    let teams = [unlimited()];
    let types = types();
    for (shape, probe) in [("gang", true), ("gang", false), ("sweep", true)] {
        let mut round = round(&teams, &mut 3);
        round.machines = TimelineIndex::new(100.0, 1);
        let mut machine = MachineTimeline::new("m".into(), 0, &types[0], 0, false, 100.0);
        machine.up = true;
        let capacity = machine.capacity;
        machine.reserve(capacity, 100.0, 120.0);
        round.machines.push(machine);
        round.first_rental = 1;
        let rental = MachineTimeline::new("".into(), 0, &types[0], 0, false, 130.0);
        round.rentable = vec![RentableCapacity {
            machine: rental,
            owned_in_zone: 0,
            available: 9,
            used: 0,
        }];
        let mut one = job(1, 1.0, 60.0, false);
        let mut spec = (*one.spec).clone();
        spec.shape = if shape == "gang" {
            Shape::Gang
        } else {
            Shape::Array
        };
        (one.spec, one.single_probe, one.tasks) = (Arc::new(spec), probe, vec![0, 1]);
        let decisions = round.schedule(std::slice::from_ref(&one));
        assert!(decisions.placements.is_empty() && decisions.pending_reasons.len() == 1);
        let tasks = round.machines.iter().map(|s| s.tasks).sum::<usize>();
        assert_eq!(tasks, if probe { 1 } else { 3 }, "{shape}");
        assert_eq!(round.machines.len(), 1);
    }
}

/// A gang of three beside two machines that fit one task each: its third task was planned
/// after another one of it if that was sooner than a boot, and it waited for ever.
#[test]
fn tasks_of_a_gang_are_planned_side_by_side() {
    let teams = [unlimited()];
    let types = types();
    for (boot_s, run_s) in [(30.0, 60.0), (300.0, 20.0)] {
        let mut round = round(&teams, &mut 3);
        round.machines = TimelineIndex::new(100.0, 4);
        for name in ["m-1", "m-2"] {
            let mut machine = MachineTimeline::new(name.into(), 0, &types[0], 0, false, 100.0);
            machine.up = true;
            round.machines.push(machine);
        }
        round.first_rental = 2;
        round.rentable = vec![RentableCapacity {
            machine: MachineTimeline::new("".into(), 0, &types[0], 0, false, 100.0 + boot_s),
            owned_in_zone: 2,
            available: 9,
            used: 0,
        }];
        let mut gang = job(1, 2.0, run_s, false);
        let mut spec = (*gang.spec).clone();
        (spec.shape, spec.tasks) = (Shape::Gang, 3);
        (gang.spec, gang.tasks) = (Arc::new(spec), vec![0, 1, 2]);
        let decisions = round.schedule(std::slice::from_ref(&gang));
        assert!(decisions.placements.is_empty() && decisions.pending_reasons.len() == 1);
        assert_eq!(round.machines.len(), 3, "boots in {boot_s} s");
        let each = round.machines.iter().map(|s| s.tasks);
        assert_eq!(each.collect::<Vec<_>>(), [1, 1, 1]);
        // The machines are reserved until it has run, and no longer.
        let after = 100.0 + boot_s + run_s + 60.0;
        let whole = round
            .machines
            .iter()
            .all(|s| s.free_at(after) == s.capacity);
        assert!(whole, "{:?}", round.machines[0].free_at(after));
    }
}

/// Keeping the machines in order must find what evaluating every machine for every task
/// finds.
#[test]
fn ordered_candidates_find_the_same_machines_as_a_plain_search() {
    let teams = [unlimited()];
    for trace in 0..50u64 {
        let mut seed = trace;
        let mut ordered = round(&teams, &mut seed);
        seed = trace;
        let mut plain = round(&teams, &mut seed);
        for n in 0..6 {
            let job = job(n, 1.0 + f64::from(n % 2), 20.0 + 9.0 * f64::from(n), n == 4);
            let scope = PlanScope {
                zone: None,
                free_now: false,
            };
            let fast = ordered.plan(&job, 20, scope);
            let slow = plan_by_plain_search(&mut plain, &job, 20);
            assert_eq!(fast, slow, "trace {trace}, job {n}");
        }
    }
}

/// Evaluates all machines for each of `count` tasks.
fn plan_by_plain_search(
    round: &mut SchedulingRound,
    job: &PendingJob,
    count: usize,
) -> Vec<MachineChoice> {
    let mut job = job.clone();
    let mut choices = Vec::new();
    for _ in 0..count {
        let best = (0..round.machines.len())
            .filter(|i| job.allows_zone(&round.zones[round.machines[*i].zone]))
            .filter(|i| job.allows_machine(&round.machines[*i]))
            .filter_map(|i| round.candidate(i, &job, false))
            .min();
        let Some(MachineCandidate { choice, .. }) = best else {
            break;
        };
        round.machines.place(choice.machine, &job, &choice.finish);
        let zone = round.machines[choice.machine].zone;
        job.tasks_per_zone.add(&round.zones[zone]);
        choices.push(choice);
    }
    choices
}
