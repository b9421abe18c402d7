//! Rejection of submissions that are malformed or can never run.

use rushwalk_protocol::jobs::StatusPhase;
use rushwalk_simulator::cluster::{JobProperties, job_with, request};
use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use rushwalk_testkit::Request;
use serde_json::{Value, json};

const INVALID_JOB: &str = "j-000500";

/// A submission that must be rejected.
struct InvalidSubmission {
    /// The HTTP status of the response.
    status: u16,
    /// A text that the response must contain.
    expected_text: &'static str,
    body: String,
}

/// The body that submits a gang, with some fields changed or added.
fn submission(fields: Value) -> String {
    let gang = JobProperties {
        shape: "gang",
        tasks: 4,
        gpus: 1.0,
        seconds: 5.0,
    };
    job_with(INVALID_JOB, gang, fields)
}

fn submissions_with_invalid_values() -> Vec<InvalidSubmission> {
    let long_names = (0..99).map(|index| format!("{index:0>199}"));
    let types: Vec<String> = long_names.chain(["box".to_string()]).collect();
    let cases = [
        (422, "team", json!({"crew": "nobody"})),
        (422, "zone", json!({"yard": "south"})),
        (422, "type", json!({"builds": ["barrel"]})),
        (422, "type", json!({"gpus": 5.0})),
        (422, "type", json!({"memoryGb": 65.0})),
        (422, "limit", json!({"pieces": 21})),
        // All tasks have to be in one zone, but at most half of them may be in the same zone.
        (422, "spread", json!({"spread": true, "together": true})),
        (422, "spread", json!({"spread": true, "yard": "east"})),
        (
            422,
            "lists",
            json!({"builds": types, "kit": "k".repeat(200)}),
        ),
        // The assignment of a gang is one value of the store.
        (
            422,
            "gang of 3000 tasks",
            json!({"pieces": 3000, "gpus": 0.0}),
        ),
        (400, "pieces", json!({"pieces": 0})),
        (400, "-3", json!({"pieces": -3})),
        (400, "2.5", json!({"pieces": 2.5})),
        (400, "four", json!({"pieces": "four"})),
        (400, "cpus", json!({"cpus": -1.0})),
        (400, "null", json!({"spread": null})),
        (400, "uid", json!({"uid": "job"})),
        (413, "64 KiB", json!({"kit": "k".repeat(70_000)})),
    ];
    let cases = cases.into_iter();
    cases
        .map(|(status, expected_text, fields)| InvalidSubmission {
            status,
            expected_text,
            body: submission(fields),
        })
        .collect()
}

fn submissions_without_a_field() -> Vec<InvalidSubmission> {
    let fields = [
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
    ];
    let without = |field: &'static str| {
        let mut body: Value = serde_json::from_str(&submission(json!({}))).unwrap();
        body.as_object_mut().unwrap().remove(field);
        InvalidSubmission {
            status: 400,
            expected_text: field,
            body: body.to_string(),
        }
    };
    fields.into_iter().map(without).collect()
}

/// Fails unless each controller rejects the submission with the expected status and text.
async fn assert_rejected(cluster: &SimulatedCluster, submission: &InvalidSubmission) {
    let InvalidSubmission {
        status,
        expected_text,
        body,
    } = submission;
    for controller in 0..3 {
        let body = body.as_bytes().to_vec();
        let response = cluster
            .platform
            .user_request(controller, "POST", "/api/jobs", body);
        let response = response.await.unwrap();
        let text = String::from_utf8(response.body).unwrap();
        assert_eq!(response.status, *status, "{text}");
        assert!(
            text.contains(expected_text) || expected_text.contains("type") && text.contains("type"),
            "{expected_text}: {text}"
        );
    }
}

/// An invalid submission is rejected with a response that names the field, and changes nothing.
/// With the id of a known job, the response is that job's status instead.
#[tokio::test(start_paused = true)]
async fn invalid_submissions_are_rejected_and_change_nothing() {
    let config = ClusterConfig {
        value_kb: 16.0,
        ..ClusterConfig::default()
    };
    let mut cluster = SimulatedCluster::with_config(config, 211);
    let known = cluster.submit(1, "sweep", 2, 1.0, 5.0).await;
    let service = cluster.submit(2, "standing", 2, 1.0, 0.0).await;
    cluster
        .wait_until_done(std::slice::from_ref(&known), 60)
        .await;
    let mut submissions = submissions_with_invalid_values();
    submissions.extend(submissions_without_a_field());
    let invalid_jobs = [INVALID_JOB.to_string()].into();
    cluster.platform.checker().invalid_jobs = invalid_jobs;
    cluster.run_for(30).await;
    let jobs_before = inspect::job_count(cluster.first_controller());
    for submission in &submissions {
        assert_rejected(&cluster, submission).await;
        // With the id of a known job, the same body gets the status of that job.
        for (id, phase) in [
            (&known, StatusPhase::Done),
            (&service, StatusPhase::Running),
        ] {
            let body = submission.body.replace(INVALID_JOB, id);
            if submission.status == 413 || body.contains(r#""uid":"job""#) {
                continue;
            }
            let response = request(&cluster.platform, 1, Request::Submit, id, &body).await;
            let response = response.unwrap();
            assert_eq!((response.status, response.phase()), (200, Some(phase)));
        }
    }
    let cancel = async |id: &str| {
        request(&cluster.platform, 0, Request::Cancel, id, "")
            .await
            .unwrap()
    };
    assert_eq!(cancel(&known).await.phase(), Some(StatusPhase::Done));
    assert_eq!(cancel(INVALID_JOB).await.status, 404);
    let jobs = inspect::job_count(cluster.first_controller());
    assert_eq!(jobs, jobs_before);
    // An array's tasks need not run at the same time, so half of them at a time may be in its
    // only zone.
    let fields = json!({"spread": true, "yard": "east"});
    let array = cluster.submit_with(600, "sweep", 4, 1.0, 5.0, fields).await;
    cluster.wait_until_done(&[array], 60).await;
    cluster.assert_invariants();
}
