//! What is known of one worker from its heartbeats.
//!
//! The questions answered here decide when a task may be started again elsewhere. Only
//! these prove that a task is gone: the worker's own word under our fencing token, or a
//! worker lease that has surely expired.

#[cfg(test)]
mod tests;

use super::registry::Ownership;
use crate::clock::now_ms;
use crate::timing::Timing;
use rushwalk_protocol::ids::{AttemptId, TaskId};
use rushwalk_protocol::worker::{Heartbeat, TaskStatus};
use rushwalk_state::{Revision, UnixMillis};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// By how much a worker's clock may run slower than ours while its lease runs.
const CLOCK_DRIFT: f64 = 1.002;

/// The longest notice before a spot instance is reclaimed that is believed, in seconds.
const MAX_RECLAIM_NOTICE_S: f64 = 3600.0;

/// A task as its worker reports it.
#[derive(Debug)]
pub struct ReportedTask {
    /// The task.
    pub task: TaskId,
    /// What the worker reports of it.
    pub status: TaskStatus,
}

/// A start that was sent to a worker's own address and not answered: it may still be
/// carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresolvedStart {
    /// The fencing token under which it was sent.
    pub token: Revision,
    /// The worker's session to which it was sent.
    pub session: u64,
}

/// A call to a worker's own address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallInFlight {
    /// It asks for a heartbeat, and starts nothing.
    Probe,
    /// It may start tasks.
    Commands,
}

/// A start in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentStart {
    /// The name of the task, as workers know it.
    pub task: String,
    /// The attempt.
    pub attempt: Revision,
}

/// A response to a heartbeat of which it is not known whether it was received.
#[derive(Debug)]
struct UnconfirmedResponse {
    token: Revision,
    sent: Instant,
    /// The session that was answered.
    session: u64,
    /// The first start in it.
    start: Option<SentStart>,
}

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The worker sent it to us by itself.
    Worker,
    /// It is the answer to a call to the worker's own address.
    Call,
}

/// The session of one worker, as its shard's owner knows it.
#[derive(Debug, Default)]
pub struct WorkerSession {
    /// The worker's session: its epoch, which rises when the worker starts or its lease
    /// expires.
    pub session: u64,
    sequence: u64,
    /// The highest fencing token that it has seen.
    pub token: Revision,
    /// When its latest heartbeat or response came.
    pub last_contact: Option<Instant>,
    /// When a heartbeat last came that it sent by itself.
    last_heartbeat: Option<Instant>,
    /// The address at which it takes commands.
    pub address: String,
    /// When its machine is reclaimed.
    pub reclaim_ms: Option<UnixMillis>,
    /// The tasks of its newest heartbeat.
    pub tasks: Vec<ReportedTask>,
    /// Until its token or session is past, an absent task proves nothing, and nothing may
    /// be forgotten.
    pub unresolved_start: Option<UnresolvedStart>,
    /// The call to its own address that is under way.
    pub call_in_flight: Option<CallInFlight>,
    /// Attempts whose end was put forward. Should that commit go unanswered it may still
    /// arrive late, so they are never started again: a task that was started anew while its
    /// end was on the way ran twice.
    pub ended_attempts: BTreeSet<AttemptId>,
    /// That it is unreachable was logged: once is enough while that can't be committed.
    pub unreachable_logged: bool,
    /// The heartbeat whose response carried starts. One that was on the way already does
    /// not show their effect.
    starts_sent_in: Option<u64>,
    /// When we last answered a heartbeat of it, which renews its lease from the time at
    /// which the heartbeat was sent. Not a response that the next heartbeat shows to have
    /// been lost.
    lease_renewed: Option<Instant>,
    /// The latest response, if it is not known whether it was received.
    unconfirmed: Option<UnconfirmedResponse>,
    /// Since when the worker receives no response, though its heartbeats come.
    undelivered_since: Option<Instant>,
    /// The last response held starts back, to see what is on the machine without them.
    starts_withheld: bool,
    /// The token under which its lease expired though its heartbeats kept coming.
    expired_under: Option<Revision>,
    /// Since when this process is responsible for it, and under which token.
    pub owned: Option<Ownership>,
    /// When commands were last sent to its own address.
    pub last_command: Option<Instant>,
    /// When it was last asked for a heartbeat.
    pub last_probe: Option<Instant>,
}

