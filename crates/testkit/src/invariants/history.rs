//! What users were told of one job, as invocations and responses.

use rushwalk_protocol::jobs::StatusPhase;
use tokio::time::Instant;

/// What a user asked of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    Submit,
    Ask,
    Cancel,
}

#[derive(Debug, Default)]
pub struct History {
    /// When the first answer arrived that says that it is accepted.
    pub accepted: Option<Instant>,
    /// Which answer that was.
    acceptance: Option<u64>,
    /// The first final state told, and by which answer.
    over: Option<(u64, StatusPhase)>,
    cancelling: bool,
}

impl History {
    pub fn asks_to_cancel(&mut self) {
        self.cancelling = true;
    }

    pub fn wants_to_cancel(&self) -> bool {
        self.cancelling
    }

    /// Takes in an answer to a request, both by their places in the order of all; which
    /// rules it breaks.
    pub fn answer(
        &mut self,
        request: Request,
        (sent, now): (u64, u64),
        status: Option<u16>,
        stance: Option<StatusPhase>,
    ) -> Vec<String> {
        let known = self.acceptance.is_some_and(|at| at < sent);
        match (status, request) {
            (Some(status @ (400 | 422)), Request::Submit) | (Some(status @ 404), _) if known => {
                vec![format!("forgotten: answered {status}")]
            }
            (Some(200 | 201), _) => {
                self.accepted.get_or_insert_with(Instant::now);
                self.acceptance.get_or_insert(now);
                stance.map_or(Vec::new(), |stance| self.state((sent, now), stance))
            }
            _ => Vec::new(),
        }
    }

    fn state(&mut self, (sent, now): (u64, u64), stance: StatusPhase) -> Vec<String> {
        let mut broken = Vec::new();
        if stance == StatusPhase::Cancelled && !self.cancelling {
            broken.push("went_back: not cancelled".to_string());
        }
        let is_final = matches!(stance, StatusPhase::Done | StatusPhase::Cancelled);
        match self.over {
            // Two final states never agree, in whichever order they were asked for.
            Some((at, before)) if before != stance && (is_final || at < sent) => {
                broken.push(format!("went_back: {stance:?} after {before:?}"));
            }
            None if is_final => self.over = Some((now, stance)),
            _ => {}
        }
        broken
    }
}
