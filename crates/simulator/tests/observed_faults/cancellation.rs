//! Cancellations during faults: they meet their deadline and release the team's quota.

use crate::common::small_cluster;
use crate::sleep_ms;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{TeamQuota, request};
use rushwalk_simulator::{ClusterConfig, SimulatedCluster};
use rushwalk_testkit::{Fault, Request};
use serde_json::json;

/// Cancels jobs while every team is at its quota and `fault` affects some of the jobs' machines
/// for `duration_s` seconds; with `with_crash` the leader also crashes and restarts. Cancelled
/// tasks must count towards the quota until they have certainly ended, and afterwards other jobs
/// must be able to use their capacity.
async fn cancel_at_quota(seed: u64, fault: fn(usize) -> Fault, duration_s: u64, with_crash: bool) {
    let config = ClusterConfig {
        teams: vec![
            TeamQuota {
                team: "red",
                gpus: 24.0,
            },
            TeamQuota {
                team: "blue",
                gpus: 12.0,
            },
        ],
        write_rps: 12.0,
        ..ClusterConfig::default()
    };
    let mut cluster = SimulatedCluster::warmed_up(config, seed).await;
    let blue = json!({"crew": "blue"});
    let mut jobs_to_cancel = vec![
        cluster.submit(1, "standing", 12, 1.0, 0.0).await,
        cluster.submit(2, "sweep", 6, 2.0, 900.0).await,
        cluster
            .submit_with(3, "gang", 3, 4.0, 900.0, blue.clone())
            .await,
    ];
    cluster.run_for(25).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 21);
    let machines: Vec<usize> = (jobs_to_cancel.iter())
        .flat_map(|id| cluster.platform.checker().machines_of(id))
        .collect();
    // Machines with an even index, also those of the gang.
    let affected: Vec<usize> = machines.into_iter().filter(|m| m % 2 == 0).collect();
    cluster.platform.inject_each(fault, &affected);
    let mut later_jobs = vec![
        cluster.submit(11, "sweep", 24, 1.0, 20.0).await,
        cluster
            .submit_with(12, "gang", 3, 4.0, 20.0, blue.clone())
            .await,
        cluster.submit_with(13, "sweep", 12, 1.0, 20.0, blue).await,
    ];
    let leader = cluster.leader();
    cluster.cancel(&jobs_to_cancel.remove(0)).await;
    cluster.cancel(&jobs_to_cancel.remove(1)).await;
    if with_crash {
        cluster.crash(leader);
        sleep_ms(200).await;
        cluster.start(leader);
    }
    cluster.cancel(&jobs_to_cancel.remove(0)).await;
    cluster.run_for(duration_s).await;
    cluster.platform.clear_each(fault, &affected);
    cluster.declare_faults_ended();
    later_jobs.push(cluster.submit(14, "sweep", 24, 1.0, 5.0).await);
    cluster.wait_until_done(&later_jobs, 200).await;
    cluster.run_for(70).await;
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn teams_at_their_quota_reuse_cancelled_capacity_and_never_exceed_it() {
    let mut seed = 80;
    for fault in [
        Fault::MachineFrozen,
        Fault::MachinePartitioned,
        Fault::MachineInboundLoss,
        Fault::MachineOutboundLoss,
    ] {
        for (duration_s, with_crash) in [(12, true), (50, true), (90, true), (50, false)] {
            seed += 1;
            cancel_at_quota(seed, fault, duration_s, with_crash).await;
        }
    }
}

