//! Requests of users to the controllers. The invariant checker verifies the responses to requests
//! about jobs.

use super::SimulatedCluster;
use super::jobs::{JobProperties, job_with};
use rushwalk_protocol::jobs::{JobSpec, JobStatus, StatusPhase};
use rushwalk_testkit::platform::HttpResponse;
use rushwalk_testkit::{Request, SimulatedPlatform};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Number of attempts after which a user gives up.
const MAX_ATTEMPTS: usize = 90;
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a user waits for the response to a submission or a cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user waits for the response to a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A controller's response to a request about a job.
#[derive(Debug, Clone)]
pub struct JobResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The job's status; `None` if the request failed.
    pub job: Option<JobStatus>,
}

impl JobResponse {
    /// Whether the request succeeded: status 200 or 201.
    pub fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }

    /// Whether the request is to be retried: the controller is overloaded or unavailable.
    fn is_retryable(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    /// The job's phase; `None` if the request failed.
    pub fn phase(&self) -> Option<StatusPhase> {
        self.job.as_ref().map(|job| job.phase)
    }
}

/// Sends a user's request to one controller. Returns `None` if no response arrives in time.
pub async fn request(
    platform: &SimulatedPlatform,
    controller: usize,
    request: Request,
    job: &str,
    body: &str,
) -> Option<JobResponse> {
    let (method, path, time_limit) = match request {
        Request::Submit => ("POST", "/api/jobs".to_string(), CHANGE_TIMEOUT),
        Request::Query => ("GET", format!("/api/jobs/{job}"), QUERY_TIMEOUT),
        Request::Cancel => ("POST", format!("/api/jobs/{job}/abort"), CHANGE_TIMEOUT),
    };
    let sent = platform.checker().request_sent(request, job);
    let call = platform.user_request(controller, method, &path, body.as_bytes().to_vec());
    let response = timeout(time_limit, call).await.ok().flatten();
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

/// Sends four requests about a job to each controller within milliseconds: three queries, and a
/// repeated submission. The checker verifies that no response reports an older phase than a
/// response that had arrived before its request was sent.
pub async fn send_requests_to_all_controllers(
    platform: &Arc<SimulatedPlatform>,
    job: &str,
    body: &str,
) {
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
    /// Sends a request to the controllers in turn until one responds with a status other than 429
    /// and 503. Returns `None` after `MAX_ATTEMPTS`. The invariant checker doesn't verify the
    /// response.
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

    /// Submits a job repeatedly until it is accepted. Returns its id, which is derived from
    /// `number`. Panics if the job is rejected.
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

    /// Submits a job repeatedly until it is accepted, with `fields` overriding the defaults.
    /// Returns its id, which is derived from `number`. Panics if the job is rejected.
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
        let properties = JobProperties {
            shape,
            tasks,
            gpus,
            seconds,
        };
        let body = job_with(&id, properties, fields);
        self.register_job(&id, &body);
        let response = self.request_until_final(Request::Submit, &id, &body).await;
        assert!(response.is_success(), "{id}: {}", response.status);
        id
    }

    /// Registers a job with the checker; required before it is submitted.
    pub fn register_job(&mut self, id: &str, body: &str) {
        let spec = JobSpec::parse(body.as_bytes()).unwrap();
        let mut checker = self.platform.checker();
        checker.jobs.insert(id.into(), spec.clone());
        self.jobs.insert(id.into(), spec);
    }

    /// Sends a request to the controllers in turn until one responds with a status other than 429
    /// and 503. Panics after `MAX_ATTEMPTS`.
    async fn request_until_final(&self, kind: Request, job: &str, body: &str) -> JobResponse {
        for attempt in 0..MAX_ATTEMPTS {
            let controller = attempt % self.processes.len();
            let response = request(&self.platform, controller, kind, job, body).await;
            if let Some(response) = response.filter(|response| !response.is_retryable()) {
                return response;
            }
            sleep(RETRY_DELAY).await;
        }
        panic!("{kind:?} {job}: no final response after {MAX_ATTEMPTS} attempts");
    }

    /// The status of an accepted job. Panics if the query fails.
    pub async fn job_status(&self, job: &str) -> JobStatus {
        let response = self.request_until_final(Request::Query, job, "").await;
        let status = response.status;
        assert_eq!(status, 200, "query of accepted job {job} failed");
        response.job.unwrap()
    }

    /// Cancels a job. Panics if the cancellation is not confirmed.
    pub async fn cancel(&self, job: &str) {
        let response = self.request_until_final(Request::Cancel, job, "").await;
        assert_eq!(response.status, 200);
    }

    /// Queries jobs every second until all are done. Panics after `seconds` queries of all jobs.
    pub async fn wait_until_done(&self, jobs: &[String], seconds: u64) {
        for _ in 0..seconds {
            let mut not_done = 0;
            for job in jobs {
                not_done += usize::from(self.job_status(job).await.phase != StatusPhase::Done);
            }
            if not_done == 0 {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
        let mut statuses = Vec::new();
        for job in jobs {
            statuses.push(self.job_status(job).await);
        }
        panic!("jobs not done after {seconds} s: {statuses:?}");
    }
}
