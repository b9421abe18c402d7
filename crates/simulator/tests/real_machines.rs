//! What real machines showed: the operators' seven meetings, and those of their page that
//! no other test brings about, on virtual time with whole controllers. What each guards
//! against is in `docs/MEETINGS.md`.

use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{close_look, job, job_with, request};
use rushwalk_simulator::{Setup, Site as Day};
use rushwalk_state::ClusterState;
use rushwalk_testkit::{Build, Fault, Request, ZONES};
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A day with room for sixty GPUs of four a machine, and few changes a second.
async fn small(seed: u64, write_rps: f64) -> Day {
    let setup = Setup {
        teams: vec![("red", 60.0)],
        write_rps,
        ..Setup::default()
    };
    let day = Day::with(setup, seed);
    day.pass(10).await;
    day
}

async fn ms(n: u64) {
    sleep(Duration::from_millis(n)).await;
}

/// From now on all troubles are over, and nobody may be left waiting.
fn calm(day: &Day) {
    let mut rules = day.world.rules();
    rules.calm_since.get_or_insert_with(Instant::now);
}

fn view<T>(day: &Day, look: impl Fn(&ClusterState) -> T) -> T {
    look(&day.nodes().next().unwrap().1.replica.state())
}

/// Submits at one controller and cancels at others while that is under way, then asks.
async fn submitted_and_cancelled_at_once(day: &mut Day, n: u32, after_ms: u64) {
    let uid = format!("j-{n:06}");
    let body = job(&uid, "sweep", 2, 1.0, 30.0);
    day.expect(&uid, &body);
    let world = day.world.clone();
    // An answer may be lost on the way: then it is asked for again.
    let submit = async {
        let first = request(&world, n as usize % 3, Request::Submit, &uid, &body).await;
        if first.as_ref().is_some_and(|(status, _)| *status < 300) {
            return first;
        }
        ms(1_000).await;
        request(&world, (n as usize + 2) % 3, Request::Submit, &uid, &body).await
    };
    let cancel = async {
        ms(after_ms).await;
        request(&world, (n as usize + 1) % 3, Request::Cancel, &uid, "").await
    };
    let (submitted, cancelled) = tokio::join!(submit, cancel);
    assert!(submitted.is_some_and(|(s, _)| s < 300), "{uid}");
    match cancelled {
        Some((200, state)) => assert_eq!(state.unwrap().phase, StatusPhase::Cancelled),
        // It came first, and there was nothing to cancel; or nobody could tell.
        other => assert!(
            matches!(other, None | Some((404 | 429 | 503, _))),
            "{other:?}"
        ),
    }
    close_look(&world, &uid, &body).await;
    day.cancel(&uid).await;
    close_look(&world, &uid, &body).await;
}

/// Letter, first. Users ask at all controllers, again and again within milliseconds, and
/// submit again, right after a job was accepted, cancelled or done: in calm, while the
/// leader ends, while the state service is slow.
#[tokio::test(start_paused = true)]
async fn whoever_is_asked_tells_nothing_older() {
    let mut day = small(51, 50.0).await;
    let mut n = 100;
    for trouble in 0..4 {
        let leader = day.leader();
        match trouble {
            1 => day.crash(leader),
            2 => day.world.set(Fault::SlowState),
            3 => day.world.set(Fault::LostAnswers),
            _ => {}
        }
        for _ in 0..3 {
            n += 1;
            let uid = day.submit(n, "sweep", 1, 1.0, 3.0).await;
            let body = job(&uid, "sweep", 1, 1.0, 3.0);
            close_look(&day.world, &uid, &body).await;
            for after_ms in [0, 2, 40] {
                n += 1;
                submitted_and_cancelled_at_once(&mut day, n, after_ms).await;
            }
            day.all_done(std::slice::from_ref(&uid), 60).await;
            close_look(&day.world, &uid, &body).await;
        }
        day.world.clear(Fault::SlowState);
        day.world.clear(Fault::LostAnswers);
        if day.processes[leader].is_none() {
            day.start(leader);
        }
        day.pass(5).await;
    }
    day.check();
}

