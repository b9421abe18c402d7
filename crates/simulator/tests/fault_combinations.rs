//! Where two troubles meet: each meeting of `docs/MEETINGS.md`, brought about on virtual
//! time with whole controllers. Each test says what happened without its guard.

use clap::ValueEnum;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::request;
use rushwalk_simulator::fault_search::{self, Trouble};
use rushwalk_simulator::{Setup, Site as Day};
use rushwalk_testkit::{Fault, Request};
use std::time::Duration;

/// A day with room for more machines, and few changes a second: snapshots are made early.
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

/// From now on each zone has so many machines.
fn rentable(day: &Day, machines: usize) {
    for zone in ["east", "west", "north"] {
        day.world.limit(zone, machines);
    }
}

/// The state service refuses the leader alone, or it is cut from the others too; the
/// others confirm cancellations; then the state service is down for all. The tasks are
/// gone within 65 s (loan 20 s, lease 40 s), also the second time.
async fn gap(leads: bool, cut: bool, outage_s: u64) -> Duration {
    let mut day = small(20 + outage_s, 50.0).await;
    let mut n = 0;
    for _ in 0..2 {
        let mut jobs = Vec::new();
        for (shape, tasks, gpus) in [("standing", 6, 1.0), ("sweep", 6, 1.0), ("gang", 2, 4.0)] {
            n += 1;
            jobs.push(day.submit(n, shape, tasks, gpus, 900.0).await);
        }
        day.pass(20).await;
        let leader = day.leader();
        let victim = if leads { leader } else { (leader + 1) % 3 };
        day.world.set(Fault::NoState(victim));
        if cut {
            day.world.set(Fault::NoPeers(victim));
        }
        day.pass(1).await;
        let other = (victim + 1) % 3;
        for uid in &jobs {
            let answer = request(&day.world, other, Request::Cancel, uid, "").await;
            let (status, state) = answer.unwrap();
            assert_eq!(
                (status, state.unwrap().phase),
                (200, StatusPhase::Cancelled)
            );
        }
        day.world.set(Fault::Outage);
        day.pass(13).await;
        day.world.clear(Fault::NoState(victim));
        day.world.clear(Fault::NoPeers(victim));
        day.pass(outage_s.saturating_sub(13)).await;
        day.world.clear(Fault::Outage);
        day.pass(20).await;
    }
    day.pass(70).await;
    assert_eq!(day.world.rules().running(), 0);
    day.check();
    day.world.rules().cancelled_for
}

#[tokio::test(start_paused = true)]
async fn what_others_cancelled_is_gone_in_time_behind_a_refused_leader_and_an_outage() {
    let mut most = Duration::ZERO;
    for outage_s in [13, 30, 62, 80] {
        for (leads, cut) in [(true, false), (true, true), (false, false)] {
            most = most.max(gap(leads, cut, outage_s).await);
        }
    }
    // The bound: the loan after the last read, and the lease of the last report answered.
    assert!(most < Duration::from_secs(61), "{most:?}");
    assert!(
        most > Duration::from_secs(30),
        "{most:?}: nobody went on unaware"
    );
}

/// Users who kept to a controller that was cut from the state service and the others got
/// no answer for as long as that lasted: it held itself to be as good as any other.
#[tokio::test(start_paused = true)]
async fn who_is_cut_from_state_and_others_sends_users_away() {
    let mut day = Day::new(31);
    let service = day.submit(1, "standing", 4, 1.0, 0.0).await;
    day.pass(20).await;
    let leader = day.leader();
    day.world.set(Fault::NoState(leader));
    day.world.set(Fault::NoPeers(leader));
    day.pass(8).await;
    let health = async |node| {
        let answer = day.world.ask(node, "GET", "/healthz", Vec::new()).await;
        answer.unwrap().0
    };
    assert_eq!(health(leader).await, 503);
    assert_eq!(health((leader + 1) % 3).await, 200);
    day.pass(100).await;
    day.world.clear(Fault::NoState(leader));
    day.world.clear(Fault::NoPeers(leader));
    day.pass(10).await;
    assert_eq!(health(leader).await, 200);
    // In an outage nobody is better: all stay.
    day.world.set(Fault::Outage);
    day.pass(20).await;
    for node in 0..3 {
        assert_eq!(health(node).await, 200);
    }
    day.world.clear(Fault::Outage);
    day.pass(10).await;
    assert_eq!(day.state(&service).await.running, 4);
    day.check();
}

