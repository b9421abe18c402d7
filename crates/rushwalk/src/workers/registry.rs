//! What workers last said, and what they are told.

#[cfg(test)]
mod tests;

use crate::controller::{Controller, Timing, lock, now_ms};
use crate::leadership::election;
use crate::view::{ClusterState, Name};
use rushwalk_protocol::jobs::TaskName;
use rushwalk_protocol::records::JobPhase;
use rushwalk_protocol::worker::{Command, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::time::Instant;

#[derive(Default)]
pub struct WorkerRegistry {
    pub sessions: HashMap<Name, WorkerSession>,
    /// Those that said something since somebody looked.
    pub changed: BTreeSet<Name>,
    /// When any machine of a block lent to us was last heard.
    pub shard_last_heard: HashMap<Name, Instant>,
    /// Blocks lent to us, with the token and since when.
    pub owned_since: HashMap<Name, (u64, Instant)>,
}

impl WorkerRegistry {
    /// What a machine last said; the name is shared with the view's.
    pub fn session_mut(&mut self, name: &Name) -> &mut WorkerSession {
        self.sessions.entry(name.clone()).or_default()
    }
}

/// A task as its worker reports it.
pub struct ReportedTask {
    pub job: Box<str>,
    pub index: u32,
    pub status: TaskStatus,
}

/// What a worker last said.
#[derive(Default)]
pub struct WorkerSession {
    pub session: u64,
    sequence: u64,
    /// Highest token it has seen.
    pub token: u64,
    pub last_heard: Option<Instant>,
    /// When a report of its own last came, not an answer to us.
    last_heartbeat: Option<Instant>,
    pub address: String,
    /// Time of day at which it is taken back, in milliseconds.
    pub reclaim_ms: Option<u64>,
    pub tasks: Vec<ReportedTask>,
    /// A start sent to its own address was not answered: with this token, in
    /// this session, it may still be carried out. Until either is past, an
    /// absent task proves nothing, and nothing may be forgotten.
    pub unresolved_start: Option<(u64, u64)>,
    /// A call to its own address is under way.
    pub call_in_flight: bool,
    /// It only asks, and starts nothing.
    pub probing: bool,
    /// Attempts whose end was put forward. Should that commit go unanswered it may
    /// still come late, so they are never started again: a task that was started anew
    /// while its end was on the way ran twice.
    pub ended_attempts: BTreeSet<(Name, u32, u64)>,
    /// Its silence was told of: once is enough while that can't be committed.
    pub unreachable_logged: bool,
    /// Report whose answer carried starts; a report that was already under
    /// way elsewhere does not show their effect.
    starts_sent_in: Option<u64>,
    /// When we last answered a report of it, which renews its lease from the
    /// time at which the report was sent. Not an answer that the next report
    /// shows to have been lost.
    lease_renewed: Option<Instant>,
    /// The latest answer, of which it is not known whether it came through.
    unconfirmed: Option<UnconfirmedResponse>,
    /// Since when nothing that we say comes through, though it is heard.
    unheeded_since: Option<Instant>,
    /// The last answer held starts back, to see what is on the machine without them.
    starts_withheld: bool,
    /// The token under which its lease ran out though its reports kept coming.
    expired_under: Option<u64>,
    /// The token under which it is looked after, and since when.
    pub owned_since: Option<(u64, Instant)>,
    pub last_command: Option<Instant>,
    pub last_probe: Option<Instant>,
}

/// An answer to a report.
struct UnconfirmedResponse {
    token: u64,
    sent: Instant,
    /// The session that was answered, and the first start in the answer.
    session: u64,
    start: Option<(String, u64)>,
}

impl WorkerSession {
    /// Takes in a report; older ones than the newest are ignored. Whether it is newer.
    pub fn apply_heartbeat(&mut self, report: &Heartbeat, beat: bool) -> bool {
        let newer = (report.session, report.sequence) > (self.session, self.sequence);
        if !newer {
            return false;
        }
        match beat {
            true => {
                self.last_heartbeat = Some(Instant::now());
                self.check_unconfirmed(report);
            }
            // It came by its own address.
            false => self.unheeded_since = None,
        }
        if beat
            && (report.session > self.session
                || self.starts_sent_in.is_some_and(|a| report.sequence > a))
        {
            self.starts_sent_in = None;
        }
        self.session = report.session;
        self.sequence = report.sequence;
        self.token = self.token.max(report.token);
        if self.expired_under.is_some_and(|token| self.token >= token) {
            self.expired_under = None;
        }
        if let Some((token, session)) = self.unresolved_start
            && (self.token > token || self.session > session)
        {
            self.unresolved_start = None;
        }
        self.last_heard = Some(Instant::now());
        self.unreachable_logged = false;
        if !report.address.is_empty() && self.address != report.address {
            self.address = report.address.clone();
        }
        self.reclaim_ms = report
            .notice_s
            .map(|s| now_ms() + (s.clamp(0.0, 3600.0) * 1000.0) as u64);
        self.tasks.clear();
        for task in &report.tasks {
            if let Some(TaskName { job: uid, index }) = TaskName::parse(&task.task) {
                self.tasks.push(ReportedTask {
                    job: uid.into(),
                    index,
                    status: task.clone(),
                });
            }
        }
        true
    }

    /// What a report tells of the answer to the one before it: a worker has one report
    /// under way at a time, and shows the token of an answer that it took in the next.
    fn check_unconfirmed(&mut self, report: &Heartbeat) {
        let Some(given) = self.unconfirmed.take() else {
            return;
        };
        let started = given.start.as_ref().map(|(task, attempt)| {
            let there = |t: &TaskStatus| t.task == *task && t.attempt == *attempt;
            report.tasks.iter().any(there)
        });
        if report.token < given.token {
            self.unheeded_since.get_or_insert(given.sent);
            return;
        }
        self.lease_renewed = self.lease_renewed.max(Some(given.sent));
        if started == Some(true) || self.token < given.token {
            self.unheeded_since = None;
        } else if started == Some(false) && report.session == given.session {
            self.unheeded_since.get_or_insert(given.sent);
        }
    }

    /// Whether nothing that we say has come through for as long as makes a machine
    /// that is not heard silent.
    pub fn has_inbound_loss(&self, times: &Timing) -> bool {
        self.unheeded_since
            .is_some_and(|since| since.elapsed() > times.unreachable_after)
    }

    /// Whether it answers at its own address only: nobody answers its reports, so that its
    /// lease has run out or is about to. Commands renew nothing: what is started there ends
    /// with the lease.
    ///
    /// Not by what is known of an earlier tenure: whoever got a block back took all of its
    /// machines to be mute, and lost it again.
    pub fn has_outbound_loss(&self, token: u64, times: &Timing) -> bool {
        let Some((_, since)) = self.owned_since.filter(|(under, _)| *under == token) else {
            return false;
        };
        let last = self.last_heartbeat.map_or(since, |at| at.max(since));
        self.last_heard.is_some() && last.elapsed() > times.worker_lease
    }

    /// Whether something said lately was lost: its own address is tried.
    pub fn has_undelivered_response(&self) -> bool {
        self.unheeded_since.is_some()
    }

    /// Whether commands to its own address are under way, starts maybe among them.
    fn command_in_flight(&self) -> bool {
        self.call_in_flight && !self.probing
    }

    /// Takes in a report that will be answered under this token. A copy of one that was
    /// answered before tells nothing of that answer, which may have renewed the lease.
    fn receive(&mut self, report: &Heartbeat, token: u64, times: &Timing) -> bool {
        let newer = self.apply_heartbeat(report, true);
        if newer {
            self.check_lease_expiry(token, times);
        }
        newer
    }

    /// A report was answered. Of the newest one the next will show whether the answer
    /// came through; of another it is taken that it did.
    fn record_response(&mut self, newer: bool, token: u64, start: Option<(String, u64)>) {
        let at = Instant::now();
        if !newer {
            self.lease_renewed = Some(at);
            return;
        }
        self.unconfirmed = Some(UnconfirmedResponse {
            token,
            sent: at,
            session: self.session,
            start,
        });
    }

    /// Called with a new report in hand that is not answered as yet. Had the worker
    /// taken any answer of ours its reports would show the token. So nobody has renewed
    /// its lease since those before us could: by now it has run out, and the session with
    /// it that they can have sent anything to. What is running there now was started by
    /// nobody before us, and by us only if a call to its own address is in doubt.
    fn check_lease_expiry(&mut self, token: u64, times: &Timing) {
        let Some((_, since)) = self.owned_since.filter(|(under, _)| *under == token) else {
            return;
        };
        let last = (since + times.lease_validity).max(self.lease_renewed.unwrap_or(since));
        let over = last.elapsed() > times.worker_lease.mul_f64(1.002) + times.round / 2;
        if over
            && self.token < token
            && !self.command_in_flight()
            && self.unresolved_start.is_none()
        {
            self.expired_under = Some(token);
        }
    }

    /// Whether all that was there before this token is gone, though it is still heard.
    pub fn lease_expired(&self, token: u64) -> bool {
        self.expired_under == Some(token)
    }

    /// Whether its worker's lease has surely run out, and all tasks with it.
    /// Nobody can have renewed it later than we did, but an earlier holder that
    /// does not know of us, for as long as a block is lent. All clocks may drift.
    /// Pauses do no harm: a lease counts from the sending of the report that was
    /// answered, which is before the answer.
    ///
    /// What is known of an earlier tenure proves nothing under this token: in
    /// between others may have answered. (Once it was taken for proof, and tasks
    /// behind a cut ran twice.)
    pub fn lease_surely_expired(&self, token: u64, times: &Timing) -> bool {
        let Some((under, since)) = self.owned_since else {
            return false;
        };
        if under != token {
            return false;
        }
        let last = (since + times.lease_validity).max(self.lease_renewed.unwrap_or(since));
        let last = last.max(self.unconfirmed.as_ref().map_or(since, |given| given.sent));
        let last = last.max(self.last_heard.unwrap_or(since));
        last.elapsed() > times.worker_lease.mul_f64(1.002) + times.round / 2
    }

    /// Whether a report is missing: one may be late by a quarter, and is repeated
    /// after a while.
    pub fn heartbeat_overdue(&self, times: &Timing) -> bool {
        let limit = times.heartbeat * 13 / 10;
        self.last_heard.is_none_or(|at| at.elapsed() > limit)
    }

    pub fn reported(&self, uid: &str, index: u32, attempt: u64) -> Option<&TaskStatus> {
        let same =
            |s: &&ReportedTask| s.index == index && s.status.attempt == attempt && *s.job == *uid;
        self.tasks.iter().find(same).map(|s| &s.status)
    }

    /// Whether a task missing from the latest report is surely not there.
    pub fn proves_absence(&self, token: u64) -> bool {
        self.last_heard.is_some()
            && self.token == token
            && !self.command_in_flight()
            && self.starts_sent_in.is_none()
            && self.unresolved_start.is_none()
    }
}

/// Commands that bring a machine from what it reports to what is wanted.
pub fn commands(
    view: &ClusterState,
    worker: &WorkerSession,
    name: &str,
    token: u64,
) -> Vec<Command> {
    let mut out = Vec::new();
    let Some(row) = view.machines.get(name) else {
        return out;
    };
    for (uid, index) in &row.tasks {
        let Some((job, t)) = view.task(uid, *index) else {
            continue;
        };
        let attempt = t.record.attempt;
        let cancelled = job.phase != JobPhase::Active;
        let stop = cancelled || t.record.stop_reason.is_some();
        match worker.reported(uid, *index, attempt) {
            // A task that ran and is gone was lost; it is not started again
            // under the same attempt.
            None if stop || t.record.started_ms.is_some() => {}
            None if worker.lease_expired(token) => {}
            None if worker
                .ended_attempts
                .contains(&(uid.clone(), *index, attempt)) => {}
            None => out.push(Command::Run {
                task: TaskName {
                    job: uid,
                    index: *index,
                }
                .to_string(),
                attempt,
            }),
            Some(r) if r.phase == TaskPhase::Exited || !stop => {}
            Some(r) => {
                let grace_s = match !cancelled && job.spec.checkpoint_s > 0.0 {
                    true => job.spec.save_s + 1.0,
                    false => 0.0,
                };
                if r.phase != TaskPhase::Saving || cancelled {
                    out.push(Command::Stop {
                        task: TaskName {
                            job: uid,
                            index: *index,
                        }
                        .to_string(),
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    for said in &worker.tasks {
        let attempt = said.status.attempt;
        let task = view
            .jobs
            .get(&*said.job)
            .and_then(|j| j.tasks.get(&said.index));
        let wanted = task.is_some_and(|t| {
            t.record.attempt == attempt && t.record.machine.as_deref() == Some(name)
        });
        if wanted {
            continue;
        }
        let task = said.status.task.clone();
        if said.status.phase != TaskPhase::Exited {
            out.push(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            });
        } else if worker.unresolved_start.is_none()
            && !worker.call_in_flight
            && worker.token <= token
        {
            // A start that may come late must find the task still known.
            out.push(Command::Forget { task, attempt });
        }
    }
    out
}

/// What a worker's report is answered with.
pub enum HeartbeatReply {
    Accepted(HeartbeatResponse),
    Redirected(Option<String>),
    Unavailable,
}

/// Answers a report. Costs what its machine's tasks cost, however many other
/// machines there are.
pub fn beat(node: &Arc<Controller>, report: &Heartbeat) -> HeartbeatReply {
    let view = node.view();
    let Some((name, row)) = view.machines.get_key_value(report.machine.as_str()) else {
        return HeartbeatReply::Unavailable;
    };
    let block = &row.record.shard;
    let Some(token) = node.fencing_token(&view, block) else {
        return match view.shard_leases.get(block) {
            Some((token, grant)) if grant.owner != node.member() => {
                // One that has just come up looks for its holder.
                let old = 2 * node.timing.heartbeat.as_millis() as u64;
                if row.record.ready_ms.is_some_and(|at| now_ms() > at + old) {
                    let now = node.uptime_s();
                    lock(&node.misrouted).record(now, block, *token, name);
                }
                HeartbeatReply::Redirected(election::steward(node, block, grant))
            }
            _ => {
                // Not entitled to answer, but it shows that the worker lives.
                lock(&node.workers_seen)
                    .session_mut(name)
                    .apply_heartbeat(report, true);
                HeartbeatReply::Unavailable
            }
        };
    };
    if report.token > token {
        // Somebody holds the block by a newer grant that we have not seen.
        node.read_requested.notify_one();
        return HeartbeatReply::Redirected(None);
    }
    let mut reports = lock(&node.workers_seen);
    reports.changed.insert(name.clone());
    reports
        .shard_last_heard
        .insert(block.clone(), Instant::now());
    let worker = reports.session_mut(name);
    let newer = worker.receive(report, token, &node.timing);
    // A late report is no base for commands, but it may be answered.
    let current = (report.session, report.sequence) == (worker.session, worker.sequence);
    let mut commands = match current && !worker.call_in_flight {
        true => commands(&view, worker, &report.machine, token),
        false => Vec::new(),
    };
    let start = |c: &Command| match c {
        Command::Run { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    // Starts in an answer that may yet arrive keep an absence from being proved: while
    // they don't come through, every other answer has none.
    worker.starts_withheld = worker.has_undelivered_response() && !worker.starts_withheld;
    if worker.starts_withheld {
        commands.retain(|c| start(c).is_none());
    }
    let start = commands.iter().find_map(start);
    if start.is_some() {
        worker.starts_sent_in = Some(report.sequence);
    }
    worker.record_response(newer, token, start);
    HeartbeatReply::Accepted(HeartbeatResponse { token, commands })
}