/// A controller that was away for so long that it must list everything, slowly, is asked
/// about jobs that are accepted meanwhile: it tells nothing older, and knows them all in
/// the end. (Its reads are too old as well, so that the listing is what it waits for; the
/// guards of `View::replace` and `View::watch` are tested beside them.)
#[tokio::test(start_paused = true)]
async fn who_must_list_everything_tells_nothing_older() {
    let setup = Setup {
        teams: vec![("red", 60.0)],
        kept_changes: 30,
        ..Setup::default()
    };
    let mut day = Day::with(setup, 52);
    day.pass(10).await;
    let mut n = 100;
    for _ in 0..6 {
        let away = (day.leader() + 1) % 3;
        day.world.set(Fault::NoState(away));
        for _ in 0..12 {
            n += 1;
            day.submit(n, "sweep", 2, 1.0, 3.0).await;
            day.pass(1).await;
        }
        day.world.set(Fault::SlowState);
        day.world.clear(Fault::NoState(away));
        let mut users = tokio::task::JoinSet::new();
        for k in 0..40u64 {
            n += 1;
            let (uid, world) = (format!("j-{n:06}"), day.world.clone());
            let body = job(&uid, "sweep", 1, 1.0, 3.0);
            day.expect(&uid, &body);
            users.spawn(async move {
                ms(100 * k).await;
                request(&world, k as usize % 3, Request::Submit, &uid, &body).await;
                for _ in 0..8 {
                    request(&world, away, Request::Ask, &uid, "").await;
                    ms(150).await;
                }
            });
        }
        users.join_all().await;
        day.world.clear(Fault::SlowState);
        day.pass(10).await;
    }
    day.pass(20).await;
    // Every controller knows the same jobs, and what became of them.
    let known = |node: &rushwalk::controller::Controller| -> Vec<_> {
        let view = node.replica.state();
        day.jobs.keys().map(|uid| view.job_status(uid)).collect()
    };
    let all: Vec<_> = day.nodes().map(|(_, node)| known(node)).collect();
    assert!(all[0].iter().all(Option::is_some));
    assert!(all.windows(2).all(|w| w[0] == w[1]), "views differ");
    day.check();
}

/// Letter, second. A transaction is carried out at once and only its answer is lost,
/// while the others read what it wrote: for each kind of commit.
#[tokio::test(start_paused = true)]
async fn what_was_written_counts_though_its_answer_was_lost() {
    for (i, text) in [
        r#"{"j":[{"uid":"j-000100""#,
        r#"{"c":"j-000102""#,
        r#"{"a":["j-000100""#,
        r#"{"p":["j-000100""#,
        r#"{"r":["j-000100""#,
        r#"{"e":["j-000100""#,
        r#"{"R":["#,
        r#"{"M":["#,
        r#"{"U":["#,
        "w/g/",
        "w/m/",
        "w/leader",
    ]
    .into_iter()
    .enumerate()
    {
        let mut day = small(60 + i as u64, 50.0).await;
        day.world.next_late(text, Duration::ZERO);
        if matches!(text, "w/m/" | "w/leader" | "w/g/") {
            let leader = day.leader();
            day.crash(leader);
            day.pass(2).await;
            day.start(leader);
        }
        let service = day.submit(102, "standing", 3, 1.0, 0.0).await;
        let array = day.submit(100, "sweep", 4, 1.0, 12.0).await;
        let gang = day.submit(101, "gang", 2, 4.0, 12.0).await;
        day.pass(15).await;
        day.cancel(&service).await;
        let body = job(&array, "sweep", 4, 1.0, 12.0);
        close_look(&day.world, &array, &body).await;
        day.all_done(&[array.clone(), gang.clone()], 90).await;
        assert!(day.world.none_late(), "no such commit: {text}");
        calm(&day);
        day.pass(70).await;
        assert_eq!(day.state(&service).await.phase, StatusPhase::Cancelled);
        for (uid, tasks) in [(&array, 4), (&gang, 2)] {
            assert_eq!(day.world.rules().starts_of[uid], tasks, "{text}");
        }
        // What was rented is used or goes back.
        day.pass(200).await;
        assert!(day.world.workers().iter().all(|w| w.dead), "{text}");
        day.check();
    }
}

