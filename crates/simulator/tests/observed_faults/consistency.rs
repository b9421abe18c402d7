//! No controller returns a stale job status.

use crate::common::small_cluster;
use crate::sleep_ms;
use rushwalk::controller::Controller;
use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{job, request, send_requests_to_all_controllers};
use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use rushwalk_testkit::{Fault, Request};
use std::time::Duration;

/// Submits a job at one controller, cancels it at another `cancel_after_ms` milliseconds
/// later, while the submission may still be in flight, then queries all controllers.
async fn submit_and_cancel_concurrently(
    cluster: &mut SimulatedCluster,
    number: u32,
    cancel_after_ms: u64,
) {
    let id = format!("j-{number:06}");
    let body = job(&id, "sweep", 2, 1.0, 30.0);
    cluster.register_job(&id, &body);
    let platform = cluster.platform.clone();
    // If the response is lost, the user submits the job again.
    let submit = async {
        let response = request(&platform, number as usize % 3, Request::Submit, &id, &body).await;
        if response
            .as_ref()
            .is_some_and(|response| response.status < 300)
        {
            return response;
        }
        sleep_ms(1_000).await;
        request(
            &platform,
            (number as usize + 2) % 3,
            Request::Submit,
            &id,
            &body,
        )
        .await
    };
    let cancel = async {
        sleep_ms(cancel_after_ms).await;
        request(
            &platform,
            (number as usize + 1) % 3,
            Request::Cancel,
            &id,
            "",
        )
        .await
    };
    let (submitted, cancelled) = tokio::join!(submit, cancel);
    assert!(
        submitted.is_some_and(|response| response.status < 300),
        "{id}"
    );
    match cancelled {
        Some(response) if response.status == 200 => {
            assert_eq!(response.phase(), Some(StatusPhase::Cancelled));
        }
        // The cancellation arrived before the submission, or no controller could carry it out.
        other => {
            let status = other.as_ref().map(|response| response.status);
            assert!(matches!(status, None | Some(404 | 429 | 503)), "{other:?}");
        }
    }
    send_requests_to_all_controllers(&platform, &id, &body).await;
    cluster.cancel(&id).await;
    send_requests_to_all_controllers(&platform, &id, &body).await;
}

/// Users query all controllers many times within milliseconds, and repeat the submission, right
/// after a job was accepted, cancelled or done. This happens without faults, after a crash of the
/// leader, while the store is slow, and while responses to commits are lost.
#[tokio::test(start_paused = true)]
async fn no_controller_returns_stale_job_status() {
    let mut cluster = small_cluster(51, 50.0).await;
    let mut number = 100;
    for fault in 0..4 {
        let leader = cluster.leader();
        match fault {
            1 => cluster.crash(leader),
            2 => cluster.platform.inject(Fault::StoreSlow),
            3 => cluster.platform.inject(Fault::CommitResponsesLost),
            _ => {}
        }
        for _ in 0..3 {
            number += 1;
            let id = cluster.submit(number, "sweep", 1, 1.0, 3.0).await;
            let body = job(&id, "sweep", 1, 1.0, 3.0);
            send_requests_to_all_controllers(&cluster.platform, &id, &body).await;
            for cancel_after_ms in [0, 2, 40] {
                number += 1;
                submit_and_cancel_concurrently(&mut cluster, number, cancel_after_ms).await;
            }
            cluster.wait_until_done(std::slice::from_ref(&id), 60).await;
            send_requests_to_all_controllers(&cluster.platform, &id, &body).await;
        }
        cluster.platform.clear(Fault::StoreSlow);
        cluster.platform.clear(Fault::CommitResponsesLost);
        cluster.start_if_stopped(leader);
        cluster.run_for(5).await;
    }
    cluster.assert_invariants();
}

