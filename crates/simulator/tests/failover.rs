//! Each row of the table in `docs/FAILURE_DETECTION.md`, by whole controllers on virtual time: how
//! long a failover takes, and that no healthy controller is declared failed.

use rushwalk_simulator::failover::{FailoverMeasurements, FailoverScenario, run as run_scenario};

/// Measurements of a scenario with several seeds, of which none may violate an invariant.
async fn measure(scenario: FailoverScenario, controllers: usize) -> Vec<FailoverMeasurements> {
    measure_with_restart(scenario, controllers, 4.0).await
}

/// The same with processes that are restarted after so many seconds.
async fn measure_with_restart(
    scenario: FailoverScenario,
    controllers: usize,
    restart_s: f64,
) -> Vec<FailoverMeasurements> {
    let mut runs = Vec::new();
    for seed in 1..=2 {
        let run = run_scenario(scenario, controllers, seed, restart_s).await;
        assert!(run.violations.is_empty(), "{run:#?}");
        assert_eq!(run.false_positives, 0, "{scenario:?} {run:#?}");
        assert_eq!(run.unrecovered_machines, 0, "{scenario:?} {run:#?}");
        runs.push(run);
    }
    runs
}

/// Fails if there was no scheduling round for longer, or there were more leaders or shard
/// moves.
async fn measure_within(
    scenario: FailoverScenario,
    round_gap_s: f64,
    leaders: usize,
    shard_moves: usize,
) -> Vec<FailoverMeasurements> {
    let runs = measure(scenario, 3).await;
    for run in &runs {
        assert!(
            run.longest_round_gap_s <= round_gap_s,
            "{scenario:?}: {} s",
            run.longest_round_gap_s
        );
        assert!(
            run.leaders <= leaders,
            "{scenario:?}: {} leaders",
            run.leaders
        );
        assert!(
            run.shard_moves <= shard_moves,
            "{scenario:?}: {} shard moves",
            run.shard_moves
        );
    }
    runs
}

/// By the expiry of the member lease alone it took 4.3 to 6.9 s.
#[tokio::test(start_paused = true)]
async fn a_crash_is_detected_when_two_controllers_are_refused_a_connection() {
    measure_within(FailoverScenario::LeaderCrash, 2.5, 2, 3).await;
    measure_within(FailoverScenario::RollingRestart, 2.5, 4, 9).await;
}

/// No other controller is left to agree: only the expiry of the member lease counts.
#[tokio::test(start_paused = true)]
async fn a_single_remaining_controller_declares_none_failed_by_evidence() {
    for run in measure_within(FailoverScenario::LeaderAndFollowerCrash, 6.0, 3, 4).await {
        assert!(run.declared_failed_s.is_none_or(|s| s > 2.0), "{run:#?}");
    }
    measure_within(FailoverScenario::SuccessorCrash, 6.0, 3, 4).await;
    measure_within(FailoverScenario::AllCrash, 7.0, 2, 4).await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_frozen_for_long_is_replaced_and_one_frozen_briefly_is_not() {
    measure_within(FailoverScenario::LeaderFrozen, 5.8, 2, 3).await;
    // The result of its commits of that time is unknown: it rewrites its own key.
    for run in measure_within(FailoverScenario::LeaderFrozenBriefly, 4.5, 2, 0).await {
        assert_eq!(run.declared_failed_s, None);
    }
}

/// Each reaches the store and its workers, and serves as before.
#[tokio::test(start_paused = true)]
async fn loss_of_peer_heartbeats_alone_declares_no_controller_failed() {
    measure_within(FailoverScenario::PeersRefuseConnections, 1.6, 1, 0).await;
    measure_within(FailoverScenario::LeaderInboundLoss, 1.6, 1, 0).await;
    measure_within(FailoverScenario::None, 1.6, 1, 0).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_leader_steps_down_unless_all_controllers_are_slow() {
    for run in measure_within(FailoverScenario::LeaderSlow, 2.0, 2, 3).await {
        assert_eq!(run.leaders, 2, "{run:#?}");
    }
    measure_within(FailoverScenario::AllSlow, 2.0, 1, 0).await;
}

#[tokio::test(start_paused = true)]
async fn machines_that_cannot_reach_their_shard_owner_get_another() {
    for run in measure_within(FailoverScenario::LeaderWorkersUnreachable, 1.6, 1, 12).await {
        assert!(
            run.machine_recovery_s.iter().all(|s| *s < 15.0),
            "{:?}",
            run.machine_recovery_s
        );
    }
}

/// Its shard leases last from its last read; a third of the shards may move.
#[tokio::test(start_paused = true)]
async fn a_controller_that_loses_the_store_repeatedly_keeps_its_shards() {
    measure_within(FailoverScenario::LeaderStoreFlapping, 7.0, 2, 1).await;
}

#[tokio::test(start_paused = true)]
async fn five_controllers_fail_over_like_three() {
    for run in measure(FailoverScenario::LeaderCrash, 5).await {
        assert!(run.longest_round_gap_s < 3.0, "{run:#?}");
    }
}

/// A process that is back before any other noticed: no failover is needed, and requests in
/// flight of the process before it do no harm.
#[tokio::test(start_paused = true)]
async fn a_fast_restart_costs_no_more_than_a_slow_one() {
    for restart_s in [0.05, 0.5, 1.0] {
        for scenario in [
            FailoverScenario::LeaderCrash,
            FailoverScenario::SuccessorCrash,
            FailoverScenario::AllCrash,
        ] {
            for run in measure_with_restart(scenario, 3, restart_s).await {
                assert!(run.longest_round_gap_s <= 2.5, "{run:#?}");
                assert!(run.machine_recovery_s.iter().all(|s| *s < 5.0), "{run:#?}");
            }
        }
    }
}

/// A controller that crashed while it started, again and again, was elected 134 times in 20 s
/// and assigned its shards each time: no owner had their machines' heartbeats until it stayed.
#[tokio::test(start_paused = true)]
async fn a_crash_looping_controller_leaves_leadership_and_shards_to_others() {
    for restart_s in [0.05, 0.5] {
        for run in measure_with_restart(FailoverScenario::LeaderCrashLoop, 3, restart_s).await {
            assert!(
                run.leaders <= 5 && run.longest_round_gap_s <= 2.5,
                "{run:#?}"
            );
            assert!(run.machine_recovery_s.iter().all(|s| *s < 8.0), "{run:#?}");
        }
        for run in measure_with_restart(FailoverScenario::LeaderCrashFiveTimes, 3, restart_s).await
        {
            assert!(
                run.leaders <= 4 && run.longest_round_gap_s <= 2.5,
                "{run:#?}"
            );
        }
    }
}
