//! What users ask for: submissions, questions and cancellations.
//!
//! A request is carried out here. If the store is out of reach of this controller alone, a
//! peer carries it out in its place; if the store is slow, both do, and the first response
//! counts: the second time changes nothing.

use super::forwarding::PeerForwarder;
use super::responses::{error, error_with_retry_after, json};
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

/// How long a linearizable read may take: users give up on a question after 2 s.
const MAX_READ_WAIT: Duration = Duration::from_millis(1500);

/// Rounds after which the store counts as unreachable for a controller that has not read it:
/// longer than the pause between two reads of an idle controller.
const STORE_UNREACHABLE_ROUNDS: u32 = 4;

/// Why users are asked to come back.
const STORE_UNAVAILABLE: &str = "the state service does not answer";

/// Carries out users' requests.
#[derive(Clone)]
pub(super) struct UserRequests {
    /// This process's context.
    pub context: Arc<Context>,
    /// Answers questions.
    pub replica: Arc<Replica>,
    /// Knows the size of a value.
    pub log: Arc<LogWriter>,
    /// Commits the writes.
    pub writes: UserWrites,
    /// Shows when the next write may be tried.
    pub committer: Arc<Committer>,
    /// Forwards what can't be carried out here.
    pub forwarder: PeerForwarder,
    /// Counts what is rejected.
    pub rejections: Arc<RejectionCounter>,
    /// Measures the work that is done.
    pub work_profile: Arc<WorkProfile>,
}

/// Why a submission is rejected permanently.
struct Rejection {
    status: StatusCode,
    reason: String,
}

/// Why a submission is not accepted.
enum SubmissionError {
    /// It never will be.
    Rejected(Rejection),
    /// Whether the job can ever run is not known yet: the machine types were not read.
    TypesUnknown,
}

/// Makes rejections with a status, each with what is wrong as its reason.
fn rejection<E: Display>(status: StatusCode) -> impl Fn(E) -> SubmissionError {
    move |error| {
        SubmissionError::Rejected(Rejection {
            status,
            reason: error.to_string(),
        })
    }
}

impl UserRequests {
    /// A submission.
    pub(super) async fn submit(&self, body: Vec<u8>) -> Response {
        let request = ForwardedRequest::Submit(body.clone());
        self.local_or_forwarded(self.submit_locally(&body), &request)
            .await
    }

    /// A cancellation.
    pub(super) async fn cancel(&self, job: String) -> Response {
        let request = ForwardedRequest::Cancel(job.clone());
        self.local_or_forwarded(self.cancel_locally(&job), &request)
            .await
    }

    /// A question about a job: final statuses from memory, others after a linearizable read.
    pub(super) async fn status(&self, job: &str) -> Response {
        let final_status = {
            let state = self.replica.state();
            let is_finished = state.is_finished(job);
            is_finished.then(|| state.job_status(job)).flatten()
        };
        if let Some(status) = final_status {
            return json(StatusCode::OK, &status);
        }
        // If the store is unreachable a peer's read is as good, and comes sooner. If it is only
        // slow, a peer's may come sooner, and ours is waited for as long as the user waits.
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
        self.rejected_for_now(STORE_UNAVAILABLE)
    }

    fn status_response(&self, status: Option<JobStatus>) -> Response {
        let mut timer = self.work_profile.start(WorkKind::UserRequest);
        timer.add_items(1);
        match status {
            Some(status) => json(StatusCode::OK, &status),
            None => error(StatusCode::NOT_FOUND, "no such job"),
        }
    }

    /// Carries a request out locally; by a peer if that is rejected, and as a hedged request
    /// if it takes long.
    async fn local_or_forwarded(
        &self,
        here: impl Future<Output = Response>,
        request: &ForwardedRequest,
    ) -> Response {
        let mut here = std::pin::pin!(here);
        if self.is_store_unreachable() {
            return self.forwarded(request).await;
        }
        match timeout(self.context.timing.round / 6, &mut here).await {
            Ok(response) if is_unavailable(&response) => return self.forwarded(request).await,
            Ok(response) => return response,
            Err(_) => {}
        }
        let mut forwarded = std::pin::pin!(self.forwarded(request));
        tokio::select! {
            biased;
            response = &mut here => {
                if is_unavailable(&response) { forwarded.await } else { response }
            }
            response = &mut forwarded => {
                if is_unavailable(&response) { here.await } else { response }
            }
        }
    }