/// Jobs are cancelled before, during and after the move of a crashed controller's shards to other
/// owners. In every second iteration, messages between that controller and workers are delayed.
#[tokio::test(start_paused = true)]
async fn cancellations_during_shard_moves_take_effect() {
    for (seed, restart_after_ms) in [(101, 200), (102, 1_200), (103, 9_000)] {
        let mut cluster = small_cluster(seed, 12.0).await;
        let mut number = 100;
        let mut cancelled = Vec::new();
        for iteration in 0..6u64 {
            let crashed = (cluster.leader() + iteration as usize) % 3;
            let one_zone = json!({"together": true});
            let mut jobs = Vec::new();
            for (shape, tasks, gpus) in [
                ("standing", 4, 1.0),
                ("gang", 3, 4.0),
                ("sweep", 6, 1.0),
                ("gang", 2, 2.0),
                ("sweep", 5, 1.0),
            ] {
                number += 1;
                let fields = one_zone.clone();
                let id = cluster.submit_with(number, shape, tasks, gpus, 200.0, fields);
                jobs.push(id.await);
            }
            sleep_ms(150 * iteration).await;
            if iteration % 2 == 0 {
                cluster
                    .platform
                    .inject(Fault::WorkerMessagesDelayed(crashed));
            }
            cluster.crash(crashed);
            let (platform, ids) = (cluster.platform.clone(), jobs.clone());
            // One every 400 ms: before, during and after the change of the shard leases.
            let cancellations = tokio::spawn(async move {
                for (index, id) in ids.into_iter().enumerate() {
                    sleep_ms(400).await;
                    for attempt in 0.. {
                        let controller = (crashed + 1 + (index + attempt) % 2) % 3;
                        match request(&platform, controller, Request::Cancel, &id, "").await {
                            Some(response) if response.status == 200 => break,
                            _ => sleep_ms(300).await,
                        }
                    }
                }
            });
            sleep_ms(restart_after_ms).await;
            cluster.start(crashed);
            cancellations.await.unwrap();
            sleep_ms(700).await;
            cluster
                .platform
                .clear(Fault::WorkerMessagesDelayed(crashed));
            cancelled.extend(jobs);
            cluster.run_for(4).await;
        }
        cluster.declare_faults_ended();
        cluster.run_for(70).await;
        assert_eq!(cluster.platform.checker().running_tasks(), 0);
        for id in &cancelled {
            assert_eq!(cluster.job_status(id).await.phase, StatusPhase::Cancelled);
        }
        cluster.assert_invariants();
    }
}

/// Jobs are cancelled right after the store begins to refuse the leader alone; a second later it
/// refuses all controllers for 75 s, longer than the deadline of a cancellation (65 s), or for
/// 20 s. In two of the cases the team is also at its quota, machines are suspended, and the
/// leader crashes.
#[tokio::test(start_paused = true)]
async fn cancellations_as_the_leader_loses_the_store_before_an_outage_take_effect() {
    for (seed, gpu_quota, with_frozen_machines, outage_s) in [
        (191, 60.0, false, 75),
        (192, 16.0, true, 75),
        (193, 16.0, true, 20),
    ] {
        let config = ClusterConfig {
            write_rps: 20.0,
            ..ClusterConfig::with_gpus(gpu_quota)
        };
        let mut cluster = SimulatedCluster::warmed_up(config, seed).await;
        let mut jobs = Vec::new();
        for (number, shape, tasks, gpus) in [
            (1, "standing", 6, 1.0),
            (2, "sweep", 6, 1.0),
            (3, "gang", 2, 2.0),
        ] {
            jobs.push(cluster.submit(number, shape, tasks, gpus, 900.0).await);
        }
        cluster.run_for(20).await;
        let leader = cluster.leader();
        let machines = cluster.platform.checker().machines_of(&jobs[0]);
        if with_frozen_machines {
            cluster
                .platform
                .inject_each(Fault::MachineFrozen, &machines);
        }
        cluster.platform.inject(Fault::StoreUnreachable(leader));
        for id in &jobs {
            request(&cluster.platform, (leader + 1) % 3, Request::Cancel, id, "").await;
        }
        sleep_ms(1_000).await;
        cluster.platform.inject(Fault::StoreOutage);
        cluster.run_for(outage_s).await;
        cluster.platform.clear(Fault::StoreOutage);
        cluster.platform.clear(Fault::StoreUnreachable(leader));
        if with_frozen_machines {
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run_for(2).await;
            cluster.start(leader);
            cluster.platform.clear_each(Fault::MachineFrozen, &machines);
        }
        let later_array = cluster.submit(10, "sweep", 8, 2.0, 10.0).await;
        cluster.run_for(5).await;
        cluster.declare_faults_ended();
        cluster.wait_until_done(&[later_array], 120).await;
        for id in &jobs {
            cluster.cancel(id).await;
        }
        cluster.run_for(70).await;
        assert_eq!(cluster.platform.checker().running_tasks(), 0);
        cluster.assert_invariants();
    }
}