/// Machines whose reports come but that hear nothing kept their tasks for as long as that
/// lasted, though their leases had run out, and were given more.
async fn deaf(with_end: bool) {
    let mut day = small(32, 50.0).await;
    let service = day.submit(1, "standing", 10, 4.0, 0.0).await;
    day.pass(25).await;
    let on = day.world.rules().machines(&service);
    assert_eq!(on.len(), 10);
    for machine in &on[..3] {
        day.world.set(Fault::DeafMachine(*machine));
    }
    if with_end {
        let leader = day.leader();
        (0..3).for_each(|i| {
            if i == leader {
                day.crash(i)
            }
        });
        day.pass(5).await;
        day.start(leader);
    }
    // A loan, a lease, and what it takes to notice and to boot others.
    let mut waited = 0;
    loop {
        let there = day.world.rules().machines(&service);
        let still = there.iter().filter(|m| on[..3].contains(m)).count();
        if there.len() == 10 && still == 0 {
            break;
        }
        day.pass(1).await;
        waited += 1;
        assert!(waited < 140, "on {there:?} of {on:?}");
    }
    // More is placed where it can start.
    let more = day.submit(2, "sweep", 8, 1.0, 10.0).await;
    day.all_done(&[more], 30).await;
    for machine in &on[..3] {
        day.world.clear(Fault::DeafMachine(*machine));
    }
    day.pass(40).await;
    assert_eq!(day.state(&service).await.running, 10);
    day.check();
}

#[tokio::test(start_paused = true)]
async fn tasks_of_machines_that_hear_nothing_go_elsewhere() {
    deaf(false).await;
}

#[tokio::test(start_paused = true)]
async fn also_if_their_leader_ends_meanwhile() {
    deaf(true).await;
}

/// A task's end was put forward, its commit went unanswered, the machine came back and
/// the task was started there again; then the end came, and it was started elsewhere while
/// the first was being stopped.
#[tokio::test(start_paused = true)]
async fn a_task_whose_end_may_come_late_is_not_started_again() {
    let mut day = small(33, 50.0).await;
    let service = day.submit(1, "standing", 6, 4.0, 0.0).await;
    day.pass(25).await;
    let machines = day.world.rules().machines(&service);
    // An array is placed on machines that stand still, so none of it was seen to run.
    day.cancel(&service).await;
    day.pass(1).await;
    rentable(&day, 0);
    machines.iter().for_each(|m| day.world.set(Fault::Hung(*m)));
    let array = day.submit(2, "sweep", 3, 4.0, 300.0).await;
    day.world
        .next_late(r#"{"e":["j-000002""#, Duration::from_secs(7));
    let mut waited = 0;
    while !day.world.none_late() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        waited += 1;
        assert!(waited < 2000, "no end was put forward");
    }
    machines
        .iter()
        .for_each(|m| day.world.clear(Fault::Hung(*m)));
    day.pass(30).await;
    // Each once: not again before the end came, and then elsewhere or anew.
    assert_eq!(day.world.rules().starts_of[&array], 3);
    day.check();
}