impl WorkerSession {
    /// Takes in a heartbeat unless it is older than the newest; whether it is newer.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, origin: HeartbeatOrigin) -> bool {
        if (heartbeat.session, heartbeat.sequence) <= (self.session, self.sequence) {
            return false;
        }
        match origin {
            HeartbeatOrigin::Worker => {
                self.last_heartbeat = Some(Instant::now());
                self.check_unconfirmed(heartbeat);
                if self.shows_effect_of_starts(heartbeat) {
                    self.starts_sent_in = None;
                }
            }
            HeartbeatOrigin::Call => self.undelivered_since = None,
        }
        self.session = heartbeat.session;
        self.sequence = heartbeat.sequence;
        self.token = self.token.max(heartbeat.token);
        if self.expired_under.is_some_and(|token| self.token >= token) {
            self.expired_under = None;
        }
        if let Some(start) = self.unresolved_start
            && (self.token > start.token || self.session > start.session)
        {
            self.unresolved_start = None;
        }
        self.last_contact = Some(Instant::now());
        self.unreachable_logged = false;
        if !heartbeat.address.is_empty() && self.address != heartbeat.address {
            self.address = heartbeat.address.clone();
        }
        self.reclaim_ms = heartbeat
            .notice_s
            .map(|s| now_ms() + (s.clamp(0.0, MAX_RECLAIM_NOTICE_S) * 1000.0) as UnixMillis);
        self.tasks.clear();
        self.tasks.extend(reported_tasks(heartbeat));
        true
    }

    fn shows_effect_of_starts(&self, heartbeat: &Heartbeat) -> bool {
        let is_later = |sent_in: u64| heartbeat.sequence > sent_in;
        heartbeat.session > self.session || self.starts_sent_in.is_some_and(is_later)
    }

    /// What a heartbeat shows of the response to the one before it: a worker has one
    /// heartbeat under way at a time, and shows the token of a response that it received in
    /// the next.
    fn check_unconfirmed(&mut self, heartbeat: &Heartbeat) {
        let Some(response) = self.unconfirmed.take() else {
            return;
        };
        if heartbeat.token < response.token {
            self.undelivered_since.get_or_insert(response.sent);
            return;
        }
        self.lease_renewed = self.lease_renewed.max(Some(response.sent));
        let started = response.start.as_ref().map(|start| {
            let mut tasks = heartbeat.tasks.iter();
            tasks.any(|t| t.task == start.task && t.attempt == start.attempt)
        });
        if started == Some(true) || self.token < response.token {
            self.undelivered_since = None;
        } else if started == Some(false) && heartbeat.session == response.session {
            self.undelivered_since.get_or_insert(response.sent);
        }
    }

    /// Whether the worker has received no response for as long as makes a machine without
    /// contact unreachable.
    pub fn has_inbound_loss(&self, timing: &Timing) -> bool {
        self.undelivered_since
            .is_some_and(|since| since.elapsed() > timing.unreachable_after)
    }

    /// Whether it answers at its own address only: nobody answers its heartbeats, so that
    /// its lease has expired or is about to. Commands renew nothing: what is started there
    /// ends with the lease.
    ///
    /// Not by what is known from an earlier ownership: an owner that got a shard back took
    /// all of its machines to be in that state, and lost the shard again.
    pub fn has_outbound_loss(&self, token: Revision, timing: &Timing) -> bool {
        let Some(since) = self.owned_under(token) else {
            return false;
        };
        let last = self.last_heartbeat.map_or(since, |at| at.max(since));
        self.last_contact.is_some() && last.elapsed() > timing.worker_lease
    }

    /// Whether a response was lost lately, so that its own address is tried.
    pub fn has_undelivered_response(&self) -> bool {
        self.undelivered_since.is_some()
    }

    /// Whether commands to its own address are under way, starts maybe among them.
    fn command_in_flight(&self) -> bool {
        self.call_in_flight == Some(CallInFlight::Commands)
    }

    /// Since when this process owns it under a token, if it does under that one.
    fn owned_under(&self, token: Revision) -> Option<Instant> {
        let owned = self.owned.filter(|owned| owned.token == token)?;
        Some(owned.since)
    }

    /// Takes in a heartbeat that will be answered under a token; whether it is newer than
    /// the newest. A copy of one that was answered before shows nothing of that response,
    /// which may have renewed the lease.
    pub fn receive(&mut self, heartbeat: &Heartbeat, token: Revision, timing: &Timing) -> bool {
        let is_newer = self.apply_heartbeat(heartbeat, HeartbeatOrigin::Worker);
        if is_newer {
            self.check_lease_expiry(token, timing);
        }
        is_newer
    }

    /// Whether a heartbeat is the newest that came.
    pub fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.session, heartbeat.sequence) == (self.session, self.sequence)
    }

    /// Whether starts are left out of the next response. Starts in a response that may yet
    /// arrive keep an absence from being proved: while they are not received, every other
    /// response has none.
    pub fn withhold_starts(&mut self) -> bool {
        self.starts_withheld = self.has_undelivered_response() && !self.starts_withheld;
        self.starts_withheld
    }

    /// Records the response to a heartbeat. To the newest one the next heartbeat will show
    /// whether it was received; of another it is assumed.
    pub fn record_response(
        &mut self,
        heartbeat: &Heartbeat,
        is_newer: bool,
        token: Revision,
        start: Option<SentStart>,
    ) {
        if start.is_some() {
            self.starts_sent_in = Some(heartbeat.sequence);
        }
        let sent = Instant::now();
        if !is_newer {
            self.lease_renewed = Some(sent);
            return;
        }
        self.unconfirmed = Some(UnconfirmedResponse {
            token,
            sent,
            session: self.session,
            start,
        });
    }

    /// Called with a new heartbeat that is not answered yet. Had the worker received any
    /// response of ours its heartbeats would show the token. So nobody has renewed its lease
    /// since the previous owner could: by now it has expired, and with it the session to
    /// which that owner can have sent anything. What is running there now was started by no
    /// previous owner, and by us only if a call to its own address is unresolved.
    fn check_lease_expiry(&mut self, token: Revision, timing: &Timing) {
        let Some(since) = self.owned_under(token) else {
            return;
        };
        let renewed = (since + timing.lease_validity).max(self.lease_renewed.unwrap_or(since));
        let is_over = renewed.elapsed() > surely_expired_after(timing);
        let is_resolved = !self.command_in_flight() && self.unresolved_start.is_none();
        if is_over && self.token < token && is_resolved {
            self.expired_under = Some(token);
        }
    }

    /// Whether all that was there before this token is gone, though its heartbeats still come.
    pub fn lease_expired(&self, token: Revision) -> bool {
        self.expired_under == Some(token)
    }

    /// Whether its lease has surely expired, and all tasks with it. Nobody can have renewed
    /// it later than we did, but a previous owner that does not know of us, for as long as
    /// its shard lease is valid. All clocks may drift. Pauses do no harm: a lease counts
    /// from the sending of the heartbeat that was answered, which is before the response.
    ///
    /// What is known from an earlier ownership proves nothing under this token: in between
    /// others may have answered. (Once it was taken for proof, and tasks behind a network
    /// partition ran twice.)
    pub fn lease_surely_expired(&self, token: Revision, timing: &Timing) -> bool {
        let Some(since) = self.owned_under(token) else {
            return false;
        };
        let unconfirmed = self.unconfirmed.as_ref();
        let last = (since + timing.lease_validity)
            .max(self.lease_renewed.unwrap_or(since))
            .max(unconfirmed.map_or(since, |response| response.sent))
            .max(self.last_contact.unwrap_or(since));
        last.elapsed() > surely_expired_after(timing)
    }

    /// Whether a heartbeat is missing: one may be late by a quarter, and is repeated after
    /// a while.
    pub fn heartbeat_overdue(&self, timing: &Timing) -> bool {
        let limit = timing.heartbeat * 13 / 10;
        self.last_contact.is_none_or(|at| at.elapsed() > limit)
    }

    /// What the newest heartbeat reports of an attempt.
    pub fn reported(&self, attempt: &AttemptId) -> Option<&TaskStatus> {
        let mut tasks = self.tasks.iter();
        let reported =
            tasks.find(|t| t.task == attempt.task && t.status.attempt == attempt.attempt);
        reported.map(|t| &t.status)
    }

    /// Whether a task missing from the newest heartbeat is surely not there.
    pub fn proves_absence(&self, token: Revision) -> bool {
        self.last_contact.is_some()
            && self.token == token
            && !self.command_in_flight()
            && self.starts_sent_in.is_none()
            && self.unresolved_start.is_none()
    }

    /// Records that a start which was sent to its own address was not answered, unless the
    /// worker has moved on.
    pub fn mark_unresolved_start(&mut self, start: UnresolvedStart) {
        if self.session <= start.session && self.token <= start.token {
            self.unresolved_start = Some(start);
        }
    }
}

/// How long after a worker's lease was last renewed it has surely expired.
fn surely_expired_after(timing: &Timing) -> Duration {
    timing.worker_lease.mul_f64(CLOCK_DRIFT) + timing.round / 2
}

fn reported_tasks(heartbeat: &Heartbeat) -> impl Iterator<Item = ReportedTask> {
    heartbeat.tasks.iter().filter_map(|status| {
        Some(ReportedTask {
            task: TaskId::parse(&status.task)?,
            status: status.clone(),
        })
    })
}
