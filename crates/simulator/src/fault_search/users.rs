//! Simulated users. Each submits one job, queries its status and may cancel it.

use super::{CONTROLLERS, SUBMISSIONS_END_S};
use crate::cluster::{JobResponse, job, request, send_requests_to_all_controllers};
use rand::RngExt;
use rand::rngs::SmallRng;
use rushwalk::observable::Observable;
use rushwalk_protocol::jobs::{JobSpec, StatusPhase};
use rushwalk_testkit::{Request, SimulatedPlatform};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, timeout};

/// Time after which a user whose job is not accepted gives up.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between queries for a job that is neither done nor cancelled.
const QUERY_INTERVAL: Duration = Duration::from_secs(5);
/// Pause between queries for a job that is done or cancelled.
const FINAL_QUERY_INTERVAL: Duration = Duration::from_secs(20);

/// A user's job, and what the user does with it.
pub(super) struct UserPlan {
    /// When the job is submitted, in seconds from the first user's submission.
    pub(super) submit_at_s: f64,
    job: String,
    /// The protocol's name of the shape.
    shape: &'static str,
    tasks: u32,
    /// GPUs of each task.
    gpus: f64,
    /// Estimated run time of each task; the tasks of services run until they are stopped.
    run_time_s: f64,
    /// Seconds from the job's acceptance to its cancellation; `None` if none is planned.
    cancel_after_s: Option<f64>,
    /// Whether the user sends several requests to all controllers within milliseconds, once after
    /// the job's acceptance and once in its final phase.
    sends_requests_to_all_controllers: bool,
}

impl UserPlan {
    fn draw(random: &mut SmallRng, index: usize, submit_at_s: f64) -> UserPlan {
        let shape = ["sweep", "gang", "standing", "sweep"][index % 4];
        let tasks = random.random_range(1..=3);
        let cancels = shape == "standing" || random.random_range(0..3) == 0;
        UserPlan {
            submit_at_s,
            job: format!("j-{:06}", index + 1),
            shape,
            tasks,
            gpus: if shape == "gang" { 4.0 } else { 1.0 },
            run_time_s: [8.0, 20.0, 50.0][random.random_range(0..3)],
            cancel_after_s: cancels.then(|| random.random_range(0.0..120.0)),
            sends_requests_to_all_controllers: random.random_range(0..3) == 0,
        }
    }

    /// Registers the job with the invariant checker. An array's tasks run for different
    /// multiples of the estimated run time, so that they end far apart.
    fn register(&self, platform: &SimulatedPlatform, spec: JobSpec) {
        let mut checker = platform.checker();
        checker.jobs.insert(self.job.clone(), spec);
        for index in 1..self.tasks {
            let run_time_s = if self.shape == "sweep" {
                self.run_time_s * f64::from(index + 1)
            } else {
                self.run_time_s
            };
            checker.set_run_time(&self.job, index, run_time_s);
        }
    }
}

/// Draws the plans of all users, ordered by the time of submission.
pub(super) fn draw_plans(random: &mut SmallRng) -> Vec<UserPlan> {
    let mut plans = Vec::new();
    let mut submit_at_s = 0.0;
    while submit_at_s < SUBMISSIONS_END_S {
        plans.push(UserPlan::draw(random, plans.len(), submit_at_s));
        submit_at_s += random.random_range(3.0..9.0);
    }
    plans
}

/// The phase last reported for each accepted job, by job id; `None` if no phase has been
/// reported yet.
type PhasesByJob = BTreeMap<String, Option<StatusPhase>>;

/// The latest reported phase of each accepted job, shared by all users of a run.
#[derive(Clone, Default)]
pub(super) struct ReportedPhases(Arc<Mutex<PhasesByJob>>);

