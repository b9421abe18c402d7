//! Users' requests: submissions, status queries and cancellations of jobs.
//!
//! A request is carried out by this controller. If only this controller can't reach the store, a
//! peer carries the request out instead. If the store is slow, both do, and the first response is
//! used; carrying the request out a second time changes nothing.

use super::forwarding::PeerForwarder;
use super::responses::{error, error_with_retry_after, json};
use super::submission_size::check_size;
use crate::clock::now_ms;
use crate::context::Context;
use crate::observability::rejections::RejectionCounter;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::store::{Committer, LogWriter, Replica, UserWrites};
use poem::Response;
use poem::http::StatusCode;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::jobs::{JobSpec, JobStatus, StatusPhase, is_job_id};
use rushwalk_protocol::peers::ForwardedRequest;
use rushwalk_scheduler::quota::check_satisfiable;
use rushwalk_state::Mutation;
use rushwalk_state::mutation::SubmitJob;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum duration of a linearizable read: users give up on a status query after 2 s.
const MAX_READ_WAIT: Duration = Duration::from_millis(1500);

/// Rounds without a read after which the store counts as unreachable for this controller: more
/// than the pause between two reads of an idle controller.
const STORE_UNREACHABLE_ROUNDS: u32 = 4;

/// The error message to users if the store does not respond.
const STORE_UNAVAILABLE: &str = "the state service does not answer";

/// Carries out users' requests.
#[derive(Clone)]
pub(super) struct UserRequests {
    /// Settings and timing of this process.
    pub context: Arc<Context>,
    /// The local replica of the cluster state, from which status queries are answered.
    pub replica: Arc<Replica>,
    /// Checks that a submission is small enough to be stored.
    pub log: Arc<LogWriter>,
    /// The queue through which users' writes are committed.
    pub writes: UserWrites,
    /// Computes when the write budget allows the next write, for `Retry-After`.
    pub committer: Arc<Committer>,
    /// Forwards requests that can't be carried out here.
    pub forwarder: PeerForwarder,
    /// Counts responses with status 429 or 503.
    pub rejections: Arc<RejectionCounter>,
    /// Measures the time that requests take on this thread.
    pub work_profile: Arc<WorkProfile>,
}

/// A permanent rejection of a submission.
struct Rejection {
    status: StatusCode,
    reason: String,
}

/// Why a submission is not accepted.
enum SubmissionError {
    /// The submission is invalid or can never run.
    Rejected(Rejection),
    /// The machine types were not read yet, so whether the job can ever run is not known.
    TypesUnknown,
}

/// Returns a function that turns an error into a rejection with `status`; the reason is the
/// error's text.
fn rejected_with<E: Display>(status: StatusCode) -> impl Fn(E) -> SubmissionError {
    move |error| {
        SubmissionError::Rejected(Rejection {
            status,
            reason: error.to_string(),
        })
    }
}

impl UserRequests {
    /// Handles a submission, here or through a peer.
    pub(super) async fn submit(&self, body: Vec<u8>) -> Response {
        let request = ForwardedRequest::Submit(body.clone());
        self.run_locally_or_forward(self.submit_locally(&body), &request)
            .await
    }

    /// Handles a cancellation, here or through a peer.
    pub(super) async fn cancel(&self, job: String) -> Response {
        let request = ForwardedRequest::Cancel(job.clone());
        self.run_locally_or_forward(self.cancel_locally(&job), &request)
            .await
    }

    /// Handles a status query: returns a final status from memory, any other after a linearizable
    /// read.
    pub(super) async fn status(&self, job: &str) -> Response {
        let final_status = {
            let state = self.replica.state();
            let is_finished = state.is_finished(job);
            is_finished.then(|| state.job_status(job)).flatten()
        };
        if let Some(status) = final_status {
            return json(StatusCode::OK, &status);
        }
        // If this controller can't reach the store, a peer's read is equally valid and completes
        // sooner. If the store is only slow, a peer's read may complete sooner, and the local read
        // continues for nearly as long as the user waits.
        let round = self.context.timing.round;
        let (hedge_delay, max_wait) = if self.is_store_unreachable() {
            (round / 10, round / 10)
        } else {
            (round * 2 / 3, MAX_READ_WAIT)
        };
        let mut read = std::pin::pin!(self.replica.linearizable_read(max_wait));
        let was_read = match timeout(hedge_delay, &mut read).await {
            Ok(was_read) => was_read,
            Err(_) => tokio::select! {
                biased;
                was_read = &mut read => was_read,
                reply = self.forwarder.job_status(job) => match reply {
                    Some(reply) => return self.status_response(reply.status),
                    None => read.await,
                },
            },
        };
        if was_read {
            let status = self.replica.state().job_status(job);
            return self.status_response(status);
        }
        if self.is_store_unreachable()
            && let Some(reply) = self.forwarder.job_status(job).await
        {
            return self.status_response(reply.status);
        }
        self.reject_unavailable(STORE_UNAVAILABLE)
    }