/// Letter, third. Every team is at its limit while jobs are cancelled whose machines are
/// cut off or hang, and the leader changes: what is cancelled counts until it is surely
/// gone, and its room comes back.
async fn at_the_limit(seed: u64, fault: fn(usize) -> Fault, for_s: u64, with_end: bool) {
    let setup = Setup {
        teams: vec![("red", 24.0), ("blue", 12.0)],
        write_rps: 12.0,
        ..Setup::default()
    };
    let mut day = Day::with(setup, seed);
    day.pass(10).await;
    let blue = json!({"crew": "blue"});
    let mut first = vec![
        day.submit(1, "standing", 12, 1.0, 0.0).await,
        day.submit(2, "sweep", 6, 2.0, 900.0).await,
        day.submit_with(3, "gang", 3, 4.0, 900.0, blue.clone())
            .await,
    ];
    day.pass(25).await;
    assert_eq!(day.world.rules().running(), 21);
    let machines: Vec<usize> = (first.iter())
        .flat_map(|uid| day.world.rules().machines(uid))
        .collect();
    // Every second machine; of the gang, too.
    let some: Vec<usize> = machines.into_iter().filter(|m| m % 2 == 0).collect();
    some.iter().for_each(|m| day.world.set(fault(*m)));
    let mut next = vec![
        day.submit(11, "sweep", 24, 1.0, 20.0).await,
        day.submit_with(12, "gang", 3, 4.0, 20.0, blue.clone())
            .await,
        day.submit_with(13, "sweep", 12, 1.0, 20.0, blue).await,
    ];
    let leader = day.leader();
    day.cancel(&first.remove(0)).await;
    day.cancel(&first.remove(1)).await;
    if with_end {
        day.crash(leader);
        ms(200).await;
        day.start(leader);
    }
    day.cancel(&first.remove(0)).await;
    day.pass(for_s).await;
    some.iter().for_each(|m| day.world.clear(fault(*m)));
    calm(&day);
    next.push(day.submit(14, "sweep", 24, 1.0, 5.0).await);
    day.all_done(&next, 200).await;
    day.pass(70).await;
    day.check();
}

#[tokio::test(start_paused = true)]
async fn teams_at_their_limit_get_their_room_back_and_no_more() {
    let mut seed = 80;
    for fault in [
        Fault::Hung,
        Fault::CutMachine,
        Fault::DeafMachine,
        Fault::MuteMachine,
    ] {
        for (for_s, with_end) in [(12, true), (50, true), (90, true), (50, false)] {
            seed += 1;
            at_the_limit(seed, fault, for_s, with_end).await;
        }
    }
}

/// Letter, fourth. Jobs are cancelled in the seconds in which one controller's work changes
/// hands: before, between and after, with starts of the old holder held up.
#[tokio::test(start_paused = true)]
async fn cancellations_while_blocks_change_hands() {
    for (seed, back_ms) in [(101, 200), (102, 1_200), (103, 9_000)] {
        let mut day = small(seed, 12.0).await;
        let mut n = 100;
        let mut gone = Vec::new();
        for turn in 0..6u64 {
            let holder = (day.leader() + turn as usize) % 3;
            let together = json!({"together": true});
            let mut some = Vec::new();
            for (shape, tasks, gpus) in [
                ("standing", 4, 1.0),
                ("gang", 3, 4.0),
                ("sweep", 6, 1.0),
                ("gang", 2, 2.0),
                ("sweep", 5, 1.0),
            ] {
                n += 1;
                let together = together.clone();
                let uid = day.submit_with(n, shape, tasks, gpus, 200.0, together);
                some.push(uid.await);
            }
            ms(150 * turn).await;
            if turn % 2 == 0 {
                day.world.set(Fault::HeldFromWorkers(holder));
            }
            day.crash(holder);
            let (world, ids) = (day.world.clone(), some.clone());
            // One each 400 ms: before, between and after the grants change.
            let cancels = tokio::spawn(async move {
                for (i, uid) in ids.into_iter().enumerate() {
                    ms(400).await;
                    for k in 0.. {
                        let node = (holder + 1 + (i + k) % 2) % 3;
                        match request(&world, node, Request::Cancel, &uid, "").await {
                            Some((200, _)) => break,
                            _ => ms(300).await,
                        }
                    }
                }
            });
            ms(back_ms).await;
            day.start(holder);
            cancels.await.unwrap();
            ms(700).await;
            day.world.clear(Fault::HeldFromWorkers(holder));
            gone.extend(some);
            day.pass(4).await;
        }
        calm(&day);
        day.pass(70).await;
        assert_eq!(day.world.rules().running(), 0);
        for uid in &gone {
            assert_eq!(day.state(uid).await.phase, StatusPhase::Cancelled);
        }
        day.check();
    }
}

