//! Start commands that a worker may still accept.
//!
//! A worker accepts a call with a start until it has seen a higher fencing token than the call's
//! or begins a later session, even if it has answered the call: the network may deliver a copy.
//! It has no effect while the worker knows the attempt, and starts it again once the worker has
//! forgotten it. A start in a response to a heartbeat is accepted only until the worker sends its
//! next heartbeat.

use rushwalk_protocol::ids::{AttemptId, TaskId};
use rushwalk_protocol::worker::{Command, CommandBatch};
use rushwalk_state::Revision;
use std::collections::BTreeMap;

/// The token and the worker session under which a worker accepts a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CallScope {
    /// Fencing token of the command batch.
    token: Revision,
    /// Worker session of the command batch; in a later session the worker refuses it.
    session: u64,
}

/// The starts of a call that has not ended yet.
#[derive(Debug)]
struct StartsInFlight {
    scope: CallScope,
    attempts: Vec<AttemptId>,
}

/// A response to a heartbeat that carries starts.
#[derive(Debug, Clone, Copy)]
struct ResponseWithStarts {
    token: Revision,
    /// Sequence number of the answered heartbeat.
    sequence: u64,
}

/// How a call to a worker's own address ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDelivery {
    /// The worker has received the call or may still receive it.
    MayArrive,
    /// The call was not sent.
    NotSent,
}

/// The start commands to one worker that it may still accept.
#[derive(Debug, Default)]
pub struct OutstandingStarts {
    /// By attempt: the last scope under which a call with its start was sent.
    calls: BTreeMap<AttemptId, CallScope>,
    /// The starts of the call in flight; `None` if there is none, or if it carries no start.
    in_flight: Option<StartsInFlight>,
    /// The latest response with starts; `None` once a later heartbeat shows their effect.
    response: Option<ResponseWithStarts>,
}

impl OutstandingStarts {
    /// Records a call that is about to be sent.
    pub fn record_call(&mut self, batch: &CommandBatch) {
        let attempts: Vec<AttemptId> = batch.commands.iter().filter_map(started_attempt).collect();
        self.in_flight = (!attempts.is_empty()).then_some(StartsInFlight {
            scope: CallScope {
                token: batch.token,
                session: batch.session,
            },
            attempts,
        });
    }

    /// Records the end of the call in flight.
    pub fn finish_call(&mut self, delivery: CallDelivery) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        if delivery == CallDelivery::MayArrive {
            let attempts = call.attempts.into_iter();
            self.calls
                .extend(attempts.map(|attempt| (attempt, call.scope)));
        }
    }

    /// Records a response with starts to the heartbeat with a sequence number.
    pub fn record_response(&mut self, token: Revision, sequence: u64) {
        self.response = Some(ResponseWithStarts { token, sequence });
    }

    /// Drops the starts that a worker refuses which has seen `token` and is in `session`.
    pub fn drop_refused(&mut self, token: Revision, session: u64) {
        self.calls
            .retain(|_, call| call.token >= token && call.session >= session);
    }

    /// Drops the response whose effect shows in a heartbeat that the worker sent by itself.
    pub fn drop_shown_response(&mut self, sequence: u64) {
        if self.response.is_some_and(|sent| sent.sequence < sequence) {
            self.response = None;
        }
    }

    /// Drops the response, because the worker has begun a later session.
    pub fn drop_response(&mut self) {
        self.response = None;
    }

    /// Whether a worker that has seen `token` may accept a start of the attempt.
    pub fn may_start(&self, attempt: &AttemptId, token: Revision) -> bool {
        let in_flight = self.in_flight.as_ref();
        self.response.is_some_and(|sent| sent.token >= token)
            || in_flight
                .is_some_and(|call| call.scope.token >= token && call.attempts.contains(attempt))
            || self
                .calls
                .get(attempt)
                .is_some_and(|call| call.token >= token)
    }

    /// Whether the worker may accept any call with a start, as far as its heartbeats show.
    pub fn has_calls(&self) -> bool {
        self.in_flight.is_some() || !self.calls.is_empty()
    }

    /// The attempts that a worker which has seen `token` may start because of calls that have
    /// ended.
    pub fn attempts_of_ended_calls(&self, token: Revision) -> impl Iterator<Item = &AttemptId> {
        let calls = self.calls.iter();
        calls.filter_map(move |(attempt, call)| (call.token >= token).then_some(attempt))
    }
}

/// The attempt that a command starts; `None` for commands of another kind.
pub fn started_attempt(command: &Command) -> Option<AttemptId> {
    match command {
        Command::Run { task, attempt } => Some(AttemptId {
            task: TaskId::parse(task)?,
            attempt: *attempt,
        }),
        _ => None,
    }
}
