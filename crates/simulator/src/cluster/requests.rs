//! Users' requests to the controllers, each checked by the invariant checker.

use super::SimulatedCluster;
use super::jobs::{JobShape, job_with};
use rushwalk_protocol::jobs::{JobSpec, JobStatus, StatusPhase};
use rushwalk_testkit::platform::HttpResponse;
use rushwalk_testkit::{Request, SimulatedPlatform};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How often a user tries before giving up.
const MAX_ATTEMPTS: usize = 90;
/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a user waits for the response to a submission or a cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user waits for the response to a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A controller's response to a request about a job.
#[derive(Debug, Clone)]
pub struct JobResponse {
    /// The HTTP status.
    pub status: u16,
    /// The job's status, if the request succeeded.
    pub job: Option<JobStatus>,
}

impl JobResponse {
    /// Whether the request succeeded.
    pub fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }

    /// Whether the request is to be retried.
    fn is_retryable(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    /// The job's phase, if the request succeeded.
    pub fn phase(&self) -> Option<StatusPhase> {
        self.job.as_ref().map(|job| job.phase)
    }
}

/// Sends a user's request to one controller; `None` if there is no response.
pub async fn request(
    platform: &SimulatedPlatform,
    controller: usize,
    request: Request,
    job: &str,
    body: &str,
) -> Option<JobResponse> {
    let (method, path, patience) = match request {
        Request::Submit => ("POST", "/api/jobs".to_string(), CHANGE_TIMEOUT),
        Request::Query => ("GET", format!("/api/jobs/{job}"), QUERY_TIMEOUT),
        Request::Cancel => ("POST", format!("/api/jobs/{job}/abort"), CHANGE_TIMEOUT),
    };
    let sent = platform.checker().request_sent(request, job);
    let call = platform.user_request(controller, method, &path, body.as_bytes().to_vec());
    let response = timeout(patience, call).await.ok().flatten();
    let response = response.map(|response| JobResponse {
        status: response.status,
        job: (response.status < 300)
            .then(|| serde_json::from_slice(&response.body).ok())
            .flatten(),
    });
    let status = response.as_ref().map(|response| response.status);
    let phase = response.as_ref().and_then(JobResponse::phase);
    platform
        .checker()
        .response_received(request, job, sent, status, phase);
    response
}

/// Queries a job at all controllers, and submits it again, four times each within
/// milliseconds: no response may be older than one that arrived before it was requested.
pub async fn query_all_controllers(platform: &Arc<SimulatedPlatform>, job: &str, body: &str) {
    let mut requests = JoinSet::new();
    for repetition in 0..4 {
        for controller in 0..platform.controller_count() {
            let kind = if (repetition + controller) % 4 == 0 {
                Request::Submit
            } else {
                Request::Query
            };
            let (platform, job, body) = (platform.clone(), job.to_string(), body.to_string());
            requests.spawn(async move { request(&platform, controller, kind, &job, &body).await });
        }
        sleep(Duration::from_millis(3)).await;
    }
    requests.join_all().await;
}

impl SimulatedCluster {
    /// Sends an unchecked request to one controller after the other until one responds.
    pub async fn user_request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<HttpResponse> {
        for attempt in 0..MAX_ATTEMPTS {
            let controller = attempt % self.processes.len();
            let call = self
                .platform
                .user_request(controller, method, path, body.to_vec());
            if let Ok(Some(response)) = timeout(CHANGE_TIMEOUT, call).await
                && !matches!(response.status, 429 | 503)
            {
                return Some(response);
            }
            sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Submits a job, and returns its id, which is made of `number`.
    pub async fn submit(
        &mut self,
        number: u32,
        shape: &str,
        tasks: u32,
        gpus: f64,
        seconds: f64,
    ) -> String {
        self.submit_with(number, shape, tasks, gpus, seconds, json!({}))
            .await
    }

    /// Submits a job with other fields than the default ones, and returns its id.
    pub async fn submit_with(
        &mut self,
        number: u32,
        shape: &str,
        tasks: u32,
        gpus: f64,
        seconds: f64,
        fields: Value,
    ) -> String {
        let id = format!("j-{number:06}");
        let shape = JobShape {
            shape,
            tasks,
            gpus,
            seconds,
        };
        let body = job_with(&id, shape, fields);
        self.register_job(&id, &body);
        let response = self
            .request_until_answered(Request::Submit, &id, &body)
            .await;
        assert!(response.is_success(), "{id}: {}", response.status);
        id
    }

    /// Makes a job known to the checker before it is submitted.
    pub fn register_job(&mut self, id: &str, body: &str) {
        let spec = JobSpec::parse(body.as_bytes()).unwrap();
        let mut checker = self.platform.checker();
        checker.jobs.insert(id.into(), spec.clone());
        self.jobs.insert(id.into(), spec);
    }

    /// Sends a request to one controller after the other until one gives a final response.
    async fn request_until_answered(&self, kind: Request, job: &str, body: &str) -> JobResponse {
        for attempt in 0..MAX_ATTEMPTS {
            let controller = attempt % self.processes.len();
            let response = request(&self.platform, controller, kind, job, body).await;
            if let Some(response) = response.filter(|response| !response.is_retryable()) {
                return response;
            }
            sleep(RETRY_DELAY).await;
        }
        panic!("{kind:?} {job}: no answer");
    }

    /// The status of an accepted job.
    pub async fn job_status(&self, job: &str) -> JobStatus {
        let response = self.request_until_answered(Request::Query, job, "").await;
        let status = response.status;
        assert_eq!(status, 200, "an accepted job was forgotten: {job}");
        response.job.unwrap()
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) {
        let response = self.request_until_answered(Request::Cancel, job, "").await;
        assert_eq!(response.status, 200);
    }

    /// Queries jobs each second until all are done; panics after so many seconds.
    pub async fn wait_until_done(&self, jobs: &[String], seconds: u64) {
        for _ in 0..seconds {
            let mut open = 0;
            for job in jobs {
                open += usize::from(self.job_status(job).await.phase != StatusPhase::Done);
            }
            if open == 0 {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
        let mut statuses = Vec::new();
        for job in jobs {
            statuses.push(self.job_status(job).await);
        }
        panic!("not done after {seconds} s: {statuses:?}");
    }
}
