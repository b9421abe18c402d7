//! Each row of the table in `docs/SUSPICION.md`, by whole controllers on virtual time:
//! who acts, within what time, and that nobody who lives is judged.

use rushwalk_simulator::failover::{Failure, Figures, play};

/// The figures of some seeds of a failure, of which none may break a rule.
async fn seeds(failure: Failure, controllers: usize) -> Vec<Figures> {
    restarted(failure, controllers, 4.0).await
}

/// The same with processes that are back after so many seconds.
async fn restarted(failure: Failure, controllers: usize, after_s: f64) -> Vec<Figures> {
    let mut all = Vec::new();
    for seed in 1..=2 {
        let figures = play(failure, controllers, seed, after_s).await;
        assert!(figures.broken.is_empty(), "{figures:#?}");
        assert_eq!(figures.false_verdicts, 0, "{failure:?} {figures:#?}");
        assert_eq!(figures.unheard, 0, "{failure:?} {figures:#?}");
        all.push(figures);
    }
    all
}

/// Fails if a round was missing for longer, or more leaders or moved blocks were seen.
async fn within(failure: Failure, no_round_s: f64, leaders: usize, moved: usize) -> Vec<Figures> {
    let all = seeds(failure, 3).await;
    for f in &all {
        assert!(
            f.no_round_s <= no_round_s,
            "{failure:?}: {} s",
            f.no_round_s
        );
        assert!(f.leaders <= leaders, "{failure:?}: {} leaders", f.leaders);
        assert!(f.moved <= moved, "{failure:?}: {} blocks moved", f.moved);
    }
    all
}

/// With the member lease alone: 4.3 to 6.9 s.
#[tokio::test(start_paused = true)]
async fn a_crash_is_taken_over_when_two_see_the_port_refuse() {
    within(Failure::Crash, 2.5, 2, 3).await;
    within(Failure::Roll, 2.5, 4, 9).await;
}

/// Nobody is left to agree: the member lease tells.
#[tokio::test(start_paused = true)]
async fn one_that_is_left_alone_passes_no_verdict() {
    for f in within(Failure::Two, 6.0, 3, 4).await {
        assert!(f.judged_s.is_none_or(|s| s > 2.0), "{f:#?}");
    }
    within(Failure::Successor, 6.0, 3, 4).await;
    within(Failure::All, 7.0, 2, 4).await;
}

#[tokio::test(start_paused = true)]
async fn who_stands_still_is_replaced_and_who_does_for_three_seconds_is_not() {
    within(Failure::Frozen, 5.8, 2, 3).await;
    // Its commits of that time are of unknown fate: it rewrites its own key.
    for f in within(Failure::Hiccup, 4.5, 2, 0).await {
        assert_eq!(f.judged_s, None);
    }
}

/// Each reaches the state service and its workers, and serves as before.
#[tokio::test(start_paused = true)]
async fn controllers_that_do_not_hear_each_other_judge_nobody() {
    within(Failure::PeersRefuse, 1.6, 1, 0).await;
    within(Failure::OneWay, 1.6, 1, 0).await;
    within(Failure::None, 1.6, 1, 0).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_leader_steps_down_and_nobody_does_if_all_are() {
    for f in within(Failure::Slow, 2.0, 2, 3).await {
        assert_eq!(f.leaders, 2, "{f:#?}");
    }
    within(Failure::AllSlow, 2.0, 1, 0).await;
}

#[tokio::test(start_paused = true)]
async fn machines_that_come_to_others_get_a_holder_that_hears_them() {
    for f in within(Failure::CutFromWorkers, 1.6, 1, 12).await {
        assert!(f.heard_s.iter().all(|s| *s < 15.0), "{:?}", f.heard_s);
    }
}

/// It holds its blocks by its last read; a third of them may move.
#[tokio::test(start_paused = true)]
async fn one_that_loses_the_state_service_again_and_again_keeps_its_blocks() {
    within(Failure::Flapping, 7.0, 2, 1).await;
}

#[tokio::test(start_paused = true)]
async fn five_controllers_do_as_three() {
    for f in seeds(Failure::Crash, 5).await {
        assert!(f.no_round_s < 3.0, "{f:#?}");
    }
}

/// A process that is back before anybody missed it: nobody need take over, and what the
/// one before it left under way harms nothing.
#[tokio::test(start_paused = true)]
async fn who_is_back_at_once_costs_no_more_than_who_is_not() {
    for after_s in [0.05, 0.5, 1.0] {
        for failure in [Failure::Crash, Failure::Successor, Failure::All] {
            for f in restarted(failure, 3, after_s).await {
                assert!(f.no_round_s <= 2.5, "{f:#?}");
                assert!(f.heard_s.iter().all(|s| *s < 5.0), "{f:#?}");
            }
        }
    }
}

/// One that ended while it started, again and again, had the lead 134 times in 20 s, and
/// its blocks each time: nobody heard their machines until it stayed.
#[tokio::test(start_paused = true)]
async fn who_comes_and_goes_leaves_lead_and_blocks_to_others() {
    for after_s in [0.05, 0.5] {
        for f in restarted(Failure::Looping, 3, after_s).await {
            assert!(f.leaders <= 5 && f.no_round_s <= 2.5, "{f:#?}");
            assert!(f.heard_s.iter().all(|s| *s < 8.0), "{f:#?}");
        }
        for f in restarted(Failure::Five, 3, after_s).await {
            assert!(f.leaders <= 4 && f.no_round_s <= 2.5, "{f:#?}");
        }
    }
}
