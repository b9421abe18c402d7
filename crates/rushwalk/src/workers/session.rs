//! State of one worker as derived from its heartbeats.
//!
//! The methods of [`WorkerSession`] decide when a task may be started on another machine.
//! Only two things prove that a task no longer runs: a heartbeat of its worker that carries
//! this controller's fencing token and does not list the task, or a worker lease that has
//! certainly expired.

mod outstanding_starts;
#[cfg(test)]
mod tests;

pub use outstanding_starts::{CallDelivery, OutstandingStarts, started_attempt};

use super::registry::Ownership;
use crate::clock::now_ms;
use crate::timing::Timing;
use rushwalk_protocol::ids::{AttemptId, TaskId};
use rushwalk_protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use rushwalk_state::{Revision, UnixMillis};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Factor by which a worker lease may last longer on this controller's clock, because the
/// worker's clock runs slower.
const MAX_CLOCK_DRIFT_FACTOR: f64 = 1.002;

/// Upper bound in seconds for the time until a spot machine is reclaimed, as a worker
/// reports it; a longer notice is cut to this.
const MAX_RECLAIM_NOTICE_S: f64 = 3600.0;

/// A task as its worker reports it.
#[derive(Debug)]
pub struct ReportedTask {
    /// The task's id, parsed from the name in `status`.
    pub task: TaskId,
    /// The entry of the heartbeat.
    pub status: TaskStatus,
}

/// A response to a heartbeat that the worker may or may not have received.
#[derive(Debug)]
struct UnconfirmedResponse {
    token: Revision,
    sent: Instant,
    /// Worker session of the heartbeat.
    session: u64,
    /// The first start command in the response, if any.
    start: Option<AttemptId>,
}

/// How a heartbeat was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The worker sent it on its regular schedule.
    Worker,
    /// The worker returned it in answer to a call to its own address.
    Call,
}

/// State of one worker, as far as this process knows it from heartbeats and calls. It is kept
/// when the worker begins a new session (epoch), see [`Self::session`].
#[derive(Debug, Default)]
pub struct WorkerSession {
    /// The worker's own session (epoch) in the newest heartbeat; 0 before the first one. It
    /// increases when the worker starts or its lease expires.
    pub session: u64,
    /// Sequence number of the newest heartbeat.
    sequence: u64,
    /// The highest fencing token in any heartbeat of the worker.
    pub token: Revision,
    /// When the newest heartbeat was received, whether sent by the worker or returned by a
    /// call; `None` before the first one.
    pub last_contact: Option<Instant>,
    /// When the newest heartbeat of [`HeartbeatOrigin::Worker`] was received.
    last_heartbeat: Option<Instant>,
    /// `IP:port` at which the worker takes commands; empty if no heartbeat named one.
    pub address: String,
    /// When the cloud reclaims the spot machine; `None` if that is not announced.
    pub reclaim_ms: Option<UnixMillis>,
    /// All tasks in the newest heartbeat.
    pub tasks: Vec<ReportedTask>,
    /// The starts that the worker may still accept. Until it refuses them, an attempt that is
    /// missing from the heartbeats may still start, and an exited one is not to be forgotten.
    pub starts: OutstandingStarts,
    /// Whether a call to the worker's own address has not ended yet.
    pub call_in_flight: bool,
    /// Attempts whose end this controller has submitted to be committed. It never starts them
    /// again: a commit that was not answered may take effect late, and a task that was started
    /// again before its end was committed ran twice.
    pub ended_attempts: BTreeSet<AttemptId>,
    /// Whether the log already says that the machine is unreachable; reset by the next
    /// heartbeat. Avoids repeated entries while the state can't be committed.
    pub unreachable_logged: bool,
    /// When a response that may have renewed the worker's lease was last sent. The lease
    /// counts from when the answered heartbeat was sent. Not included are the response in
    /// `unconfirmed` and those that the next heartbeat showed to be lost.
    lease_renewed: Option<Instant>,
    /// The latest response, until a newer heartbeat shows whether it was received.
    unconfirmed: Option<UnconfirmedResponse>,
    /// When the first response was sent that was lost since messages were last known to reach
    /// the worker; `None` if none was lost since then.
    undelivered_since: Option<Instant>,
    /// Whether starts were left out of the latest response, see
    /// [`WorkerSession::withhold_starts`].
    starts_withheld: bool,
    /// Fencing token of the ownership in which the worker's lease expired although its
    /// heartbeats kept arriving; `None` once the worker has seen that token.
    expired_under_token: Option<Revision>,
    /// Fencing token under which this process owns the worker's shard, and when it noticed the
    /// ownership; `None` if it has not examined the machine as owner.
    pub owned: Option<Ownership>,
    /// When commands were last sent to the worker's own address.
    pub last_command: Option<Instant>,
    /// When a call last asked the worker for a heartbeat.
    pub last_probe: Option<Instant>,
}

