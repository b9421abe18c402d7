//! Machines that boot fast, lose messages, are partitioned or are reclaimed.

use crate::common::small_cluster;
use crate::sleep_ms;
use rushwalk_testkit::{Fault, MachineType, ZONES};
use serde_json::json;
use std::time::Duration;

/// New machines are ready within two seconds and start tasks immediately, while commits are
/// delayed and the leader crashes. Controllers then don't know the result of some rentals, and
/// outcomes of tasks are committed late. All jobs must complete, and no machine may be left over.
#[tokio::test(start_paused = true)]
async fn quickly_booted_machines_are_used_while_commits_are_delayed_and_the_leader_crashes() {
    for (seed, crash_after_ms) in [
        (111, 300),
        (112, 900),
        (113, 1_500),
        (114, 2_500),
        (115, 5_000),
    ] {
        let mut cluster = small_cluster(seed, 20.0).await;
        cluster.platform.set_boot_time(Duration::from_millis(1_200));
        cluster.platform.inject(Fault::ManyCommitsDelayed);
        let mut jobs = Vec::new();
        for number in 1..=4 {
            jobs.push(cluster.submit(number, "sweep", 8, 1.0, 15.0).await);
        }
        sleep_ms(crash_after_ms).await;
        let leader = cluster.leader();
        cluster.crash(leader);
        jobs.push(cluster.submit(5, "gang", 3, 4.0, 15.0).await);
        sleep_ms(crash_after_ms).await;
        cluster.start(leader);
        cluster.run_for(20).await;
        let new_leader = cluster.leader();
        cluster.crash(new_leader);
        cluster.run_for(1).await;
        cluster.start(new_leader);
        cluster.run_for(10).await;
        cluster.platform.clear(Fault::ManyCommitsDelayed);
        cluster.run_for(13).await;
        cluster.declare_faults_ended();
        cluster.wait_until_done(&jobs, 120).await;
        cluster.run_for(240).await;
        let live_machines = cluster.platform.live_machines();
        assert_eq!(live_machines, 0, "seed {seed}: idle machines not returned");
        cluster.assert_invariants();
    }
}

/// Machines whose heartbeats are lost still receive direct commands. Controllers that kept using
/// such machines started the same tasks there again each time the worker lease had expired and
/// ended them, until the fault ended.
#[tokio::test(start_paused = true)]
async fn machines_with_outbound_loss_get_no_more_tasks() {
    let mut cluster = small_cluster(141, 50.0).await;
    let service = cluster.submit(1, "standing", 10, 4.0, 0.0).await;
    cluster.run_for(25).await;
    let machines = cluster.platform.checker().machines_of(&service);
    cluster
        .platform
        .inject_each(Fault::MachineOutboundLoss, &machines[..3]);
    let started = cluster.platform.checker().started;
    let array = cluster.submit(2, "sweep", 5, 4.0, 60.0).await;
    cluster.run_for(150).await;
    let moved_to = cluster.platform.checker().machines_of(&service);
    assert_eq!(moved_to.len(), 10);
    assert!(
        !moved_to.iter().any(|m| machines[..3].contains(m)),
        "{moved_to:?}"
    );
    cluster.wait_until_done(&[array], 1).await;
    let started = cluster.platform.checker().started - started;
    assert!(started <= 5 + 3 + 3, "{started} tasks started");
    cluster
        .platform
        .clear_each(Fault::MachineOutboundLoss, &machines[..3]);
    cluster.run_for(60).await;
    cluster.declare_faults_ended();
    assert_eq!(cluster.job_status(&service).await.running, 10);
    cluster.assert_invariants();
}

