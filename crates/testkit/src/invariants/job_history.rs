//! What users saw of one job, as invocations and responses.

use rushwalk_protocol::jobs::StatusPhase;
use tokio::time::Instant;

/// A user's request to a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Submit a job.
    Submit,
    /// Query a job's status.
    Query,
    /// Cancel a job.
    Cancel,
}

/// Logical times of a request and of its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Interval {
    pub(super) sent: u64,
    pub(super) received: u64,
}

/// A final phase, and the logical time of the first response with it.
#[derive(Debug, Clone, Copy)]
struct FinalPhase {
    received: u64,
    phase: StatusPhase,
}

/// The history of one job.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    /// When the first response arrived by which the job is accepted.
    pub(super) accepted_at: Option<Instant>,
    /// Logical time of that response.
    acceptance: Option<u64>,
    final_phase: Option<FinalPhase>,
    cancellation_requested: bool,
}

impl JobHistory {
    pub(super) fn request_cancellation(&mut self) {
        self.cancellation_requested = true;
    }

    pub(super) fn is_cancellation_requested(&self) -> bool {
        self.cancellation_requested
    }

    /// Takes in a response, and returns the invariants that it violates.
    pub(super) fn check_response(
        &mut self,
        request: Request,
        interval: Interval,
        status: Option<u16>,
        phase: Option<StatusPhase>,
    ) -> Vec<String> {
        let known = self.acceptance.is_some_and(|at| at < interval.sent);
        match (status, request) {
            (Some(status @ (400 | 422)), Request::Submit) | (Some(status @ 404), _) if known => {
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

    fn check_phase(&mut self, interval: Interval, phase: StatusPhase) -> Vec<String> {
        let mut violations = Vec::new();
        if phase == StatusPhase::Cancelled && !self.cancellation_requested {
            violations.push("went_back: not cancelled".to_string());
        }
        let is_final = matches!(phase, StatusPhase::Done | StatusPhase::Cancelled);
        match self.final_phase {
            // Two final phases contradict each other, in whichever order they were requested.
            Some(before)
                if before.phase != phase && (is_final || before.received < interval.sent) =>
            {
                let before = before.phase;
                violations.push(format!("went_back: {phase:?} after {before:?}"));
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
