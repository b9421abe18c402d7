//! What users were told of one job, as invocations and responses.

use rushwalk_wire::jobs::Stance;
use tokio::time::Instant;

/// What a user asked of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    Submit,
    Ask,
    Cancel,
}

/// What an answer comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    /// It says nothing of the job.
    Nothing,
    InOrder,
    /// An accepted job is refused or not known.
    Forgotten(u16),
    WentBack(String),
}

#[derive(Debug, Default)]
pub struct History {
    /// When the first answer arrived that says that it is accepted.
    pub accepted: Option<Instant>,
    /// The first final state told, and when that answer arrived.
    over: Option<(Instant, Stance)>,
    cancelling: bool,
}

impl History {
    pub fn asks_to_cancel(&mut self) {
        self.cancelling = true;
    }

    pub fn wants_to_cancel(&self) -> bool {
        self.cancelling
    }

    /// Takes in an answer that arrives now to a request sent then.
    pub fn answer(
        &mut self,
        request: Request,
        sent: Instant,
        status: Option<u16>,
        stance: Option<Stance>,
    ) -> Told {
        let before = |at: Option<Instant>| at.is_some_and(|at| at < sent);
        match (status, request) {
            (Some(status @ (400 | 422)), Request::Submit) | (Some(status @ 404), _) => {
                match before(self.accepted) {
                    true => Told::Forgotten(status),
                    false => Told::InOrder,
                }
            }
            (Some(200 | 201), _) => {
                self.accepted.get_or_insert_with(Instant::now);
                stance.map_or(Told::Nothing, |stance| self.state(sent, stance))
            }
            _ => Told::Nothing,
        }
    }

    fn state(&mut self, sent: Instant, stance: Stance) -> Told {
        if stance == Stance::Cancelled && !self.cancelling {
            return Told::WentBack("not cancelled".into());
        }
        let is_final = matches!(stance, Stance::Done | Stance::Cancelled);
        match self.over {
            // Two final states never agree, in whichever order they were asked for.
            Some((at, before)) if before != stance && (is_final || at < sent) => {
                Told::WentBack(format!("{stance:?} after {before:?}"))
            }
            None if is_final => {
                self.over = Some((Instant::now(), stance));
                Told::InOrder
            }
            _ => Told::InOrder,
        }
    }
}