/// A zone with workers and a controller is partitioned for 30 s or 75 s, while a worker lease
/// lasts 40 s. In two of the cases an array bound to the zone also loses its machines.
#[tokio::test(start_paused = true)]
async fn jobs_bound_to_a_partitioned_zone_survive() {
    for (seed, duration_s, loses_machines) in [(151, 30, true), (152, 75, false), (153, 75, true)] {
        let mut cluster = small_cluster(seed, 20.0).await;
        let in_zone = json!({"yard": ZONES[1]});
        let service = cluster
            .submit_with(1, "standing", 4, 1.0, 0.0, in_zone.clone())
            .await;
        let array = cluster.submit_with(2, "sweep", 8, 1.0, 40.0, in_zone.clone());
        let array = array.await;
        let service_in_any_zone = cluster.submit(3, "standing", 6, 1.0, 0.0).await;
        let cancelled = cluster
            .submit_with(4, "standing", 3, 1.0, 0.0, in_zone.clone())
            .await;
        cluster.run_for(15).await;
        cluster.platform.inject(Fault::ZonePartitioned(1));
        cluster.run_for(3).await;
        cluster.cancel(&cancelled).await;
        if loses_machines {
            let machines = cluster.platform.checker().machines_of(&array);
            machines
                .iter()
                .for_each(|m| cluster.platform.delete_machine(&format!("i-{m:06}")));
        }
        cluster.run_for(duration_s).await;
        cluster.platform.clear(Fault::ZonePartitioned(1));
        cluster.declare_faults_ended();
        let later_array = cluster.submit_with(5, "sweep", 4, 1.0, 5.0, in_zone).await;
        cluster.wait_until_done(&[array, later_array], 160).await;
        cluster.run_for(70).await;
        for (id, tasks) in [(&service, 4), (&service_in_any_zone, 6)] {
            assert_eq!(cluster.job_status(id).await.running, tasks, "seed {seed}");
        }
        cluster.assert_invariants();
    }
}

/// Jobs of all priorities need more than the capacity of the zones, which have two machine types
/// and spot instances. All jobs must complete, and their constraints on machine types, spot
/// instances and zones must hold while spot instances are reclaimed.
#[tokio::test(start_paused = true)]
async fn jobs_beyond_the_capacity_of_two_types_and_spot_instances_complete() {
    let mut cluster = small_cluster(201, 20.0).await;
    cluster.platform.offer_machine_type(MachineType {
        label: "crate",
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 128.0,
        hourly: 7.0,
        spot_hourly: Some(2.0),
    });
    cluster.crash_all();
    cluster.start_all();
    ZONES
        .iter()
        .for_each(|zone| cluster.platform.limit_zone(zone, 3));
    cluster.run_for(15).await;
    let mut jobs = Vec::new();
    for number in 0..16 {
        let priority = ["normal", "urgent", "best_effort", "prod"][number as usize % 4];
        let fields = match number % 5 {
            0 => json!({"rank": priority, "loaners": true}),
            1 => json!({"rank": priority, "builds": ["box"]}),
            2 => json!({"rank": priority, "builds": ["crate"], "loaners": true, "spread": true}),
            3 => json!({"rank": priority, "yard": ZONES[number as usize % 3], "loaners": true}),
            _ => json!({"rank": priority, "together": true}),
        };
        let shape = ["sweep", "gang"][number as usize % 2];
        jobs.push(
            cluster
                .submit_with(100 + number, shape, 4, 1.0, 12.0, fields)
                .await,
        );
        cluster.run_for(1).await;
    }
    for iteration in 0..4u64 {
        cluster.run_for(8).await;
        let spot_instances: Vec<usize> = (cluster.platform.workers().iter().enumerate())
            .filter(|(_, w)| w.spot && !w.deleted && w.reclaim_at.is_none())
            .map(|(index, _)| index)
            .collect();
        for index in spot_instances.into_iter().step_by(2) {
            let notice = (iteration % 2 == 0).then(|| Duration::from_secs(6));
            cluster.platform.reclaim(index, notice);
        }
    }
    assert!(
        cluster.platform.workers().iter().any(|w| w.spot),
        "no spot instance was rented"
    );
    cluster.declare_faults_ended();
    cluster.wait_until_done(&jobs, 400).await;
    cluster.assert_invariants();
}
