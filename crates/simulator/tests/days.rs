//! Days on paused time: whole controllers against the stand-ins, with crashes,
//! cuts, lost answers and late messages. The protocol's rules must hold.

use rushwalk::observability::work_profile::WorkKind;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::{Setup, Site as Day};
use rushwalk_testkit::Fault;
use std::time::Duration;
use tokio::task::JoinHandle;

#[tokio::test(start_paused = true)]
async fn a_quiet_day_runs_all_shapes() {
    let mut day = Day::new(1);
    let array = day.submit(1, "sweep", 5, 1.0, 20.0).await;
    let gang = day.submit(2, "gang", 3, 4.0, 30.0).await;
    let service = day.submit(3, "standing", 2, 1.0, 0.0).await;
    day.all_done(&[array, gang], 200).await;
    assert_eq!(day.state(&service).await.running, 2);
    day.cancel(&service).await;
    day.pass(20).await;
    assert_eq!(day.world.rules().running(), 0);
    // Nothing is left to do: the machines go back.
    day.pass(200).await;
    assert!(day.world.workers().iter().all(|w| w.dead));
    day.check();
}

#[tokio::test(start_paused = true)]
async fn crashes_of_one_then_all_kill_no_task() {
    let mut day = Day::new(2);
    let jobs = vec![
        day.submit(1, "sweep", 8, 1.0, 60.0).await,
        day.submit(2, "gang", 2, 4.0, 70.0).await,
    ];
    day.pass(25).await;
    let before = day.world.rules().started;
    assert!(before >= 10, "all run by now: {before}");
    let leader = day.leader();
    day.crash(leader);
    day.pass(5).await;
    day.start(leader);
    day.pass(10).await;
    for i in 0..3 {
        day.crash(i);
    }
    day.pass(5).await;
    for i in 0..3 {
        day.start(i);
    }
    day.all_done(&jobs, 300).await;
    assert_eq!(
        day.world.rules().started,
        before,
        "a crash restarted a task"
    );
    day.check();
}

#[tokio::test(start_paused = true)]
async fn a_holder_cut_off_from_the_state_service_is_replaced() {
    let mut day = Day::new(3);
    let service = day.submit(1, "standing", 6, 1.0, 0.0).await;
    day.pass(25).await;
    let started = day.world.rules().started;
    for i in 0..3 {
        day.world.set(Fault::NoState(i));
        // Told by another node, the cancellation must reach every task.
        let extra = day.submit(10 + i as u32, "standing", 3, 1.0, 0.0).await;
        day.pass(30).await;
        day.cancel(&extra).await;
        day.pass(70).await;
        day.world.clear(Fault::NoState(i));
        day.pass(20).await;
    }
    assert_eq!(day.state(&service).await.running, 6);
    let again = day.world.rules().started - started;
    assert_eq!(again, 9, "the first service's tasks ran on");
    day.check();
}

#[tokio::test(start_paused = true)]
async fn an_outage_shorter_than_the_lease_costs_nothing() {
    let mut day = Day::new(4);
    let jobs = vec![day.submit(1, "sweep", 6, 1.0, 90.0).await];
    day.pass(25).await;
    day.world.set(Fault::Outage);
    day.pass(25).await;
    day.world.clear(Fault::Outage);
    day.all_done(&jobs, 200).await;
    assert_eq!(day.world.rules().started, 6);
    day.check();
}

/// Every message may be lost, late or held, and any controller may end at any
/// time; the team's work is cancelled and submitted all the while.
async fn storm(seed: u64) {
    let mut day = Day::new(seed);
    day.world.set(Fault::LostAnswers);
    day.world.set(Fault::LateCommits);
    let mut open = Vec::new();
    let mut services = Vec::new();
    for turn in 0..12u64 {
        let pick = ((seed * 31 + turn * 7) % 3) as usize;
        let n = (turn * 10) as u32;
        open.push(day.submit(n, "sweep", 4, 1.0, 15.0).await);
        open.push(day.submit(n + 1, "gang", 2, 4.0, 20.0).await);
        services.push(day.submit(n + 2, "standing", 2, 1.0, 0.0).await);
        match (seed + turn) % 4 {
            0 => day.crash(pick),
            1 => day.world.set(Fault::HeldFromWorkers(pick)),
            2 => day.world.set(Fault::NoState(pick)),
            _ => day.world.set(Fault::Outage),
        }
        day.pass(12).await;
        // In an outage nobody can be told of a cancellation.
        day.world.clear(Fault::Outage);
        if turn % 2 == 1 {
            let service = services.remove(0);
            day.cancel(&service).await;
        }
        day.pass(8).await;
        day.world.clear(Fault::HeldFromWorkers(pick));
        day.world.clear(Fault::NoState(pick));
        day.world.clear(Fault::Outage);
        if day.processes[pick].is_none() {
            day.start(pick);
        }
    }
    day.world.clear(Fault::LostAnswers);
    day.world.clear(Fault::LateCommits);
    for service in services {
        day.cancel(&service).await;
    }
    day.all_done(&open, 600).await;
    day.pass(70).await;
    day.check();
}