/// Letter, fifth. New machines are up within two seconds and get work at once while writes
/// lag, and the leader ends: with rentals of unknown fate and outcomes that come late.
#[tokio::test(start_paused = true)]
async fn machines_that_are_up_at_once_work_while_writes_lag_and_the_leader_ends() {
    for (seed, end_ms) in [
        (111, 300),
        (112, 900),
        (113, 1_500),
        (114, 2_500),
        (115, 5_000),
    ] {
        let mut day = small(seed, 20.0).await;
        day.world.boots_in(Duration::from_millis(1_200));
        day.world.set(Fault::LateWrites);
        let mut jobs = Vec::new();
        for n in 1..=4 {
            jobs.push(day.submit(n, "sweep", 8, 1.0, 15.0).await);
        }
        ms(end_ms).await;
        let leader = day.leader();
        day.crash(leader);
        jobs.push(day.submit(5, "gang", 3, 4.0, 15.0).await);
        ms(end_ms).await;
        day.start(leader);
        day.pass(20).await;
        let second = day.leader();
        day.crash(second);
        day.pass(1).await;
        day.start(second);
        day.pass(10).await;
        day.world.clear(Fault::LateWrites);
        day.pass(13).await;
        calm(&day);
        day.all_done(&jobs, 120).await;
        day.pass(240).await;
        let left = day.world.workers().iter().filter(|w| !w.dead).count();
        assert_eq!(left, 0, "seed {seed}: machines that nobody uses or returns");
        day.check();
    }
}

/// Letter, sixth. Old reports reach every controller just as a new leader begins: of
/// earlier sessions and attempts, and of machines deleted meanwhile. They prove neither
/// absence nor life, and bring nothing back.
#[tokio::test(start_paused = true)]
async fn old_reports_that_reach_everybody_as_a_leader_begins_prove_nothing() {
    for seed in 121..=124 {
        let mut day = small(seed, 20.0).await;
        let service = day.submit(1, "standing", 6, 1.0, 0.0).await;
        let old = day.submit(2, "standing", 12, 4.0, 0.0).await;
        day.pass(20).await;
        day.world.set(Fault::KeptReports);
        let mut jobs = Vec::new();
        for n in 10..18 {
            jobs.push(day.submit(n, "sweep", 3, 1.0, 8.0).await);
            day.pass(3).await;
        }
        // Some are back with the next session; the machines of `old` are returned.
        for (i, worker) in day.world.workers().iter_mut().enumerate() {
            if i % 4 == seed as usize % 4 {
                worker.restart(&day.world);
            }
        }
        day.cancel(&old).await;
        day.pass(70).await;
        let dead: Vec<String> = (day.world.workers().iter())
            .filter(|w| w.dead)
            .map(|w| w.name.clone())
            .collect();
        assert!(!dead.is_empty(), "none was returned");
        let long = day.submit(30, "sweep", 6, 1.0, 40.0).await;
        while day.world.rules().starts_of.get(&long) != Some(&6) {
            day.pass(1).await;
        }
        let leader = day.leader();
        day.crash(leader);
        while day.leads().is_none() {
            ms(50).await;
        }
        day.world.deliver_kept().await;
        ms(300).await;
        day.world.deliver_kept().await;
        day.start(leader);
        day.pass(10).await;
        for name in &dead {
            assert!(!view(&day, |v| v.machines.contains_key(&**name)), "{name}");
        }
        jobs.push(long.clone());
        day.world.clear(Fault::KeptReports);
        calm(&day);
        day.all_done(&jobs, 100).await;
        assert_eq!(day.world.rules().starts_of[&long], 6, "started anew");
        assert_eq!(day.state(&service).await.running, 6);
        day.check();
    }
}

