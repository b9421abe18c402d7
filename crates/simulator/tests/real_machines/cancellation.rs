//! Cancellations meet their deadline, and free their quota, whatever fails meanwhile.

use crate::common::small_cluster;
use crate::sleep_ms;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{TeamQuota, request};
use rushwalk_simulator::{ClusterConfig, SimulatedCluster};
use rushwalk_testkit::{Fault, Request};
use serde_json::json;

/// Every team is at its quota while jobs are cancelled whose machines are partitioned or
/// suspended, and the leader changes: cancelled tasks count until they have surely ended, and
/// then their capacity is used again.
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
    let mut first = vec![
        cluster.submit(1, "standing", 12, 1.0, 0.0).await,
        cluster.submit(2, "sweep", 6, 2.0, 900.0).await,
        cluster
            .submit_with(3, "gang", 3, 4.0, 900.0, blue.clone())
            .await,
    ];
    cluster.run_for(25).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 21);
    let machines: Vec<usize> = (first.iter())
        .flat_map(|id| cluster.platform.checker().machines_of(id))
        .collect();
    // Every second machine, also of the gang.
    let affected: Vec<usize> = machines.into_iter().filter(|m| m % 2 == 0).collect();
    cluster.platform.inject_each(fault, &affected);
    let mut next = vec![
        cluster.submit(11, "sweep", 24, 1.0, 20.0).await,
        cluster
            .submit_with(12, "gang", 3, 4.0, 20.0, blue.clone())
            .await,
        cluster.submit_with(13, "sweep", 12, 1.0, 20.0, blue).await,
    ];
    let leader = cluster.leader();
    cluster.cancel(&first.remove(0)).await;
    cluster.cancel(&first.remove(1)).await;
    if with_crash {
        cluster.crash(leader);
        sleep_ms(200).await;
        cluster.start(leader);
    }
    cluster.cancel(&first.remove(0)).await;
    cluster.run_for(duration_s).await;
    cluster.platform.clear_each(fault, &affected);
    cluster.declare_faults_ended();
    next.push(cluster.submit(14, "sweep", 24, 1.0, 5.0).await);
    cluster.wait_until_done(&next, 200).await;
    cluster.run_for(70).await;
    cluster.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn teams_at_their_quota_get_cancelled_capacity_back_and_no_more() {
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

/// Jobs are cancelled before, while and after a controller's shards get other owners, with
/// commands of the former owner delayed.
#[tokio::test(start_paused = true)]
async fn cancellations_during_shard_moves_take_effect() {
    for (seed, back_ms) in [(101, 200), (102, 1_200), (103, 9_000)] {
        let mut cluster = small_cluster(seed, 12.0).await;
        let mut number = 100;
        let mut cancelled = Vec::new();
        for iteration in 0..6u64 {
            let owner = (cluster.leader() + iteration as usize) % 3;
            let together = json!({"together": true});
            let mut jobs = Vec::new();
            for (shape, tasks, gpus) in [
                ("standing", 4, 1.0),
                ("gang", 3, 4.0),
                ("sweep", 6, 1.0),
                ("gang", 2, 2.0),
                ("sweep", 5, 1.0),
            ] {
                number += 1;
                let together = together.clone();
                let id = cluster.submit_with(number, shape, tasks, gpus, 200.0, together);
                jobs.push(id.await);
            }
            sleep_ms(150 * iteration).await;
            if iteration % 2 == 0 {
                cluster.platform.inject(Fault::WorkerMessagesDelayed(owner));
            }
            cluster.crash(owner);
            let (platform, ids) = (cluster.platform.clone(), jobs.clone());
            // One each 400 ms: before, while and after the shard leases change.
            let cancels = tokio::spawn(async move {
                for (index, id) in ids.into_iter().enumerate() {
                    sleep_ms(400).await;
                    for k in 0.. {
                        let controller = (owner + 1 + (index + k) % 2) % 3;
                        match request(&platform, controller, Request::Cancel, &id, "").await {
                            Some(response) if response.status == 200 => break,
                            _ => sleep_ms(300).await,
                        }
                    }
                }
            });
            sleep_ms(back_ms).await;
            cluster.start(owner);
            cancels.await.unwrap();
            sleep_ms(700).await;
            cluster.platform.clear(Fault::WorkerMessagesDelayed(owner));
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

/// Jobs are cancelled just as the store refuses the leader alone; a second later it refuses
/// everybody for longer than the deadline of a cancellation. In addition a team is at its
/// quota, machines are suspended, and the leader changes.
#[tokio::test(start_paused = true)]
async fn cancellations_as_the_leader_loses_the_store_before_an_outage_take_effect() {
    for (seed, limit, with_frozen_machines, outage_s) in [
        (191, 60.0, false, 75),
        (192, 16.0, true, 75),
        (193, 16.0, true, 20),
    ] {
        let config = ClusterConfig {
            write_rps: 20.0,
            ..ClusterConfig::with_gpus(limit)
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
        let next = cluster.submit(10, "sweep", 8, 2.0, 10.0).await;
        cluster.run_for(5).await;
        cluster.declare_faults_ended();
        cluster.wait_until_done(&[next], 120).await;
        for id in &jobs {
            cluster.cancel(id).await;
        }
        cluster.run_for(70).await;
        assert_eq!(cluster.platform.checker().running_tasks(), 0);
        cluster.assert_invariants();
    }
}