#[tokio::test(start_paused = true)]
async fn storms_break_no_rule() {
    for seed in 1..=4 {
        storm(seed).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_of_100_000_tasks_is_accepted_beside_small_ones() {
    let mut day = Day::new(6);
    let big = day.submit(1, "sweep", 100_000, 1.0, 5.0).await;
    let small = vec![day.submit(2, "sweep", 1, 1.0, 5.0).await];
    day.all_done(&small, 120).await;
    let state = day.state(&big).await;
    assert!(state.done > 0 && state.running <= 20, "{state:?}");
    day.cancel(&big).await;
    day.pass(20).await;
    assert_eq!(day.world.rules().running(), 0);
    day.check();
}

#[tokio::test(start_paused = true)]
async fn answers_follow_the_protocols_table() {
    let mut day = Day::new(7);
    let known = day.submit(1, "sweep", 1, 1.0, 5.0).await;
    let status =
        async |method: &str, path: &str, body: &[u8]| day.ask(method, path, body).await.unwrap().0;
    assert_eq!(status("POST", "/api/jobs", b"{").await, 400);
    assert_eq!(status("POST", "/api/jobs", b"[1]").await, 400);
    assert_eq!(status("POST", "/api/jobs", &[b' '; 70_000]).await, 413);
    // Known already: never re-validated.
    let changed = format!(r#"{{"uid":"{known}","pieces":-4}}"#);
    assert_eq!(status("POST", "/api/jobs", changed.as_bytes()).await, 200);
    let mut spec = day.jobs[&known].clone();
    spec.id = "j-000777".into();
    spec.gpus = 5.0;
    let body = serde_json::to_vec(&spec).unwrap();
    assert_eq!(status("POST", "/api/jobs", &body).await, 422);
    spec.gpus = 1.0;
    spec.team = "nobody".into();
    let body = serde_json::to_vec(&spec).unwrap();
    assert_eq!(status("POST", "/api/jobs", &body).await, 422);
    assert_eq!(status("GET", "/api/jobs/j-999999", b"").await, 404);
    assert_eq!(status("POST", "/api/jobs/j-999999/abort", b"").await, 404);
    assert_eq!(status("GET", "/nowhere", b"").await, 404);
    assert_eq!(status("PUT", "/api/jobs", b"").await, 405);
    assert_eq!(status("POST", "/agent/beat", b"\xff\x00").await, 400);
}

/// A day on which the team may have a thousand machines.
async fn large(seed: u64) -> Day {
    Day::large(3, seed, 4000.0).await
}

/// The state service takes a few dozen changes a second, whatever the size of
/// the fleet: a key for each task or machine would not fit.
#[tokio::test(start_paused = true)]
async fn writes_follow_rounds_not_tasks() {
    let mut day = large(8).await;
    let before = day.world.writes();
    let mut jobs = Vec::new();
    for n in 0..20 {
        jobs.push(day.submit(n, "sweep", 100, 1.0, 30.0).await);
    }
    day.all_done(&jobs, 300).await;
    let (writes, started) = (day.world.writes() - before, day.world.rules().started);
    assert!(started >= 2000, "{started}");
    assert!(day.world.workers().len() >= 250, "machines of four");
    assert!(writes < started / 2, "{writes} changes for {started} tasks");
    day.check();
}

/// Requests for what had run out stood in front of those for what could be had:
/// at twice a fleet's size three calls of four brought nothing, and the machines
/// that were there came minutes late.
#[tokio::test(start_paused = true)]
async fn calls_go_to_where_machines_are() {
    let setup = Setup {
        teams: vec![("red", 4000.0)],
        cloud_rps: 2.0,
        ..Setup::default()
    };
    let mut day = Day::with(setup, 13);
    day.world.limit("east", 10);
    day.world.limit("west", 10);
    day.pass(10).await;
    for n in 0..12 {
        day.submit(n, "standing", 150, 1.0, 0.0).await;
    }
    day.pass(45).await;
    let (brought, nothing) = day.world.rentals();
    let machines = day.world.workers().len();
    assert!(machines >= 450, "{machines} machines by {brought} calls");
    assert!(
        nothing <= 4,
        "{nothing} calls brought nothing, {brought} did"
    );
    day.check();
}

/// After a snapshot the log's keys are used again: whoever starts then must know
/// all that went before, and tasks must run on.
#[tokio::test(start_paused = true)]
async fn a_restart_behind_a_snapshot_loses_nothing() {
    // Few changes a second: a snapshot is due early, and more than one.
    let setup = Setup {
        write_rps: 10.0,
        ..Setup::default()
    };
    let mut day = Day::with(setup, 9);
    let service = day.submit(1, "standing", 4, 1.0, 0.0).await;
    let mut jobs = Vec::new();
    let mut n = 10;
    let mut snapshots = 0;
    while snapshots < 2 {
        n += 1;
        assert!(n < 400, "no snapshot was made");
        jobs.push(day.submit(n, "sweep", 2, 1.0, 8.0).await);
        day.pass(2).await;
        let base = day.processes[0]
            .as_ref()
            .unwrap()
            .node
            .replica
            .state()
            .snapshot;
        snapshots = snapshots.max(base.generation);
        assert_eq!(day.world.holds("w/base"), base.generation > 0);
    }
    let started = day.world.rules().started;
    let cancelled = day.submit(5, "standing", 1, 1.0, 0.0).await;
    day.cancel(&cancelled).await;
    (0..3).for_each(|i| day.crash(i));
    day.pass(4).await;
    (0..3).for_each(|i| day.start(i));
    day.all_done(&jobs, 200).await;
    assert_eq!(day.state(&service).await.running, 4);
    assert_eq!(day.state(&cancelled).await.phase, StatusPhase::Cancelled);
    let again = day.world.rules().started - started;
    assert!(again <= 12, "{again} tasks started anew");
    day.check();
}

/// On the smallest machines a holder that looked at each of its machines in each
/// round, or asked all workers at once after a crash, had no time left to answer
/// them. It looks at those that report or change; most find it by themselves.
#[tokio::test(start_paused = true)]
async fn holders_look_at_what_changes_and_ask_few_workers_at_a_time() {
    let mut day = large(10).await;
    let service = day.submit(1, "standing", 250, 4.0, 0.0).await;
    day.pass(40).await;
    assert_eq!(day.state(&service).await.running, 250);
    let looked = |day: &Day| -> u64 {
        let processes = day.processes.iter().flatten();
        processes
            .map(|p| p.node.work_profile.items(WorkKind::Reconcile))
            .sum()
    };
    let before = looked(&day);
    day.pass(30).await;
    // A report every 3 s or so: 2,500 in 30 s, and as many rounds of 250.
    let looked = looked(&day) - before;
    assert!(
        looked < 3_500,
        "{looked} machines looked at for 2,500 reports"
    );
    (0..3).for_each(|i| day.crash(i));
    day.pass(4).await;
    (0..3).for_each(|i| day.start(i));
    day.pass(40).await;
    assert_eq!(day.state(&service).await.running, 250);
    let most = day.world.asked_within(Duration::from_millis(300));
    assert!(most <= 80, "{most} of 250 workers asked in a tick");
    day.check();
}

/// While its predecessor's blocks are not lent anew a controller could only
/// refuse its workers: its port stays closed so long.
#[tokio::test(start_paused = true)]
async fn after_an_end_of_all_ports_open_when_blocks_are_lent() {
    let mut day = Day::new(11);
    day.submit(1, "standing", 6, 1.0, 0.0).await;
    day.pass(20).await;
    (0..3).for_each(|i| day.crash(i));
    day.pass(4).await;
    (0..3).for_each(|i| day.start(i));
    for process in day.processes.iter().flatten() {
        let opens = tokio::time::timeout(
            Duration::from_secs(8),
            process.node.replica.wait_until_registered(),
        );
        opens.await.unwrap();
        let (me, view) = (&process.node, process.node.replica.state());
        assert!(view.members[me.context.member()].incarnation == me.context.incarnation);
        let mut grants = view.shard_leases.values();
        assert!(grants.all(|g| g.value.owner != me.context.member()
            || g.value.incarnation == me.context.incarnation));
    }
    day.check();
}

/// Machines that never came were expected within a fifth of a boot, again and again:
/// nothing was rented in their place until they were given up after four boots.
#[tokio::test(start_paused = true)]
async fn work_does_not_wait_for_machines_that_never_come() {
    let mut day = Day::new(14);
    day.pass(30).await;
    day.world.set(Fault::NoBoots);
    let service = day.submit(1, "standing", 12, 1.0, 0.0).await;
    day.pass(2).await;
    day.world.clear(Fault::NoBoots);
    let mut waited = 2;
    while day.state(&service).await.running < 12 {
        day.pass(1).await;
        waited += 1;
    }
    assert!(waited <= 24, "{waited} s, with boots of 5 s");
    // The others go back, and nothing is left over.
    day.pass(60).await;
    let there = day.world.workers().iter().filter(|w| !w.dead).count();
    assert!(there <= 6, "{there} machines for 12 GPUs");
    day.check();
}

/// Each try of a job with a mistake took as many machines as it has tasks, and tasks of a
/// good one that failed on one machine held up all its others.
#[tokio::test(start_paused = true)]
async fn a_mistaken_job_costs_little_and_a_faulty_machine_holds_up_no_job() {
    let mut day = Day::large(3, 15, 400.0).await;
    let base = day.submit(1, "standing", 20, 4.0, 0.0).await;
    day.pass(30).await;
    day.world.rules().mistaken = ["j-000010", "j-000011"].map(String::from).into();
    let first = day.world.workers().len();
    let array = day.submit(10, "sweep", 60, 1.0, 10.0).await;
    let gang = day.submit(11, "gang", 4, 4.0, 10.0).await;
    day.pass(200).await;
    // The first try is as of any job; afterwards one task, or one gang, at a time.
    let failed = day.world.rules().failed;
    assert!(failed <= 60 + 3 * 4 + 8, "{failed} starts for nothing");
    // All tasks that come to the next machine fail.
    let mut faulty = Vec::new();
    faulty.extend((first..first + 1).map(|i| format!("i-{i:06}")));
    faulty.extend(
        (first + 15..first + 60)
            .step_by(15)
            .map(|i| format!("i-{i:06}")),
    );
    day.world.rules().faulty = faulty.into_iter().collect();
    let good = vec![
        day.submit(20, "sweep", 60, 1.0, 10.0).await,
        day.submit(21, "gang", 4, 4.0, 10.0).await,
    ];
    day.all_done(&good, 60).await;
    assert_eq!(day.state(&base).await.running, 20);
    for uid in [&array, &gang] {
        assert_eq!(day.state(uid).await.done, 0);
        day.cancel(uid).await;
    }
    let failed = day.world.rules().failed;
    day.pass(70).await;
    assert_eq!(
        day.world.rules().failed,
        failed,
        "cancelled jobs start nothing"
    );
    day.check();
}

/// Users who ask again and again share one read, also while the lead passes, and who
/// submits or cancels need not wait behind them.
#[tokio::test(start_paused = true)]
async fn a_storm_of_polls_in_a_takeover_holds_up_nobody() {
    let mut day = Day::new(16);
    let service = day.submit(1, "standing", 4, 1.0, 0.0).await;
    day.pass(20).await;
    let leader = day.leader();
    day.crash(leader);
    let path = format!("/api/jobs/{service}");
    let mut polls = tokio::task::JoinSet::new();
    for n in 0..2000u64 {
        let (world, path) = (day.world.clone(), path.clone());
        let node = (leader + 1 + n as usize % 2) % 3;
        polls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2 * n)).await;
            let call = world.ask(node, "GET", &path, Vec::new());
            tokio::time::timeout(Duration::from_secs(2), call).await
        });
    }
    let began = tokio::time::Instant::now();
    let job = day.submit(2, "sweep", 2, 1.0, 5.0).await;
    day.cancel(&service).await;
    let took = began.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?} for two changes");
    let (mut told, mut later) = (0, 0);
    while let Some(answer) = polls.join_next().await {
        match answer.unwrap() {
            Ok(Some((200, _))) => told += 1,
            Ok(Some((429 | 503, _))) => later += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(told > 1900, "{told} told, {later} to come again");
    day.all_done(&[job], 60).await;
    day.check();
}

/// An array of thousands of short tasks, half way through which the leader ends.
#[tokio::test(start_paused = true)]
async fn a_long_array_goes_on_over_a_crash_and_writes_by_rounds() {
    let mut day = Day::large(3, 17, 200.0).await;
    let array = day.submit(1, "sweep", 2000, 1.0, 4.0).await;
    day.pass(30).await;
    let half = day.state(&array).await.done;
    assert!((100..1900).contains(&half), "{half} done when it ends");
    let leader = day.leader();
    day.crash(leader);
    day.pass(1).await;
    day.start(leader);
    let before = day.world.writes();
    day.all_done(&[array], 120).await;
    assert_eq!(day.world.rules().started, 2000, "none was started twice");
    let writes = day.world.writes() - before;
    assert!(writes < 1200, "{writes} changes for {} tasks", 2000 - half);
    day.check();
}

#[tokio::test(start_paused = true)]
async fn only_a_member_leads() {
    let mut day = Day::new(12);
    (0..3).for_each(|i| day.crash(i));
    day.pass(10).await;
    day.start(0);
    let process = day.processes[0].as_ref().unwrap();
    process.loops.iter().for_each(JoinHandle::abort);
    let node = &process.node;
    let lease = node.membership.new_lease().await.unwrap();
    node.election().campaign(lease).await;
    assert!(!day.world.holds("w/leader"));
}