/// Letter, seventh. One-task jobs come four a second for minutes, a quarter of them
/// cancelled, with thirty changes a second, and the leader ends in the middle.
#[tokio::test(start_paused = true)]
async fn four_jobs_a_second_for_minutes_are_all_served() {
    let setup = Setup {
        teams: vec![("red", 200.0)],
        write_rps: 30.0,
        ..Setup::default()
    };
    let mut day = Day::with(setup, 131);
    day.pass(10).await;
    let before = day.world.writes();
    let mut users = tokio::task::JoinSet::new();
    let mut crashed = 0;
    const JOBS: u32 = 4 * 150;
    for n in 0..JOBS {
        let (uid, world) = (format!("j-{n:06}"), day.world.clone());
        let body = job(&uid, "sweep", 1, 1.0, 10.0);
        day.expect(&uid, &body);
        users.spawn(async move {
            let mut node = n as usize;
            let mut insist = async |what, body: &str| {
                for _ in 0..60 {
                    node += 1;
                    let answer = request(&world, node % 3, what, &uid, body).await;
                    if let Some((200 | 201, state)) = answer {
                        return state;
                    }
                    ms(1_000).await;
                }
                panic!("{uid}: no answer to {what:?}");
            };
            insist(Request::Submit, &body).await;
            if n % 4 == 0 {
                ms(u64::from(n % 7) * 1_500).await;
                insist(Request::Cancel, "").await;
            }
            let began = Instant::now();
            loop {
                let state = insist(Request::Ask, "").await.unwrap();
                if matches!(state.phase, StatusPhase::Done | StatusPhase::Cancelled) {
                    return began.elapsed();
                }
                ms(5_000).await;
            }
        });
        ms(250).await;
        if n == JOBS / 2 {
            crashed = day.leader();
            day.crash(crashed);
        }
        if n == JOBS / 2 + 1 {
            day.start(crashed);
        }
        day.world.sweep();
    }
    calm(&day);
    let mut took = Duration::ZERO;
    while let Some(one) = users.join_next().await {
        took = took.max(one.unwrap());
    }
    let seconds = f64::from(JOBS) / 4.0;
    let rate = (day.world.writes() - before) as f64 / seconds;
    assert!(rate < 0.9 * 30.0, "{rate} changes a second");
    assert!(took < Duration::from_secs(60), "{took:?} until told");
    let cancelled = day.world.rules().after_cancel;
    assert!(cancelled.1 < Duration::from_secs(3), "{cancelled:?}");
    day.check();
}

/// Machines that reach no controller are still reached: their tasks ended with each lease
/// and were started there again by direct commands, for as long as that lasted.
#[tokio::test(start_paused = true)]
async fn what_reaches_no_controller_gets_no_more_work() {
    let mut day = small(141, 50.0).await;
    let service = day.submit(1, "standing", 10, 4.0, 0.0).await;
    day.pass(25).await;
    let on = day.world.rules().machines(&service);
    for machine in &on[..3] {
        day.world.set(Fault::MuteMachine(*machine));
    }
    let started = day.world.rules().started;
    let array = day.submit(2, "sweep", 5, 4.0, 60.0).await;
    day.pass(150).await;
    let there = day.world.rules().machines(&service);
    assert_eq!(there.len(), 10);
    assert!(!there.iter().any(|m| on[..3].contains(m)), "{there:?}");
    day.all_done(&[array], 1).await;
    let started = day.world.rules().started - started;
    assert!(started <= 5 + 3 + 3, "{started} starts");
    for machine in &on[..3] {
        day.world.clear(Fault::MuteMachine(*machine));
    }
    day.pass(60).await;
    calm(&day);
    assert_eq!(day.state(&service).await.running, 10);
    day.check();
}

/// A zone with workers and a controller is cut off for longer than a lease; jobs bound to
/// it, arrays too, lose machines meanwhile.
#[tokio::test(start_paused = true)]
async fn a_zone_that_is_cut_off_and_jobs_bound_to_it() {
    for (seed, for_s, loses) in [(151, 30, true), (152, 75, false), (153, 75, true)] {
        let mut day = small(seed, 20.0).await;
        let bound = json!({"yard": ZONES[1]});
        let service = day
            .submit_with(1, "standing", 4, 1.0, 0.0, bound.clone())
            .await;
        let array = day.submit_with(2, "sweep", 8, 1.0, 40.0, bound.clone());
        let array = array.await;
        let free = day.submit(3, "standing", 6, 1.0, 0.0).await;
        let gone = day
            .submit_with(4, "standing", 3, 1.0, 0.0, bound.clone())
            .await;
        day.pass(15).await;
        day.world.set(Fault::CutZone(1));
        day.pass(3).await;
        day.cancel(&gone).await;
        if loses {
            let on = day.world.rules().machines(&array);
            on.iter().for_each(|m| day.world.end(&format!("i-{m:06}")));
        }
        day.pass(for_s).await;
        day.world.clear(Fault::CutZone(1));
        calm(&day);
        let more = day.submit_with(5, "sweep", 4, 1.0, 5.0, bound).await;
        day.all_done(&[array, more], 160).await;
        day.pass(70).await;
        for (uid, tasks) in [(&service, 4), (&free, 6)] {
            assert_eq!(day.state(uid).await.running, tasks, "seed {seed}");
        }
        day.check();
    }
}

