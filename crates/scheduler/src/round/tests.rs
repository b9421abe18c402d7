use super::candidates::MachineCandidate;
use super::*;
use crate::Resources;
use crate::quota::TasksPerZone;
use crate::timeline::MachineTimeline;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::jobs::JobSpec;

pub(super) fn machine_types() -> Vec<MachineType> {
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

fn unlimited_team() -> Team {
    Team {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

pub(super) fn pending_job(number: u32, gpus: f64, run_s: f64, spread: bool) -> PendingJob {
    let text = format!(
        r#"{{"uid":"j-{number}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":40,"cpus":{gpus},"gpus":{gpus},"memoryGb":1,"kit":"i-{}","sizeGb":4,
        "together":false,"spread":{spread},"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#,
        number % 3
    );
    let spec = Arc::new(JobSpec::parse(text.as_bytes()).unwrap());
    PendingJob {
        resources: Resources::of_task(&spec),
        estimates: vec![
            TaskEstimate {
                run_s,
                fetch_s: 8.0,
                boot_s: 30.0,
                usable: true,
            };
            2
        ],
        overhead_s: 1.0,
        tasks: (0..20).collect(),
        tasks_per_zone: TasksPerZone::default(),
        avoided_machines: Vec::new(),
        price_bias: Vec::new(),
        single_probe: false,
        image: number % 3,
        spec,
    }
}

/// A round with 40 machines with random types, zones, tasks and images. `seed` is the state of
/// the random generator, which is advanced.
pub(super) fn random_round<'a>(teams: &'a [Team], seed: &mut u64) -> SchedulingRound<'a> {
    let mut random = move |n: u64| {
        *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1);
        (*seed >> 33) % n
    };
    let types = machine_types();
    let mut machines = TimelineIndex::new(100.0, 40);
    for i in 0..40 {
        let type_index = random(2) as usize;
        let zone = random(2) as usize;
        let ready = if random(4) == 0 { 110.0 } else { 100.0 };
        let name = format!("m-{i}");
        let mut machine = MachineTimeline::new(
            name.as_str().into(),
            type_index,
            &types[type_index],
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
        first_planned_rental: machines.len(),
        zones: vec!["east".into(), "west".into()],
        machines,
        rentable: Vec::new(),
        teams,
        usage: QuotaUsage::default(),
        tie_s: 3.0,
        evaluations: Cell::default(),
    }
}

/// Guards against evaluating every machine for each job. On a full fleet only few machines
/// can be the best for a task, and the bounds must exclude the others.
#[test]
fn few_machines_are_evaluated_on_a_full_fleet() {
    let teams = [unlimited_team()];
    let mut full = random_round(&teams, &mut 7);
    let types = machine_types();
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
    full.first_planned_rental = machines.len();
    full.machines = machines;
    let job = PendingJob {
        tasks: vec![0],
        ..pending_job(1, 1.0, 60.0, false)
    };
    let decisions = full.schedule(std::slice::from_ref(&job));
    assert_eq!(
        decisions.pending_reasons.len(),
        1,
        "the best machine is busy"
    );
    let evaluated = full.take_evaluations();
    assert!(
        (1..100).contains(&evaluated),
        "{evaluated} of 2000 machines were evaluated"
    );
}

/// A job that failed on every machine on which it ran must not take capacity from other jobs.
#[test]
fn single_probe_reserves_and_rents_nothing() {
    let teams = [unlimited_team()];
    let types = machine_types();
    for (shape, single_probe) in [("gang", true), ("gang", false), ("sweep", true)] {
        let mut round = random_round(&teams, &mut 3);
        round.machines = TimelineIndex::new(100.0, 1);
        let mut machine = MachineTimeline::new("m".into(), 0, &types[0], 0, false, 100.0);
        machine.up = true;
        let capacity = machine.capacity;
        machine.reserve(capacity, 100.0, 120.0);
        round.machines.push(machine);
        round.first_planned_rental = 1;
        let rental = MachineTimeline::new("".into(), 0, &types[0], 0, false, 130.0);
        round.rentable = vec![RentableCapacity {
            machine: rental,
            owned_in_zone: 0,
            available: 9,
            planned: 0,
        }];
        let mut job = pending_job(1, 1.0, 60.0, false);
        let mut spec = (*job.spec).clone();
        spec.shape = if shape == "gang" {
            Shape::Gang
        } else {
            Shape::Array
        };
        (job.spec, job.single_probe, job.tasks) = (Arc::new(spec), single_probe, vec![0, 1]);
        let decisions = round.schedule(std::slice::from_ref(&job));
        assert!(decisions.placements.is_empty() && decisions.pending_reasons.len() == 1);
        let tasks = round
            .machines
            .iter()
            .map(|machine| machine.tasks)
            .sum::<usize>();
        assert_eq!(tasks, if single_probe { 1 } else { 3 }, "{shape}");
        assert_eq!(round.machines.len(), 1);
    }
}

/// An array with more tasks than places was counted against its team's limit with all tasks that
/// were planned for hours later, so that no other job of the team started.
#[test]
fn tasks_that_start_much_later_leave_the_limit_of_their_team_to_others() {
    let teams = [Team {
        gpus_max: 10.0,
        ..unlimited_team()
    }];
    let types = machine_types();
    let mut round = random_round(&teams, &mut 3);
    round.machines = TimelineIndex::new(100.0, 2);
    for (type_index, name) in ["m-1", "m-2"].into_iter().enumerate() {
        let machine_type = &types[type_index];
        let mut machine =
            MachineTimeline::new(name.into(), type_index, machine_type, 0, false, 100.0);
        machine.up = true;
        round.machines.push(machine);
    }
    round.first_planned_rental = 2;
    // The array may use only the small machine, which has two GPUs, and the other job only the
    // large one.
    let (mut array, mut other) = (
        pending_job(1, 1.0, 3_600.0, false),
        pending_job(2, 1.0, 60.0, false),
    );
    array.estimates[1].usable = false;
    other.estimates[0].usable = false;
    other.tasks = (0..4).collect();
    let decisions = round.schedule(&[array, other.clone()]);
    let placed = |id: &str| decisions.placements.iter().filter(|p| p.job == id).count();
    assert_eq!(placed("j-1"), 2);
    assert_eq!(placed("j-2"), 4);
}

/// Guards against a gang that never starts: with three tasks and two machines that fit one
/// task each, the third task was planned after another task of the gang if that was sooner
/// than a boot, and no machine was rented.
#[test]
fn tasks_of_a_gang_are_planned_to_run_concurrently() {
    let teams = [unlimited_team()];
    let types = machine_types();
    for (boot_s, run_s) in [(30.0, 60.0), (300.0, 20.0)] {
        let mut round = random_round(&teams, &mut 3);
        round.machines = TimelineIndex::new(100.0, 4);
        for name in ["m-1", "m-2"] {
            let mut machine = MachineTimeline::new(name.into(), 0, &types[0], 0, false, 100.0);
            machine.up = true;
            round.machines.push(machine);
        }
        round.first_planned_rental = 2;
        round.rentable = vec![RentableCapacity {
            machine: MachineTimeline::new("".into(), 0, &types[0], 0, false, 100.0 + boot_s),
            owned_in_zone: 2,
            available: 9,
            planned: 0,
        }];
        let mut gang = pending_job(1, 2.0, run_s, false);
        let mut spec = (*gang.spec).clone();
        (spec.shape, spec.tasks) = (Shape::Gang, 3);
        (gang.spec, gang.tasks) = (Arc::new(spec), vec![0, 1, 2]);
        let decisions = round.schedule(std::slice::from_ref(&gang));
        assert!(decisions.placements.is_empty() && decisions.pending_reasons.len() == 1);
        assert_eq!(round.machines.len(), 3, "boot time {boot_s} s");
        let tasks_per_machine = round.machines.iter().map(|machine| machine.tasks);
        assert_eq!(tasks_per_machine.collect::<Vec<_>>(), [1, 1, 1]);
        // The machines are reserved until the gang has finished, and no longer.
        let after = 100.0 + boot_s + run_s + 60.0;
        let all_free = round
            .machines
            .iter()
            .all(|machine| machine.free_at(after) == machine.capacity);
        assert!(all_free, "{:?}", round.machines[0].free_at(after));
    }
}

/// Planning with the candidate queue must find the same machines as evaluating every machine
/// for every task.
#[test]
fn candidate_queue_finds_the_same_machines_as_a_plain_search() {
    let teams = [unlimited_team()];
    for first_seed in 0..50u64 {
        let mut seed = first_seed;
        let mut queue_round = random_round(&teams, &mut seed);
        seed = first_seed;
        let mut plain_round = random_round(&teams, &mut seed);
        for number in 0..6 {
            let job = pending_job(
                number,
                1.0 + f64::from(number % 2),
                20.0 + 9.0 * f64::from(number),
                number == 4,
            );
            let scope = PlanScope {
                zone: None,
                free_now: false,
            };
            let with_queue = queue_round.plan(&job, 20, scope);
            let with_plain_search = plan_by_plain_search(&mut plain_round, &job, 20);
            assert_eq!(
                with_queue, with_plain_search,
                "seed {first_seed}, job {number}"
            );
        }
    }
}

/// Plans `count` tasks of a job, evaluating all machines for each task.
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
            .filter_map(|i| round.evaluate(i, &job, false))
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