    /// Whether this controller has not read the store for longer than an idle one pauses
    /// between two reads.
    fn is_store_unreachable(&self) -> bool {
        self.replica.staleness() > self.context.timing.round * STORE_UNREACHABLE_ROUNDS
    }

    /// A peer's response in place of ours, which would be 503.
    async fn forwarded(&self, request: &ForwardedRequest) -> Response {
        let Some(response) = self.forwarder.forward(request).await else {
            return self.rejected_for_now(STORE_UNAVAILABLE);
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

    /// A submission, carried out locally or not at all.
    pub(super) async fn submit_locally(&self, body: &[u8]) -> Response {
        let mut timer = self.work_profile.start(WorkKind::UserRequest);
        timer.add_items(1);
        // A known job is answered by its status, however the submission looks now.
        let named_job = named_job(body);
        let known_job = named_job.as_deref().filter(|job| self.knows_job(job));
        if let Some(job) = known_job {
            drop(timer);
            return self.status(job).await;
        }
        let parsed = JobSpec::parse(body);
        drop(timer);
        let checked = parsed.map_err(rejection(StatusCode::BAD_REQUEST));
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

    /// Reads the store before a request is denied; the response to the user if it does not
    /// answer.
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

    /// Returns a job if it can ever run, and be stored.
    ///
    /// # Errors
    ///
    /// A rejection with status 422 if it can't.
    fn check(&self, spec: JobSpec) -> Result<JobSpec, SubmissionError> {
        let Some(types) = self.replica.state().machine_types.clone() else {
            return Err(SubmissionError::TypesUnknown);
        };
        let site = &self.context.settings.site;
        check_satisfiable(&spec, &site.teams, &types.types, &site.zones)
            .map_err(rejection(StatusCode::UNPROCESSABLE_ENTITY))?;
        self.log
            .check_size(&spec)
            .map_err(rejection(StatusCode::UNPROCESSABLE_ENTITY))?;
        Ok(spec)
    }

    /// Rejects a submission, unless it was accepted by another controller, with another
    /// body.
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
        // The first submission decides: a known job's status is returned as it is.
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

    /// A cancellation, carried out locally or not at all.
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
        // Cancelled, or done just before: the order of the log says which.
        tracing::info!(job, "job cancelled");
        self.status(job).await
    }

    /// Commits a user's write; the response to the user if that was not possible.
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

    /// Rejected because the write budget is used up; `Retry-After` says when it has a write.
    fn too_many_requests(&self) -> Response {
        self.rejections.record();
        let wait = self.committer.time_until_write();
        error_with_retry_after(StatusCode::TOO_MANY_REQUESTS, "too many requests", wait)
    }

    /// Rejected because the store is out of reach, or not applied yet: it is tried anew
    /// within a quarter of a round.
    pub(super) fn unavailable(&self, reason: &str) -> Response {
        unavailable(&self.context, reason)
    }

    /// The same as the final response to a user, which counts as a rejection.
    fn rejected_for_now(&self, reason: &str) -> Response {
        self.rejections.record();
        self.unavailable(reason)
    }
}

/// A response with status 503.
pub(super) fn unavailable(context: &Context, reason: &str) -> Response {
    let retry_after = context.timing.round / 4;
    error_with_retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

fn is_unavailable(response: &Response) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// The job that a submission names, if it can be read so far.
fn named_job(body: &[u8]) -> Option<String> {
    let value = serde_json::from_slice::<serde_json::Value>(body).ok()?;
    let job = value.get("uid")?.as_str()?;
    is_job_id(job).then(|| job.to_string())
}