/// All controllers are away for longer than a lease.
#[tokio::test(start_paused = true)]
async fn all_controllers_away_for_longer_than_a_lease() {
    let mut day = small(161, 20.0).await;
    let service = day.submit(1, "standing", 6, 1.0, 0.0).await;
    let array = day.submit(2, "sweep", 6, 1.0, 60.0).await;
    let gang = day.submit(3, "gang", 3, 4.0, 60.0).await;
    day.pass(20).await;
    (0..3).for_each(|i| day.crash(i));
    day.pass(55).await;
    (0..3).for_each(|i| day.start(i));
    day.pass(3).await;
    let one = day.submit(4, "sweep", 2, 1.0, 5.0).await;
    calm(&day);
    day.all_done(&[array, gang, one], 160).await;
    assert_eq!(day.state(&service).await.running, 6);
    day.check();
}

/// Leaders change ten times in two minutes, in an outage too, while users ask closely.
#[tokio::test(start_paused = true)]
async fn ten_leaders_in_two_minutes_also_inside_an_outage() {
    for (seed, outage) in [(171, false), (172, true)] {
        let mut day = small(seed, 20.0).await;
        let service = day.submit(1, "standing", 6, 1.0, 0.0).await;
        let mut jobs = Vec::new();
        for turn in 0..10u32 {
            jobs.push(day.submit(10 + turn, "sweep", 2, 1.0, 15.0).await);
            let leader = day.leader();
            if outage && turn % 3 == 1 {
                day.world.set(Fault::Outage);
            }
            day.crash(leader);
            ms(200).await;
            day.start(leader);
            day.pass(6).await;
            day.world.clear(Fault::Outage);
            let uid = &jobs[jobs.len() - 1];
            let body = job(uid, "sweep", 2, 1.0, 15.0);
            close_look(&day.world, uid, &body).await;
            day.pass(5).await;
        }
        calm(&day);
        day.all_done(&jobs, 100).await;
        // Replicas may be on their way off a machine that is returned.
        day.pass(8).await;
        assert_eq!(day.state(&service).await.running, 6);
        for uid in &jobs {
            assert_eq!(day.world.rules().starts_of[uid], 2, "{uid} started anew");
        }
        day.check();
    }
}

/// A cancellation, a question or a repeated submission meets the end of a job's last task,
/// with no other trouble.
#[tokio::test(start_paused = true)]
async fn what_meets_the_end_of_a_jobs_last_task() {
    let mut day = small(181, 50.0).await;
    let (tell, mut ended) = tokio::sync::mpsc::unbounded_channel();
    day.world.rules().completed = Some(tell);
    for n in 0..30 {
        let shape = ["sweep", "gang", "sweep"][n as usize % 3];
        day.submit(100 + n, shape, 1 + n % 2, 1.0, 4.0 + f64::from(n % 5))
            .await;
    }
    for n in 0..30u64 {
        let uid = ended.recv().await.unwrap();
        let spec = serde_json::to_string(&day.jobs[&uid]).unwrap();
        let world = day.world.clone();
        // At once, and some while the end is being written down.
        tokio::spawn(async move {
            ms(n % 6 * 60).await;
            let what = [Request::Cancel, Request::Ask, Request::Submit][n as usize % 3];
            request(&world, n as usize % 3, what, &uid, &spec).await;
            close_look(&world, &uid, &spec).await;
        });
    }
    day.pass(10).await;
    assert_eq!(day.world.rules().running(), 0);
    day.check();
}