impl ReportedPhases {
    fn set(&self, job: &str, phase: Option<StatusPhase>) {
        self.lock().insert(job.to_string(), phase);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, PhasesByJob> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A load balancer that sends requests to the healthy controllers in turn.
struct LoadBalancer {
    platform: Arc<SimulatedPlatform>,
    /// Incremented by each health check. Modulo `CONTROLLERS`, it is the index of the controller
    /// that was checked last.
    last_checked: usize,
}

impl LoadBalancer {
    /// The next controller whose health check succeeds; `None` if all of them fail.
    async fn next_healthy(&mut self) -> Option<usize> {
        for _ in 0..CONTROLLERS {
            self.last_checked += 1;
            let controller = self.last_checked % CONTROLLERS;
            let health_check =
                self.platform
                    .user_request(controller, "GET", "/healthz", Vec::new());
            let health = timeout(Duration::from_secs(1), health_check).await;
            if matches!(health, Ok(Some(response)) if response.status == 200) {
                return Some(controller);
            }
        }
        None
    }

    /// Sends a request to the next healthy controller. If no controller is healthy, records in the
    /// checker a request without a response.
    async fn request(&mut self, kind: Request, job: &str, body: &str) -> Option<JobResponse> {
        match self.next_healthy().await {
            Some(controller) => request(&self.platform, controller, kind, job, body).await,
            None => {
                let mut checker = self.platform.checker();
                let sent = checker.request_sent(kind, job);
                checker.response_received(kind, job, sent, None, None);
                None
            }
        }
    }
}

/// A simulated user with one job.
pub(super) struct User {
    pub(super) platform: Arc<SimulatedPlatform>,
    pub(super) plan: UserPlan,
    /// The user's number, in order of submission. It selects the controller that gets the first
    /// request; users with an even number react to the cancel signal.
    pub(super) number: usize,
    pub(super) reported_phases: ReportedPhases,
    /// A counter, incremented when the users with an even number are to cancel their jobs.
    pub(super) cancel_signal: Arc<Observable<usize>>,
}

impl User {
    /// Submits the job, then queries it until this future is dropped at the end of the run.
    /// Cancels the job if that is planned or signalled.
    pub(super) async fn run(self) {
        let plan = &self.plan;
        let body = job(
            &plan.job,
            plan.shape,
            plan.tasks,
            plan.gpus,
            plan.run_time_s,
        );
        let Ok(spec) = JobSpec::parse(body.as_bytes()) else {
            return;
        };
        plan.register(&self.platform, spec);
        let mut balancer = LoadBalancer {
            platform: self.platform.clone(),
            last_checked: self.number,
        };
        if !self.submit(&mut balancer, &body).await {
            return;
        }
        self.reported_phases.set(&plan.job, None);
        if plan.sends_requests_to_all_controllers {
            send_requests_to_all_controllers(&self.platform, &plan.job, &body).await;
        }
        self.poll_job(&mut balancer, &body).await;
    }

    /// Submits the job repeatedly until it is accepted. Returns false if it is not accepted
    /// within `SUBMIT_TIMEOUT`.
    async fn submit(&self, balancer: &mut LoadBalancer, body: &str) -> bool {
        let submit_started = Instant::now();
        loop {
            let response = balancer.request(Request::Submit, &self.plan.job, body);
            if response.await.is_some_and(|response| response.is_success()) {
                return true;
            }
            if submit_started.elapsed() > SUBMIT_TIMEOUT {
                return false;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Queries the job in a loop without end, and cancels it once that is due.
    async fn poll_job(&self, balancer: &mut LoadBalancer, body: &str) {
        let job = &self.plan.job;
        let mut polling = JobPolling::new(self);
        loop {
            let kind = polling.next_request();
            let response = balancer.request(kind, job, "").await;
            let phase = response.as_ref().and_then(JobResponse::phase);
            polling.record_response(kind, phase);
            let is_final = matches!(phase, Some(StatusPhase::Done | StatusPhase::Cancelled));
            if is_final {
                polling.query_final_phase(body).await;
            }
            polling.wait(is_final).await;
        }
    }
}

/// The state of a user's requests about an accepted job.
struct JobPolling<'a> {
    user: &'a User,
    accepted: Instant,
    /// Seconds from the acceptance until the job is to be cancelled; `None` if no cancellation
    /// is planned, or once a cancellation request has got a response with the job's phase.
    cancel_after_s: Option<f64>,
    /// Whether the requests in the final phase have been sent to all controllers.
    final_phase_queried: bool,
    /// The latest value of the cancel signal that this user has seen.
    seen_signal: usize,
}

impl JobPolling<'_> {
    fn new(user: &User) -> JobPolling<'_> {
        JobPolling {
            user,
            accepted: Instant::now(),
            cancel_after_s: user.plan.cancel_after_s,
            final_phase_queried: false,
            seen_signal: user.cancel_signal.get(),
        }
    }

    fn next_request(&self) -> Request {
        let elapsed_s = self.accepted.elapsed().as_secs_f64();
        if self.cancel_after_s.is_some_and(|s| elapsed_s > s) {
            Request::Cancel
        } else {
            Request::Query
        }
    }

    /// Records the phase that a response reports. `phase` is `None` if the request failed or got no
    /// response; nothing is recorded then.
    fn record_response(&mut self, request: Request, phase: Option<StatusPhase>) {
        if phase.is_some() {
            self.user.reported_phases.set(&self.user.plan.job, phase);
            if request == Request::Cancel {
                self.cancel_after_s = None;
            }
        }
    }

    /// Sends requests to all controllers in the final phase if that is planned; only the first call
    /// has an effect.
    async fn query_final_phase(&mut self, body: &str) {
        let plan = &self.user.plan;
        if plan.sends_requests_to_all_controllers && !self.final_phase_queried {
            self.final_phase_queried = true;
            send_requests_to_all_controllers(&self.user.platform, &plan.job, body).await;
        }
    }

    /// Waits until the next query is due, or until the cancel signal changes.
    async fn wait(&mut self, is_final: bool) {
        let interval = if is_final {
            FINAL_QUERY_INTERVAL
        } else {
            QUERY_INTERVAL
        };
        let seen = self.seen_signal;
        tokio::select! {
            biased;
            signal = self.user.cancel_signal.wait_for(|signal| signal != seen) => {
                self.seen_signal = signal;
                let reacts_to_signal = self.user.number.is_multiple_of(2);
                if reacts_to_signal && !is_final {
                    self.cancel_after_s = Some(0.0);
                }
            }
            () = sleep(interval) => {}
        }
    }
}

/// Receives the ids of jobs as they complete. While `enabled`, cancels every second job at the
/// moment of its completion.
pub(super) async fn cancel_on_completion(
    platform: Arc<SimulatedPlatform>,
    mut completions: UnboundedReceiver<String>,
    enabled: Arc<Observable<bool>>,
) {
    let mut count = 0;
    while let Some(job) = completions.recv().await {
        count += 1;
        if enabled.get() && count % 2 == 0 {
            let platform = platform.clone();
            tokio::spawn(async move {
                request(&platform, count % CONTROLLERS, Request::Cancel, &job, "").await;
            });
        }
    }
}
