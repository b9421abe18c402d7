//! HTTP statuses of the API for users and workers.

use rushwalk_simulator::SimulatedCluster;

#[tokio::test(start_paused = true)]
async fn http_statuses_follow_the_protocol() {
    let mut cluster = SimulatedCluster::new(7);
    let known = cluster.submit(1, "sweep", 1, 1.0, 5.0).await;
    let status = async |method: &str, path: &str, body: &[u8]| {
        cluster
            .user_request(method, path, body)
            .await
            .unwrap()
            .status
    };
    assert_eq!(status("POST", "/api/jobs", b"{").await, 400);
    assert_eq!(status("POST", "/api/jobs", b"[1]").await, 400);
    assert_eq!(status("POST", "/api/jobs", &[b' '; 70_000]).await, 413);
    // A submission with the id of a known job is not validated.
    let changed = format!(r#"{{"uid":"{known}","pieces":-4}}"#);
    assert_eq!(status("POST", "/api/jobs", changed.as_bytes()).await, 200);
    let mut spec = cluster.jobs[&known].clone();
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