/// Jobs are cancelled at the very moment at which the state service refuses the leader
/// alone, and a second later it is out for longer than a cancellation has; a team at its
/// limit, machines that can't be asked, and a new leader besides.
#[tokio::test(start_paused = true)]
async fn cancelled_as_the_leader_is_refused_and_a_second_before_an_outage() {
    for (seed, limit, hang, outage_s) in [
        (191, 60.0, false, 75),
        (192, 16.0, true, 75),
        (193, 16.0, true, 20),
    ] {
        let setup = Setup {
            teams: vec![("red", limit)],
            write_rps: 20.0,
            ..Setup::default()
        };
        let mut day = Day::with(setup, seed);
        day.pass(10).await;
        let mut some = Vec::new();
        for (n, shape, tasks, gpus) in [
            (1, "standing", 6, 1.0),
            (2, "sweep", 6, 1.0),
            (3, "gang", 2, 2.0),
        ] {
            some.push(day.submit(n, shape, tasks, gpus, 900.0).await);
        }
        day.pass(20).await;
        let leader = day.leader();
        let machines = day.world.rules().machines(&some[0]);
        if hang {
            machines.iter().for_each(|m| day.world.set(Fault::Hung(*m)));
        }
        day.world.set(Fault::NoState(leader));
        for uid in &some {
            request(&day.world, (leader + 1) % 3, Request::Cancel, uid, "").await;
        }
        ms(1_000).await;
        day.world.set(Fault::Outage);
        day.pass(outage_s).await;
        day.world.clear(Fault::Outage);
        day.world.clear(Fault::NoState(leader));
        if hang {
            let now = day.leader();
            day.crash(now);
            day.pass(2).await;
            day.start(now);
            machines
                .iter()
                .for_each(|m| day.world.clear(Fault::Hung(*m)));
        }
        let next = day.submit(10, "sweep", 8, 2.0, 10.0).await;
        day.pass(5).await;
        calm(&day);
        day.all_done(&[next], 120).await;
        for uid in &some {
            day.cancel(uid).await;
        }
        day.pass(70).await;
        assert_eq!(day.world.rules().running(), 0);
        day.check();
    }
}

/// More work than there is room, urgent and not: the urgent goes first, nothing is lost,
/// and limits in types, spot machines and zones hold while spot machines are taken.
#[tokio::test(start_paused = true)]
async fn more_work_than_room_of_two_types_and_spot_machines() {
    let mut day = small(201, 20.0).await;
    day.world.offer(Build {
        label: "crate",
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 128.0,
        hourly: 7.0,
        spot: Some(2.0),
    });
    day.crash(0);
    day.crash(1);
    day.crash(2);
    (0..3).for_each(|i| day.start(i));
    ZONES.iter().for_each(|zone| day.world.limit(zone, 3));
    day.pass(15).await;
    let mut jobs = Vec::new();
    for n in 0..16 {
        let rank = ["normal", "urgent", "best_effort", "prod"][n as usize % 4];
        let fields = match n % 5 {
            0 => json!({"rank": rank, "loaners": true}),
            1 => json!({"rank": rank, "builds": ["box"]}),
            2 => json!({"rank": rank, "builds": ["crate"], "loaners": true, "spread": true}),
            3 => json!({"rank": rank, "yard": ZONES[n as usize % 3], "loaners": true}),
            _ => json!({"rank": rank, "together": true}),
        };
        let shape = ["sweep", "gang"][n as usize % 2];
        jobs.push(day.submit_with(100 + n, shape, 4, 1.0, 12.0, fields).await);
        day.pass(1).await;
    }
    for turn in 0..4u64 {
        day.pass(8).await;
        let spot: Vec<usize> = (day.world.workers().iter().enumerate())
            .filter(|(_, w)| w.spot && !w.dead && w.recalled.is_none())
            .map(|(i, _)| i)
            .collect();
        for index in spot.into_iter().step_by(2) {
            let notice = (turn % 2 == 0).then(|| Duration::from_secs(6));
            day.world.take(index, notice);
        }
    }
    assert!(
        day.world.workers().iter().any(|w| w.spot),
        "none was rented"
    );
    calm(&day);
    day.all_done(&jobs, 400).await;
    day.check();
}