/// A controller loses the store for so long that it must list all keys, while the store is slow.
/// Queries at this controller about jobs that are accepted during the listing must return no
/// stale status, and after the listing its state must hold all jobs. Queries wait for the listing
/// here, because the controller's latest read of the store is too old. That an older listing
/// doesn't replace a newer state is tested in `rushwalk-state`.
#[tokio::test(start_paused = true)]
async fn controller_that_lists_the_store_again_returns_no_stale_job_status() {
    let config = ClusterConfig {
        retained_changes: 30,
        ..ClusterConfig::with_gpus(60.0)
    };
    let mut cluster = SimulatedCluster::warmed_up(config, 52).await;
    let mut number = 100;
    for _ in 0..6 {
        let disconnected = (cluster.leader() + 1) % 3;
        cluster
            .platform
            .inject(Fault::StoreUnreachable(disconnected));
        for _ in 0..12 {
            number += 1;
            cluster.submit(number, "sweep", 2, 1.0, 3.0).await;
            cluster.run_for(1).await;
        }
        cluster.platform.inject(Fault::StoreSlow);
        cluster
            .platform
            .clear(Fault::StoreUnreachable(disconnected));
        let mut users = tokio::task::JoinSet::new();
        for user in 0..40u64 {
            number += 1;
            let (id, platform) = (format!("j-{number:06}"), cluster.platform.clone());
            let body = job(&id, "sweep", 1, 1.0, 3.0);
            cluster.register_job(&id, &body);
            users.spawn(async move {
                sleep_ms(100 * user).await;
                request(&platform, user as usize % 3, Request::Submit, &id, &body).await;
                for _ in 0..8 {
                    request(&platform, disconnected, Request::Query, &id, "").await;
                    sleep_ms(150).await;
                }
            });
        }
        users.join_all().await;
        cluster.platform.clear(Fault::StoreSlow);
        cluster.run_for(10).await;
    }
    cluster.run_for(20).await;
    // All controllers hold all jobs, with the same status.
    let statuses = |controller: &Controller| -> Vec<_> {
        let ids = cluster.jobs.keys();
        ids.map(|id| inspect::job_status(controller, id)).collect()
    };
    let by_controller: Vec<_> = cluster
        .controllers()
        .map(|(_, controller)| statuses(controller))
        .collect();
    assert!(by_controller[0].iter().all(Option::is_some));
    assert!(
        by_controller.windows(2).all(|pair| pair[0] == pair[1]),
        "controllers have different job statuses"
    );
    cluster.assert_invariants();
}

/// For each kind of commit: a transaction is applied immediately and only its response is lost,
/// while the other controllers already read what it wrote.
#[tokio::test(start_paused = true)]
async fn commits_with_lost_responses_take_effect_once() {
    // Texts that identify commits by their bodies: log entries that submit or cancel a job, assign
    // or place tasks, record their start or end, request or fulfil a rental, or record a ready
    // machine; then the keys of a shard lease, a member and the leader.
    for (index, commit) in [
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
        let mut cluster = small_cluster(60 + index as u64, 50.0).await;
        cluster.platform.delay_next_commit(commit, Duration::ZERO);
        if matches!(commit, "w/m/" | "w/leader" | "w/g/") {
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run_for(2).await;
            cluster.start(leader);
        }
        let service = cluster.submit(102, "standing", 3, 1.0, 0.0).await;
        let array = cluster.submit(100, "sweep", 4, 1.0, 12.0).await;
        let gang = cluster.submit(101, "gang", 2, 4.0, 12.0).await;
        cluster.run_for(15).await;
        cluster.cancel(&service).await;
        let body = job(&array, "sweep", 4, 1.0, 12.0);
        send_requests_to_all_controllers(&cluster.platform, &array, &body).await;
        cluster
            .wait_until_done(&[array.clone(), gang.clone()], 90)
            .await;
        assert!(
            cluster.platform.all_commit_delays_used(),
            "no such commit: {commit}"
        );
        cluster.declare_faults_ended();
        cluster.run_for(70).await;
        assert_eq!(
            cluster.job_status(&service).await.phase,
            StatusPhase::Cancelled
        );
        for (id, tasks) in [(&array, 4), (&gang, 2)] {
            assert_eq!(
                cluster.platform.checker().starts_by_job[id],
                tasks,
                "{commit}"
            );
        }
        // Without jobs, all rented machines are returned.
        cluster.run_for(200).await;
        assert!(
            cluster.platform.workers().iter().all(|w| w.deleted),
            "{commit}: a machine was not returned"
        );
        cluster.assert_invariants();
    }
}

/// A cancellation, a query or a repeated submission arrives when a job's last task ends, without
/// any fault.
#[tokio::test(start_paused = true)]
async fn requests_at_the_end_of_a_jobs_last_task_are_consistent() {
    let mut cluster = small_cluster(181, 50.0).await;
    let (completion_sender, mut completions) = tokio::sync::mpsc::unbounded_channel();
    cluster.platform.checker().completions = Some(completion_sender);
    for number in 0..30 {
        let shape = ["sweep", "gang", "sweep"][number as usize % 3];
        cluster
            .submit(
                100 + number,
                shape,
                1 + number % 2,
                1.0,
                4.0 + f64::from(number % 5),
            )
            .await;
    }
    for number in 0..30u64 {
        let id = completions.recv().await.unwrap();
        let spec = serde_json::to_string(&cluster.jobs[&id]).unwrap();
        let platform = cluster.platform.clone();
        // Requests are sent 0 to 300 ms after the completion: some immediately, others while the
        // outcome is being committed.
        tokio::spawn(async move {
            sleep_ms(number % 6 * 60).await;
            let kind = [Request::Cancel, Request::Query, Request::Submit][number as usize % 3];
            request(&platform, number as usize % 3, kind, &id, &spec).await;
            send_requests_to_all_controllers(&platform, &id, &spec).await;
        });
    }
    cluster.run_for(10).await;
    assert_eq!(cluster.platform.checker().running_tasks(), 0);
    cluster.assert_invariants();
}