impl WorkerSession {
    /// Applies a heartbeat and returns true if it is newer than all before it; otherwise
    /// ignores it and returns false.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, origin: HeartbeatOrigin) -> bool {
        if (heartbeat.session, heartbeat.sequence) <= (self.session, self.sequence) {
            return false;
        }
        match origin {
            HeartbeatOrigin::Worker => {
                self.last_heartbeat = Some(Instant::now());
                self.check_unconfirmed(heartbeat);
                self.starts.drop_shown_response(heartbeat.sequence);
            }
            HeartbeatOrigin::Call => self.undelivered_since = None,
        }
        if heartbeat.session > self.session {
            self.starts.drop_response();
        }
        self.session = heartbeat.session;
        self.sequence = heartbeat.sequence;
        self.token = self.token.max(heartbeat.token);
        if self
            .expired_under_token
            .is_some_and(|token| self.token >= token)
        {
            self.expired_under_token = None;
        }
        self.starts.drop_refused(self.token, self.session);
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

    /// Derives from a new heartbeat whether the worker received the response to the one
    /// before it. A worker has one heartbeat in flight at a time, and its next heartbeat
    /// carries the token of the response that it received.
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
            let name = start.task.to_string();
            let mut tasks = heartbeat.tasks.iter();
            tasks.any(|t| t.task == name && t.attempt == start.attempt)
        });
        // The same token or a higher one shows receipt only if the worker had a lower one before.
        // Otherwise only the started task shows it.
        if started == Some(true) || self.token < response.token {
            self.undelivered_since = None;
        } else if started == Some(false) && heartbeat.session == response.session {
            self.undelivered_since.get_or_insert(response.sent);
        }
    }

    /// Whether messages to the worker, inbound from its point of view, are lost: its heartbeats
    /// arrive, but responses to it have been lost for longer than
    /// [`Timing::unreachable_after`].
    pub fn has_inbound_loss(&self, timing: &Timing) -> bool {
        self.undelivered_since
            .is_some_and(|since| since.elapsed() > timing.unreachable_after)
    }

    /// Whether messages from the worker, outbound from its point of view, are lost: it answers
    /// calls to its own address, but no heartbeat that it sent has arrived for the duration of
    /// a worker lease. Its lease has then expired or is about to, because only responses to
    /// such heartbeats renew it; tasks started by commands would end with the lease.
    ///
    /// Only the time since the shard came under `token` counts. When heartbeats of an earlier
    /// ownership counted too, an owner that got a shard back saw such a loss for all of its
    /// machines, and lost the shard again.
    pub fn has_outbound_loss(&self, token: Revision, timing: &Timing) -> bool {
        let Some(since) = self.owned_under(token) else {
            return false;
        };
        let last = self.last_heartbeat.map_or(since, |at| at.max(since));
        self.last_contact.is_some() && last.elapsed() > timing.worker_lease
    }

    /// Whether a response was lost and nothing since shows that messages reach the worker; it
    /// is then called at its own address.
    pub fn has_undelivered_response(&self) -> bool {
        self.undelivered_since.is_some()
    }

    /// When this process noticed that it owns the worker's shard under `token`; `None` if it does
    /// not own the shard under that token.
    fn owned_under(&self, token: Revision) -> Option<Instant> {
        let owned = self.owned.filter(|owned| owned.token == token)?;
        Some(owned.since)
    }

    /// Applies a heartbeat that will be answered under `token`, and returns whether it is
    /// newer than all before it. Only a newer one is checked for an expired lease: a duplicate of
    /// an answered heartbeat does not show whether the response to it renewed the lease.
    pub fn receive(&mut self, heartbeat: &Heartbeat, token: Revision, timing: &Timing) -> bool {
        let is_newer = self.apply_heartbeat(heartbeat, HeartbeatOrigin::Worker);
        if is_newer {
            self.check_lease_expiry(token, timing);
        }
        is_newer
    }

    /// Whether a heartbeat is the newest one received.
    pub fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.session, heartbeat.sequence) == (self.session, self.sequence)
    }

    /// Decides whether starts are left out of the next response. The absence of a task can't
    /// be proved while a response with starts may still arrive, so every other response
    /// carries no starts while responses are lost.
    pub fn withhold_starts(&mut self) -> bool {
        self.starts_withheld = self.has_undelivered_response() && !self.starts_withheld;
        self.starts_withheld
    }

    /// Records the response to a heartbeat, with the first start in it. If the heartbeat is
    /// newer than all before it, the next one will show whether the response was received;
    /// otherwise the response is assumed to have renewed the lease.
    pub fn record_response(
        &mut self,
        heartbeat: &Heartbeat,
        is_newer: bool,
        token: Revision,
        start: Option<AttemptId>,
    ) {
        if start.is_some() {
            self.starts.record_response(token, heartbeat.sequence);
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

    /// Notices that the worker's lease has expired although its heartbeats arrive. Must be
    /// called after a new heartbeat is applied and before it is answered.
    ///
    /// A worker that received a response under `token` sends that token in its heartbeats. If
    /// it sends a lower one, its lease was last renewed either by the response of
    /// `lease_renewed` or by a previous owner. That owner's shard lease is valid for at most
    /// [`Timing::lease_validity`] after this process came to own the shard. Once the worker's
    /// lease has expired after the later of these times, any worker session in which a previous
    /// owner can have sent commands has ended too. Then no task that runs now was started by a
    /// previous owner. None was started by this owner either, unless the worker may still accept a
    /// call with a start.
    fn check_lease_expiry(&mut self, token: Revision, timing: &Timing) {
        let Some(since) = self.owned_under(token) else {
            return;
        };
        let last_possible_renewal =
            (since + timing.lease_validity).max(self.lease_renewed.unwrap_or(since));
        let has_expired = last_possible_renewal.elapsed() > surely_expired_after(timing);
        if has_expired && self.token < token && !self.starts.has_calls() {
            self.expired_under_token = Some(token);
        }
    }

    /// Whether the worker's lease expired under `token` although its heartbeats arrive: all
    /// tasks that were on the machine before have ended. For workers without contact see
    /// [`Self::lease_must_have_expired`].
    pub fn heartbeats_show_lease_expiry(&self, token: Revision) -> bool {
        self.expired_under_token == Some(token)
    }

    /// Whether the worker's lease has certainly expired, given the time since the latest contact.
    /// The expiry ends all tasks on the machine.
    ///
    /// The latest possible renewal is the latest contact or response of this process, or the
    /// end of the validity of the previous owner's shard lease, as that owner may not know
    /// yet that it was replaced. The clocks of both sides may drift, so the limit is longer than
    /// the lease. A pause of either process does no harm: a lease counts from when the answered
    /// heartbeat was sent, which is before the response.
    ///
    /// Only the ownership under `token` counts: between an earlier one and this, other
    /// controllers may have renewed the lease. When contact of an earlier ownership counted
    /// as proof, tasks behind a network partition ran twice.
    pub fn lease_must_have_expired(&self, token: Revision, timing: &Timing) -> bool {
        let Some(since) = self.owned_under(token) else {
            return false;
        };
        let unconfirmed = self.unconfirmed.as_ref();
        let last_possible_renewal = (since + timing.lease_validity)
            .max(self.lease_renewed.unwrap_or(since))
            .max(unconfirmed.map_or(since, |response| response.sent))
            .max(self.last_contact.unwrap_or(since));
        last_possible_renewal.elapsed() > surely_expired_after(timing)
    }

    /// Whether there was no contact for 1.3 heartbeat intervals. A heartbeat may be late by a
    /// quarter of an interval, and a worker repeats an unanswered one after a delay.
    pub fn heartbeat_overdue(&self, timing: &Timing) -> bool {
        let limit = timing.heartbeat * 13 / 10;
        self.last_contact.is_none_or(|at| at.elapsed() > limit)
    }

    /// Status of an attempt in the newest heartbeat; `None` if the attempt is not listed.
    pub fn reported(&self, attempt: &AttemptId) -> Option<&TaskStatus> {
        let mut tasks = self.tasks.iter();
        let reported =
            tasks.find(|t| t.task == attempt.task && t.status.attempt == attempt.attempt);
        reported.map(|t| &t.status)
    }

    /// Whether an attempt that is missing from the newest heartbeat is certainly not on the
    /// machine: the worker refuses the commands of previous owners, and accepts no start of the
    /// attempt any more.
    pub fn proves_absence(&self, attempt: &AttemptId, token: Revision) -> bool {
        self.last_contact.is_some()
            && self.has_seen_ownership(token)
            && !self.starts.may_start(attempt, self.token)
    }

    /// Whether the worker has seen `token`, or an earlier token of the same ownership.
    pub fn has_seen_ownership(&self, token: Revision) -> bool {
        let owned = self.owned.filter(|owned| owned.token == token);
        let first_token = owned.map_or(token, |owned| owned.first_token);
        (first_token..=token).contains(&self.token)
    }

    /// Whether the worker may be commanded under `token` to forget an exited attempt: it then
    /// accepts no start of the attempt any more.
    pub fn may_forget(&self, attempt: &AttemptId, token: Revision) -> bool {
        self.token <= token && !self.starts.may_start(attempt, token)
    }

    /// Whether a call with a start that is not known to have been executed may still be accepted
    /// under `token`.
    pub fn has_unresolved_start(&self, token: Revision) -> bool {
        let mut attempts = self.starts.attempts_of_ended_calls(token);
        attempts.any(|attempt| self.reported(attempt).is_none())
    }

    /// Number of exited attempts that the worker has to keep until the token advances beyond
    /// `token`.
    pub fn kept_attempts(&self, token: Revision) -> usize {
        let attempts = self.starts.attempts_of_ended_calls(token);
        let has_exited = |attempt: &&AttemptId| {
            let status = self.reported(attempt);
            status.is_some_and(|status| status.phase == TaskPhase::Exited)
        };
        attempts.filter(has_exited).count()
    }
}

/// Time after the last possible renewal of a worker's lease at which it has certainly expired.
fn surely_expired_after(timing: &Timing) -> Duration {
    timing.worker_lease.mul_f64(MAX_CLOCK_DRIFT_FACTOR) + timing.round / 2
}

fn reported_tasks(heartbeat: &Heartbeat) -> impl Iterator<Item = ReportedTask> {
    heartbeat.tasks.iter().filter_map(|status| {
        Some(ReportedTask {
            task: TaskId::parse(&status.task)?,
            status: status.clone(),
        })
    })
}