    fn status_response(&self, status: Option<JobStatus>) -> Response {
        let mut timer = self.work_profile.start(WorkKind::UserRequest);
        timer.add_items(1);
        match status {
            Some(status) => json(StatusCode::OK, &status),
            None => error(StatusCode::NOT_FOUND, "no such job"),
        }
    }

    /// Carries a request out locally. Forwards it to a peer if the store is unreachable, if the
    /// local response has status 503, or, as a hedged request, if there is no local response
    /// within a sixth of a round.
    async fn run_locally_or_forward(
        &self,
        local: impl Future<Output = Response>,
        request: &ForwardedRequest,
    ) -> Response {
        let mut local = std::pin::pin!(local);
        if self.is_store_unreachable() {
            return self.forward_or_reject(request).await;
        }
        match timeout(self.context.timing.round / 6, &mut local).await {
            Ok(response) if is_unavailable(&response) => {
                return self.forward_or_reject(request).await;
            }
            Ok(response) => return response,
            Err(_) => {}
        }
        let mut forwarded = std::pin::pin!(self.forward_or_reject(request));
        tokio::select! {
            biased;
            response = &mut local => {
                if is_unavailable(&response) { forwarded.await } else { response }
            }
            response = &mut forwarded => {
                if is_unavailable(&response) { local.await } else { response }
            }
        }
    }

    /// Whether this controller's last read of the store is older than [`STORE_UNREACHABLE_ROUNDS`].
    /// An idle controller reads more often than that.
    fn is_store_unreachable(&self) -> bool {
        self.replica.staleness() > self.context.timing.round * STORE_UNREACHABLE_ROUNDS
    }