/// A chunk of a snapshot, or its head, that came late replaced one of the next try: who
/// listed then could read nothing any more, and after an end of all nobody could.
#[tokio::test(start_paused = true)]
async fn a_late_part_of_a_snapshot_harms_no_later_one() {
    for (text, seed) in [("w/s/", 34), (r#""write":"w/base""#, 35)] {
        let mut day = small(seed, 10.0).await;
        let service = day.submit(1, "standing", 4, 1.0, 0.0).await;
        day.world.next_late(text, Duration::from_secs(10));
        let mut jobs = Vec::new();
        let mut n = 10;
        while !day.world.none_late() {
            n += 1;
            assert!(n < 300, "no snapshot was begun");
            jobs.push(day.submit(n, "sweep", 2, 1.0, 8.0).await);
            day.pass(2).await;
        }
        day.pass(12).await;
        let started = day.world.rules().started;
        (0..3).for_each(|i| day.crash(i));
        day.pass(1).await;
        (0..3).for_each(|i| day.start(i));
        day.all_done(&jobs, 120).await;
        assert_eq!(day.state(&service).await.running, 4, "{text}");
        let again = day.world.rules().started - started;
        assert!(again <= 12, "{again} tasks started anew");
        day.check();
    }
}

/// Tasks of an array end far apart: what is done stays done over a snapshot, a change of
/// the leader, an end of all and a listing, and is not started again.
#[tokio::test(start_paused = true)]
async fn tasks_that_end_far_apart_are_each_run_once() {
    let mut day = small(36, 10.0).await;
    for n in 1..=6u32 {
        let uid = format!("j-{n:06}");
        let mut rules = day.world.rules();
        for (index, s) in [(0, 5.0), (1, 70.0), (2, 150.0)] {
            rules.takes_s.insert((uid.clone(), index), s);
        }
    }
    let mut far = Vec::new();
    for n in 1..=6 {
        far.push(day.submit(n, "sweep", 2 + n % 2, 1.0, 90.0).await);
    }
    day.pass(30).await;
    for n in 0..3u32 {
        // Other work fills the log: a snapshot is made.
        let base = day.processes.iter().flatten().next().unwrap();
        let before = base.node.replica.state().snapshot.generation;
        for k in 0..40 {
            day.submit(100 + n * 40 + k, "sweep", 1, 1.0, 2.0).await;
            day.pass(1).await;
            let (_, node) = day.nodes().next().unwrap();
            if node.replica.state().snapshot.generation > before {
                break;
            }
        }
        let leader = day.leader();
        match n {
            0 => day.crash(leader),
            _ => (0..3).for_each(|i| day.crash(i)),
        }
        day.pass(u64::from(n)).await;
        for i in 0..3 {
            if day.processes[i].is_none() {
                day.start(i);
            }
        }
        day.pass(8).await;
    }
    day.all_done(&far, 200).await;
    // One that runs much longer than its job's others is restarted elsewhere, once.
    assert_eq!(day.world.rules().after_done, 0, "started anew");
    day.check();
}

/// Lead and blocks go back and forth within a second, then all end and one returns: it
/// does the work alone.
#[tokio::test(start_paused = true)]
async fn one_that_returns_alone_does_the_work() {
    for (seed, after_ms) in [(37, 50), (38, 900)] {
        let mut day = small(seed, 50.0).await;
        let service = day.submit(1, "standing", 8, 1.0, 0.0).await;
        day.pass(20).await;
        let started = day.world.rules().started;
        for _ in 0..4 {
            let leader = day.leader();
            day.crash(leader);
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            day.start(leader);
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
        }
        let last = day.leader();
        (0..3).for_each(|i| day.crash(i));
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        day.start(last);
        let job = day.submit(2, "sweep", 4, 1.0, 10.0).await;
        day.all_done(&[job], 60).await;
        assert_eq!(day.state(&service).await.running, 8);
        assert_eq!(day.world.rules().started, started + 4, "started anew");
        day.check();
    }
}

/// Commands are held up while the block is lent on and back; the machines go on within
/// their leases, or behind them.
#[tokio::test(start_paused = true)]
async fn commands_held_up_over_a_change_of_holders_start_nothing_twice() {
    for (seed, for_s) in [(39, 12), (40, 30), (41, 55)] {
        let mut day = small(seed, 50.0).await;
        let service = day.submit(1, "standing", 6, 4.0, 0.0).await;
        day.pass(25).await;
        let machines = day.world.rules().machines(&service);
        machines.iter().for_each(|m| day.world.set(Fault::Hung(*m)));
        // Starts, stops and cancellations go out, and are held up.
        let job = day.submit(2, "sweep", 6, 1.0, 30.0).await;
        let gone = day.submit(3, "gang", 2, 2.0, 200.0).await;
        day.pass(2).await;
        day.cancel(&service).await;
        for _ in 0..2 {
            let leader = day.leader();
            day.crash(leader);
            day.pass(for_s / 4).await;
            day.start(leader);
            day.pass(for_s / 4).await;
        }
        machines
            .iter()
            .for_each(|m| day.world.clear(Fault::Hung(*m)));
        day.cancel(&gone).await;
        day.all_done(&[job], 150).await;
        day.pass(70).await;
        day.check();
    }
}

/// While the state service took most of a second for each answer, hardly a question of
/// users was answered: a read had to begin after the question and end within 0.6 s.
#[tokio::test(start_paused = true)]
async fn a_slow_state_service_slows_answers_and_loses_none() {
    let mut day = small(42, 50.0).await;
    let service = day.submit(1, "standing", 4, 1.0, 0.0).await;
    day.pass(20).await;
    day.world.set(Fault::SlowState);
    day.pass(5).await;
    let path = format!("/api/jobs/{service}");
    let (mut told, mut asked) = (0, 0);
    for n in 0..60 {
        tokio::time::sleep(Duration::from_millis(330)).await;
        let call = day.world.ask(n % 3, "GET", &path, Vec::new());
        let answer = tokio::time::timeout(Duration::from_secs(2), call).await;
        asked += 1;
        told += usize::from(matches!(answer, Ok(Some((200, _)))));
    }
    assert!(told * 10 >= asked * 9, "{told} of {asked}");
    // The leader alone refused, then everybody for longer than a cancellation has.
    let leader = day.leader();
    day.world.set(Fault::NoState(leader));
    day.cancel(&service).await;
    day.world.set(Fault::Outage);
    day.pass(80).await;
    day.world.clear(Fault::NoState(leader));
    day.world.clear(Fault::Outage);
    day.world.clear(Fault::SlowState);
    assert_eq!(day.state(&service).await.phase, StatusPhase::Cancelled);
    day.check();
}

/// Copies of old reports come while holders change: the first that a new process hears
/// of a machine may be one. They prove nothing.
#[tokio::test(start_paused = true)]
async fn old_reports_prove_nothing_to_a_new_holder() {
    let mut day = small(43, 50.0).await;
    day.world.set(Fault::LateReports);
    let service = day.submit(1, "standing", 8, 1.0, 0.0).await;
    let mut jobs = Vec::new();
    for n in 0..12u32 {
        jobs.push(day.submit(10 + n, "sweep", 3, 1.0, 12.0).await);
        day.pass(4).await;
        let node = n as usize % 3;
        day.crash(node);
        tokio::time::sleep(Duration::from_millis(200)).await;
        day.start(node);
        day.pass(4).await;
    }
    day.all_done(&jobs, 100).await;
    assert_eq!(day.state(&service).await.running, 8);
    assert_eq!(day.world.rules().after_done, 0, "started anew");
    day.check();
}

/// Fixed seeds of the search; by hand it plays hundreds: `rushwalk-simulator meet`.
#[test]
fn drawn_meetings_break_no_rule() {
    for seed in 1..=36 {
        let day = fault_search::Day::draw(seed, 3, Trouble::value_variants());
        let found = paused(fault_search::play(&day));
        assert!(found.broken.is_empty(), "{found:#?}");
    }
}

/// Where a search finds something, the same seed must bring it about again.
#[test]
fn one_seed_plays_the_same_day_to_the_last_commit() {
    for seed in [3, 4] {
        let day = fault_search::Day::draw(seed, 3, Trouble::value_variants());
        let once = || paused(fault_search::played(&day, true));
        let ((first, before), (second, after)) = (once(), once());
        assert!(before.len() > 1000, "{} events", before.len());
        let differ = before.iter().zip(&after).find(|(a, b)| a != b);
        assert_eq!(differ, None, "seed {seed}");
        assert_eq!(before.len(), after.len());
        assert_eq!(format!("{first:?}"), format!("{second:?}"));
    }
}

fn paused<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(what)
}