/// Odd requests: each refused with its field named, none changes anything; a known job is
/// told its state whatever the body holds.
#[tokio::test(start_paused = true)]
async fn odd_requests_are_refused_and_change_nothing() {
    let setup = Setup {
        value_kb: 16.0,
        ..Setup::default()
    };
    let mut day = Day::with(setup, 211);
    let known = day.submit(1, "sweep", 2, 1.0, 5.0).await;
    let service = day.submit(2, "standing", 2, 1.0, 0.0).await;
    day.all_done(std::slice::from_ref(&known), 60).await;
    let uid = "j-000500";
    let odd = |fields| job_with(uid, "gang", 4, 1.0, 5.0, fields);
    let mut bodies = vec![
        (422, "team", odd(json!({"crew": "nobody"}))),
        (422, "zone", odd(json!({"yard": "south"}))),
        (422, "type", odd(json!({"builds": ["barrel"]}))),
        (422, "type", odd(json!({"gpus": 5.0}))),
        (422, "type", odd(json!({"memoryGb": 65.0}))),
        (422, "limit", odd(json!({"pieces": 21}))),
        // At most half of its tasks may be in the one zone where all have to be.
        (
            422,
            "spread",
            odd(json!({"spread": true, "together": true})),
        ),
        (422, "spread", odd(json!({"spread": true, "yard": "east"}))),
        (
            422,
            "lists",
            odd(
                json!({"builds": (0..99).map(|i| format!("{i:0>199}")).chain(["box".to_string()]).collect::<Vec<_>>(), "kit": "k".repeat(200)}),
            ),
        ),
        (400, "pieces", odd(json!({"pieces": 0}))),
        (400, "-3", odd(json!({"pieces": -3}))),
        (400, "2.5", odd(json!({"pieces": 2.5}))),
        (400, "four", odd(json!({"pieces": "four"}))),
        (400, "cpus", odd(json!({"cpus": -1.0}))),
        (400, "null", odd(json!({"spread": null}))),
        (400, "uid", odd(json!({"uid": "job"}))),
        (413, "64 KiB", odd(json!({"kit": "k".repeat(70_000)}))),
    ];
    for field in [
        "lane",
        "crew",
        "shape",
        "rank",
        "pieces",
        "cpus",
        "gpus",
        "memoryGb",
        "kit",
        "sizeGb",
        "together",
        "spread",
        "loaners",
        "guessS",
        "waypointS",
        "stashS",
    ] {
        let mut body: serde_json::Value = serde_json::from_str(&odd(json!({}))).unwrap();
        body.as_object_mut().unwrap().remove(field);
        bodies.push((400, field, body.to_string()));
    }
    day.world.rules().bad.insert(uid.into());
    day.pass(30).await;
    let before = view(&day, |v| (v.jobs.len(), v.revision));
    for (status, names, body) in &bodies {
        for node in 0..3 {
            let answer = day
                .world
                .ask(node, "POST", "/api/jobs", body.as_bytes().to_vec());
            let (told, text) = answer.await.unwrap();
            let text = String::from_utf8(text).unwrap();
            assert_eq!(told, *status, "{text}");
            assert!(
                text.contains(names) || names.contains("type") && text.contains("type"),
                "{names}: {text}"
            );
        }
        // The same body under a known name.
        for (uid, stance) in [
            (&known, StatusPhase::Done),
            (&service, StatusPhase::Running),
        ] {
            let body = body.replace("j-000500", uid);
            if *status == 413 || body.contains(r#""uid":"job""#) {
                continue;
            }
            let answer = request(&day.world, 1, Request::Submit, uid, &body).await;
            let (told, state) = answer.unwrap();
            assert_eq!((told, state.unwrap().phase), (200, stance));
        }
    }
    let cancel = async |uid: &str| {
        request(&day.world, 0, Request::Cancel, uid, "")
            .await
            .unwrap()
    };
    assert_eq!(cancel(&known).await.1.unwrap().phase, StatusPhase::Done);
    assert_eq!(cancel(uid).await.0, 404);
    assert_eq!(view(&day, |v| v.jobs.len()), before.0);
    // An array may have its tasks in the one zone, half of them at a time.
    let fields = json!({"spread": true, "yard": "east"});
    let array = day.submit_with(600, "sweep", 4, 1.0, 5.0, fields).await;
    day.all_done(&[array], 60).await;
    day.check();
}
