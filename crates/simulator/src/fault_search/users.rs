//! Simulated users: each submits one job, queries it and may cancel it.

use super::{CONTROLLERS, SUBMISSIONS_END_S};
use crate::cluster::{JobResponse, job, query_all_controllers, request};
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

/// How long a user tries to submit a job.
const SUBMIT_PATIENCE: Duration = Duration::from_secs(60);
/// Pause between queries about an open job.
const QUERY_INTERVAL: Duration = Duration::from_secs(5);
/// Pause between queries about a job in its final phase.
const FINAL_QUERY_INTERVAL: Duration = Duration::from_secs(20);

/// What a user does with one job.
pub(super) struct UserPlan {
    /// When the job is submitted, in seconds from the first.
    pub(super) submit_at_s: f64,
    job: String,
    shape: &'static str,
    tasks: u32,
    gpus: f64,
    run_time_s: f64,
    cancel_after_s: Option<f64>,
    /// Whether the user queries all controllers within milliseconds after each change.
    queries_all_controllers: bool,
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
            queries_all_controllers: random.random_range(0..3) == 0,
        }
    }

    /// Makes the job known to the checker. Tasks of an array end far apart.
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

/// Draws the users' plans.
pub(super) fn draw_plans(random: &mut SmallRng) -> Vec<UserPlan> {
    let mut plans = Vec::new();
    let mut submit_at_s = 0.0;
    while submit_at_s < SUBMISSIONS_END_S {
        plans.push(UserPlan::draw(random, plans.len(), submit_at_s));
        submit_at_s += random.random_range(3.0..9.0);
    }
    plans
}

/// The last phase reported to each job's user; `None` if the job is only accepted yet.
type PhasesByJob = BTreeMap<String, Option<StatusPhase>>;

/// The phases reported to all users so far.
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

/// The load balancer: sends requests to the healthy controllers, round robin.
struct LoadBalancer {
    platform: Arc<SimulatedPlatform>,
    /// Counts the health checks; selects the controller.
    next: usize,
}

impl LoadBalancer {
    /// The next controller whose health check succeeds.
    async fn next_healthy(&mut self) -> Option<usize> {
        for _ in 0..CONTROLLERS {
            self.next += 1;
            let controller = self.next % CONTROLLERS;
            let health = self
                .platform
                .user_request(controller, "GET", "/healthz", Vec::new());
            let health = timeout(Duration::from_secs(1), health).await;
            if matches!(health, Ok(Some(response)) if response.status == 200) {
                return Some(controller);
            }
        }
        None
    }

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

/// A user with one job.
pub(super) struct User {
    pub(super) platform: Arc<SimulatedPlatform>,
    pub(super) plan: UserPlan,
    /// The user's number, by which its first controller is chosen.
    pub(super) number: usize,
    pub(super) reported_phases: ReportedPhases,
    /// Changes when every second user is to cancel.
    pub(super) cancel_signal: Arc<Observable<usize>>,
}

impl User {
    /// Submits the job, queries it until the end of the run, and cancels it if that is
    /// planned or signalled.
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
            next: self.number,
        };
        if !self.submit(&mut balancer, &body).await {
            return;
        }
        self.reported_phases.set(&plan.job, None);
        if plan.queries_all_controllers {
            query_all_controllers(&self.platform, &plan.job, &body).await;
        }
        self.follow(&mut balancer, &body).await;
    }

    /// Submits the job until it is accepted; false if that takes too long.
    async fn submit(&self, balancer: &mut LoadBalancer, body: &str) -> bool {
        let began = Instant::now();
        loop {
            let response = balancer.request(Request::Submit, &self.plan.job, body);
            if response.await.is_some_and(|response| response.is_success()) {
                return true;
            }
            if began.elapsed() > SUBMIT_PATIENCE {
                return false;
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Queries the job until the end of the run, and cancels it once that is due.
    async fn follow(&self, balancer: &mut LoadBalancer, body: &str) {
        let job = &self.plan.job;
        let mut follower = JobFollower::new(self);
        loop {
            let kind = follower.next_request();
            let response = balancer.request(kind, job, "").await;
            let phase = response.as_ref().and_then(JobResponse::phase);
            follower.record_response(kind, phase);
            let is_final = matches!(phase, Some(StatusPhase::Done | StatusPhase::Cancelled));
            if is_final {
                follower.query_final_phase(body).await;
            }
            follower.wait(is_final).await;
        }
    }
}

/// What a user whose job is accepted does next.
struct JobFollower<'a> {
    user: &'a User,
    accepted: Instant,
    /// Seconds after the acceptance at which the job is to be cancelled.
    cancel_after_s: Option<f64>,
    /// Whether all controllers have been queried for the final phase.
    final_phase_queried: bool,
    /// The latest cancel signal that was seen.
    seen_signal: usize,
}

impl JobFollower<'_> {
    fn new(user: &User) -> JobFollower<'_> {
        JobFollower {
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

    /// Records the phase in a response; `None` if there was none.
    fn record_response(&mut self, request: Request, phase: Option<StatusPhase>) {
        if phase.is_some() {
            self.user.reported_phases.set(&self.user.plan.job, phase);
            if request == Request::Cancel {
                self.cancel_after_s = None;
            }
        }
    }

    /// Queries all controllers for the final phase, once and if that is planned.
    async fn query_final_phase(&mut self, body: &str) {
        let plan = &self.user.plan;
        if plan.queries_all_controllers && !self.final_phase_queried {
            self.final_phase_queried = true;
            query_all_controllers(&self.user.platform, &plan.job, body).await;
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
                let follows_signal = self.user.number.is_multiple_of(2);
                if follows_signal && !is_final {
                    self.cancel_after_s = Some(0.0);
                }
            }
            () = sleep(interval) => {}
        }
    }
}

/// Cancels every second job at the moment of its completion, while that is enabled.
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