    /// The response of a peer that carries the request out in place of this controller; status
    /// 503 if no peer could. A peer's response with status 429 is replaced by that of this
    /// controller, since `Retry-After` is not forwarded.
    async fn forward_or_reject(&self, request: &ForwardedRequest) -> Response {
        let Some(response) = self.forwarder.forward(request).await else {
            return self.reject_unavailable(STORE_UNAVAILABLE);
        };
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            return self.too_many_requests();
        }
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Response::builder()
            .status(status)
            .content_type("application/json")
            .body(response.body)
    }

    /// Handles a submission without forwarding it to a peer.
    pub(super) async fn submit_locally(&self, body: &[u8]) -> Response {
        let mut timer = self.work_profile.start(WorkKind::UserRequest);
        timer.add_items(1);
        // A submission of a known job is answered with the job's status, even if this body
        // differs from the first one or is invalid.
        let named_job = named_job(body);
        let known_job = named_job.as_deref().filter(|job| self.knows_job(job));
        if let Some(job) = known_job {
            drop(timer);
            return self.status(job).await;
        }
        let parsed = JobSpec::parse(body);
        drop(timer);
        let checked = parsed.map_err(rejected_with(StatusCode::BAD_REQUEST));
        match checked.and_then(|spec| self.check(spec)) {
            Ok(spec) => self.accept(spec).await,
            Err(SubmissionError::TypesUnknown) => {
                self.unavailable("the machine types are not known yet")
            }
            Err(SubmissionError::Rejected(rejection)) => {
                self.reject(named_job.as_deref(), rejection).await
            }
        }
    }

    /// Waits for a read of the store, which must precede the denial of a request: another
    /// controller may have accepted the job. If the store does not answer, returns the response
    /// to the user.
    async fn linearizable_read(&self) -> Result<(), Response> {
        if self.replica.linearizable_read(MAX_READ_WAIT).await {
            Ok(())
        } else {
            Err(self.unavailable(STORE_UNAVAILABLE))
        }
    }

    fn knows_job(&self, job: &str) -> bool {
        self.replica.state().knows_job(job)
    }

    /// Returns `spec` if the cluster can ever run the job, and the store can hold its record.
    ///
    /// # Errors
    ///
    /// A rejection with status 422 if not, and [`SubmissionError::TypesUnknown`] if the machine
    /// types were not read yet.
    fn check(&self, spec: JobSpec) -> Result<JobSpec, SubmissionError> {
        let Some(types) = self.replica.state().machine_types.clone() else {
            return Err(SubmissionError::TypesUnknown);
        };
        let site = &self.context.settings.site;
        check_satisfiable(&spec, &site.teams, &types.types, &site.zones)
            .map_err(rejected_with(StatusCode::UNPROCESSABLE_ENTITY))?;
        check_size(&spec, &self.log, &self.replica)
            .map_err(rejected_with(StatusCode::UNPROCESSABLE_ENTITY))?;
        Ok(spec)
    }

    /// Rejects a submission, unless the job is known because another controller has accepted it
    /// with another body: then its status is returned.
    async fn reject(&self, job: Option<&str>, rejection: Rejection) -> Response {
        if let Some(job) = job {
            if let Err(response) = self.linearizable_read().await {
                return response;
            }
            let status = self.replica.state().job_status(job);
            if let Some(status) = status {
                return json(StatusCode::OK, &status);
            }
        }
        let Rejection { status, reason } = rejection;
        tracing::info!(job, %status, reason, "submission rejected");
        error(status, reason)
    }

    async fn accept(&self, spec: JobSpec) -> Response {
        let job = spec.id.clone();
        let (class, tasks) = (spec.class.clone(), spec.tasks);
        let submit = Mutation::Submit(SubmitJob {
            spec: Arc::new(spec),
            accepted_ms: now_ms(),
        });
        if let Err(response) = self.write(submit).await {
            return response;
        }
        // If the job was known already, this submission has no effect, and the response is the
        // status of the job as first submitted.
        tracing::info!(job, class, tasks, "job accepted");
        let status = self.replica.state().job_status(&job);
        match status {
            Some(status) if status.phase == StatusPhase::Queued => {
                json(StatusCode::CREATED, &status)
            }
            Some(status) => json(StatusCode::OK, &status),
            None => self.unavailable("try again"),
        }
    }

    /// Handles a cancellation without forwarding it to a peer.
    pub(super) async fn cancel_locally(&self, job: &str) -> Response {
        if !self.knows_job(job) {
            if let Err(response) = self.linearizable_read().await {
                return response;
            }
            if !self.knows_job(job) {
                return error(StatusCode::NOT_FOUND, "no such job");
            }
        }
        let is_finished = self.replica.state().is_finished(job);
        if is_finished {
            return self.status(job).await;
        }
        if let Err(response) = self.write(Mutation::Cancel(job.into())).await {
            return response;
        }
        // The job is now cancelled, or had finished just before: the order of the log entries
        // decides which.
        tracing::info!(job, "job cancelled");
        self.status(job).await
    }

    /// Commits a user's write. If that fails, returns the response to the user.
    async fn write(&self, mutation: Mutation) -> Result<(), Response> {
        match self.writes.write(mutation).await {
            Ok(CommitOutcome::Committed(_)) => Ok(()),
            Ok(CommitOutcome::Rejected(error))
                if error.status() == Some(StatusCode::TOO_MANY_REQUESTS.as_u16()) =>
            {
                Err(self.too_many_requests())
            }
            Err(_) => Err(self.too_many_requests()),
            Ok(_) => Err(self.unavailable(STORE_UNAVAILABLE)),
        }
    }

    /// The response if the write budget or the queue of writes is exhausted. `Retry-After` says
    /// when the budget allows the next write.
    fn too_many_requests(&self) -> Response {
        self.rejections.record();
        let wait = self.committer.time_until_write();
        error_with_retry_after(StatusCode::TOO_MANY_REQUESTS, "too many requests", wait)
    }

    /// The response if the store can't be reached, or if the replica lacks a change that is needed.
    /// `Retry-After` is a quarter of a round, the pause after which a failed watch of the store is
    /// repeated.
    pub(super) fn unavailable(&self, reason: &str) -> Response {
        unavailable(&self.context, reason)
    }

    /// Returns [`Self::unavailable`] as the final response to a user, and counts it as a rejection.
    fn reject_unavailable(&self, reason: &str) -> Response {
        self.rejections.record();
        self.unavailable(reason)
    }
}

/// A response with status 503, whose `Retry-After` is a quarter of a round.
pub(super) fn unavailable(context: &Context, reason: &str) -> Response {
    let retry_after = context.timing.round / 4;
    error_with_retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

fn is_unavailable(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// The job id in the body of a submission; `None` if the body is not JSON or has no valid id.
/// Other fields may be missing or invalid.
fn named_job(body: &[u8]) -> Option<String> {
    let value = serde_json::from_slice::<serde_json::Value>(body).ok()?;
    let job = value.get("uid")?.as_str()?;
    is_job_id(job).then(|| job.to_string())
}
