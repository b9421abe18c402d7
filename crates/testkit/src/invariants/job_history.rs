//! Users' requests about one job and the responses to them.

use rushwalk_protocol::jobs::StatusPhase;
use tokio::time::Instant;

/// A user's request to a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Submission of a job.
    Submit,
    /// Query of a job's status.
    Query,
    /// Cancellation of a job.
    Cancel,
}

/// Logical times of a request and of its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Interval {
    pub(super) sent: u64,
    pub(super) received: u64,
}

/// A phase that a job doesn't leave, and the logical time of the first response with it.
#[derive(Debug, Clone, Copy)]
struct FinalPhase {
    received: u64,
    phase: StatusPhase,
}

/// The state of one job, as responses to users have shown it so far.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    /// When the first response arrived that shows the job as accepted (status 200 or 201);
    /// `None` before.
    pub(super) accepted_at: Option<Instant>,
    /// Logical time of the first response that shows the job as accepted; `None` before.
    acceptance: Option<u64>,
    /// The first final phase that a response gave; `None` before.
    final_phase: Option<FinalPhase>,
    /// Whether a user has requested the job's cancellation.
    cancellation_requested: bool,
}

impl JobHistory {
    pub(super) fn request_cancellation(&mut self) {
        self.cancellation_requested = true;
    }

    pub(super) fn is_cancellation_requested(&self) -> bool {
        self.cancellation_requested
    }

    /// Records a response, and returns the violations that it shows. Once a response has shown
    /// the job as accepted, no request that is sent later may get the response that the job is
    /// unknown (404), and no later submission the one that it is invalid (400, 422).
    pub(super) fn check_response(
        &mut self,
        request: Request,
        interval: Interval,
        status: Option<u16>,
        phase: Option<StatusPhase>,
    ) -> Vec<String> {
        let accepted_before = self.acceptance.is_some_and(|at| at < interval.sent);
        match (status, request) {
            (Some(status @ (400 | 422)), Request::Submit) | (Some(status @ 404), _)
                if accepted_before =>
            {
                vec![format!("forgotten: answered {status}")]
            }
            (Some(200 | 201), _) => {
                self.accepted_at.get_or_insert_with(Instant::now);
                self.acceptance.get_or_insert(interval.received);
                phase.map_or(Vec::new(), |phase| self.check_phase(interval, phase))
            }
            _ => Vec::new(),
        }
    }

    /// Checks a job's phase in a response against the phases of earlier responses.
    fn check_phase(&mut self, interval: Interval, phase: StatusPhase) -> Vec<String> {
        let mut violations = Vec::new();
        if phase == StatusPhase::Cancelled && !self.cancellation_requested {
            violations.push("went_back: not cancelled".to_string());
        }
        let is_final = matches!(phase, StatusPhase::Done | StatusPhase::Cancelled);
        match self.final_phase {
            // Two different final phases contradict each other even if their requests overlap.
            // A response with a phase that isn't final may arrive after one with a final phase
            // only if their requests overlap.
            Some(earlier)
                if earlier.phase != phase && (is_final || earlier.received < interval.sent) =>
            {
                let earlier = earlier.phase;
                violations.push(format!("went_back: {phase:?} after {earlier:?}"));
            }
            None if is_final => {
                let received = interval.received;
                self.final_phase = Some(FinalPhase { received, phase });
            }
            _ => {}
        }
        violations
    }
}
