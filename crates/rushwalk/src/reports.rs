//! What workers last said, and what they are told.

#[cfg(test)]
mod tests;

use crate::handover;
use crate::node::{Node, Times, lock, now_ms};
use crate::view::{Name, View};
use rushwalk_protocol::jobs::{parse_task, task_name};
use rushwalk_protocol::records::Phase;
use rushwalk_protocol::worker::{Answer, Command, Report, TaskReport, TaskState};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::time::Instant;

#[derive(Default)]
pub struct Reports {
    pub all: HashMap<Name, Heard>,
    /// Those that said something since somebody looked.
    pub dirty: BTreeSet<Name>,
    /// When any machine of a block lent to us was last heard.
    pub blocks: HashMap<Name, Instant>,
    /// Blocks lent to us, with the token and since when.
    pub lent: HashMap<Name, (u64, Instant)>,
}

impl Reports {
    /// What a machine last said; the name is shared with the view's.
    pub fn of(&mut self, name: &Name) -> &mut Heard {
        self.all.entry(name.clone()).or_default()
    }
}

/// A task as its worker reports it.
pub struct Said {
    pub uid: Box<str>,
    pub index: u32,
    pub report: TaskReport,
}

/// What a worker last said.
#[derive(Default)]
pub struct Heard {
    pub session: u64,
    seq: u64,
    /// Highest token it has seen.
    pub token: u64,
    pub heard: Option<Instant>,
    /// When a report of its own last came, not an answer to us.
    reported: Option<Instant>,
    pub address: String,
    /// Time of day at which it is taken back, in milliseconds.
    pub recalled: Option<u64>,
    pub tasks: Vec<Said>,
    /// A start sent to its own address was not answered: with this token, in
    /// this session, it may still be carried out. Until either is past, an
    /// absent task proves nothing, and nothing may be forgotten.
    pub tainted: Option<(u64, u64)>,
    /// A call to its own address is under way.
    pub inflight: bool,
    /// It only asks, and starts nothing.
    pub probing: bool,
    /// Attempts whose end was put forward. Should that commit go unanswered it may
    /// still come late, so they are never started again: a task that was started anew
    /// while its end was on the way ran twice.
    pub ended: BTreeSet<(Name, u32, u64)>,
    /// Its silence was told of: once is enough while that can't be committed.
    pub told: bool,
    /// Report whose answer carried starts; a report that was already under
    /// way elsewhere does not show their effect.
    answered: Option<u64>,
    /// When we last answered a report of it, which renews its lease from the
    /// time at which the report was sent. Not an answer that the next report
    /// shows to have been lost.
    renewed: Option<Instant>,
    /// The latest answer, of which it is not known whether it came through.
    given: Option<Given>,
    /// Since when nothing that we say comes through, though it is heard.
    unheeded: Option<Instant>,
    /// The last answer held starts back, to see what is on the machine without them.
    held_back: bool,
    /// The token under which its lease ran out though its reports kept coming.
    lapsed: Option<u64>,
    /// The token under which it is looked after, and since when.
    pub since: Option<(u64, Instant)>,
    pub sent_at: Option<Instant>,
    pub probed_at: Option<Instant>,
}

/// An answer to a report.
struct Given {
    token: u64,
    at: Instant,
    /// The session that was answered, and the first start in the answer.
    session: u64,
    start: Option<(String, u64)>,
}

impl Heard {
    /// Takes in a report; older ones than the newest are ignored. Whether it is newer.
    pub fn take(&mut self, report: &Report, beat: bool) -> bool {
        let newer = (report.session, report.seq) > (self.session, self.seq);
        if !newer {
            return false;
        }
        match beat {
            true => {
                self.reported = Some(Instant::now());
                self.heeded(report);
            }
            // It came by its own address.
            false => self.unheeded = None,
        }
        if beat && (report.session > self.session || self.answered.is_some_and(|a| report.seq > a))
        {
            self.answered = None;
        }
        self.session = report.session;
        self.seq = report.seq;
        self.token = self.token.max(report.token);
        if self.lapsed.is_some_and(|token| self.token >= token) {
            self.lapsed = None;
        }
        if let Some((token, session)) = self.tainted
            && (self.token > token || self.session > session)
        {
            self.tainted = None;
        }
        self.heard = Some(Instant::now());
        self.told = false;
        if !report.address.is_empty() && self.address != report.address {
            self.address = report.address.clone();
        }
        self.recalled = report
            .notice_s
            .map(|s| now_ms() + (s.clamp(0.0, 3600.0) * 1000.0) as u64);
        self.tasks.clear();
        for task in &report.tasks {
            if let Some((uid, index)) = parse_task(&task.task) {
                self.tasks.push(Said {
                    uid: uid.into(),
                    index,
                    report: task.clone(),
                });
            }
        }
        true
    }

    /// What a report tells of the answer to the one before it: a worker has one report
    /// under way at a time, and shows the token of an answer that it took in the next.
    fn heeded(&mut self, report: &Report) {
        let Some(given) = self.given.take() else {
            return;
        };
        let started = given.start.as_ref().map(|(piece, attempt)| {
            let there = |t: &TaskReport| t.task == *piece && t.attempt == *attempt;
            report.tasks.iter().any(there)
        });
        if report.token < given.token {
            self.unheeded.get_or_insert(given.at);
            return;
        }
        self.renewed = self.renewed.max(Some(given.at));
        if started == Some(true) || self.token < given.token {
            self.unheeded = None;
        } else if started == Some(false) && report.session == given.session {
            self.unheeded.get_or_insert(given.at);
        }
    }

    /// Whether nothing that we say has come through for as long as makes a machine
    /// that is not heard silent.
    pub fn deaf(&self, times: &Times) -> bool {
        self.unheeded
            .is_some_and(|since| since.elapsed() > times.silent)
    }

    /// Whether it answers at its own address only: nobody answers its reports, so that its
    /// lease has run out or is about to. Commands renew nothing: what is started there ends
    /// with the lease.
    ///
    /// Not by what is known of an earlier tenure: whoever got a block back took all of its
    /// machines to be mute, and lost it again.
    pub fn mute(&self, token: u64, times: &Times) -> bool {
        let Some((_, since)) = self.since.filter(|(under, _)| *under == token) else {
            return false;
        };
        let last = self.reported.map_or(since, |at| at.max(since));
        self.heard.is_some() && last.elapsed() > times.lease
    }

    /// Whether something said lately was lost: its own address is tried.
    pub fn unheeded(&self) -> bool {
        self.unheeded.is_some()
    }

    /// Whether commands to its own address are under way, starts maybe among them.
    fn commanded(&self) -> bool {
        self.inflight && !self.probing
    }

    /// Takes in a report that will be answered under this token. A copy of one that was
    /// answered before tells nothing of that answer, which may have renewed the lease.
    fn asks(&mut self, report: &Report, token: u64, times: &Times) -> bool {
        let newer = self.take(report, true);
        if newer {
            self.lapse(token, times);
        }
        newer
    }

    /// A report was answered. Of the newest one the next will show whether the answer
    /// came through; of another it is taken that it did.
    fn gives(&mut self, newer: bool, token: u64, start: Option<(String, u64)>) {
        let at = Instant::now();
        if !newer {
            self.renewed = Some(at);
            return;
        }
        self.given = Some(Given {
            token,
            at,
            session: self.session,
            start,
        });
    }

    /// Called with a new report in hand that is not answered as yet. Had the worker
    /// taken any answer of ours its reports would show the token. So nobody has renewed
    /// its lease since those before us could: by now it has run out, and the session with
    /// it that they can have sent anything to. What is running there now was started by
    /// nobody before us, and by us only if a call to its own address is in doubt.
    fn lapse(&mut self, token: u64, times: &Times) {
        let Some((_, since)) = self.since.filter(|(under, _)| *under == token) else {
            return;
        };
        let last = (since + times.loan).max(self.renewed.unwrap_or(since));
        let over = last.elapsed() > times.lease.mul_f64(1.002) + times.round / 2;
        if over && self.token < token && !self.commanded() && self.tainted.is_none() {
            self.lapsed = Some(token);
        }
    }

    /// Whether all that was there before this token is gone, though it is still heard.
    pub fn lapsed(&self, token: u64) -> bool {
        self.lapsed == Some(token)
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
    pub fn lease_over(&self, token: u64, times: &Times) -> bool {
        let Some((under, since)) = self.since else {
            return false;
        };
        if under != token {
            return false;
        }
        let last = (since + times.loan).max(self.renewed.unwrap_or(since));
        let last = last.max(self.given.as_ref().map_or(since, |given| given.at));
        let last = last.max(self.heard.unwrap_or(since));
        last.elapsed() > times.lease.mul_f64(1.002) + times.round / 2
    }

    /// Whether a report is missing: one may be late by a quarter, and is repeated
    /// after a while.
    pub fn overdue(&self, times: &Times) -> bool {
        let limit = times.report * 13 / 10;
        self.heard.is_none_or(|at| at.elapsed() > limit)
    }

    pub fn says(&self, uid: &str, index: u32, attempt: u64) -> Option<&TaskReport> {
        let same = |s: &&Said| s.index == index && s.report.attempt == attempt && *s.uid == *uid;
        self.tasks.iter().find(same).map(|s| &s.report)
    }

    /// Whether a task missing from the latest report is surely not there.
    pub fn proves_absence(&self, token: u64) -> bool {
        self.heard.is_some()
            && self.token == token
            && !self.commanded()
            && self.answered.is_none()
            && self.tainted.is_none()
    }
}

/// Commands that bring a machine from what it reports to what is wanted.
pub fn commands(view: &View, worker: &Heard, name: &str, token: u64) -> Vec<Command> {
    let mut out = Vec::new();
    let Some(row) = view.machines.get(name) else {
        return out;
    };
    for (uid, index) in &row.tasks {
        let Some((job, t)) = view.task(uid, *index) else {
            continue;
        };
        let attempt = t.task.attempt;
        let cancelled = job.phase != Phase::Active;
        let stop = cancelled || t.task.stop.is_some();
        match worker.says(uid, *index, attempt) {
            // A task that ran and is gone was lost; it is not started again
            // under the same attempt.
            None if stop || t.task.ran.is_some() => {}
            None if worker.lapsed(token) => {}
            None if worker.ended.contains(&(uid.clone(), *index, attempt)) => {}
            None => out.push(Command::Run {
                piece: task_name(uid, *index),
                attempt,
            }),
            Some(r) if r.state == TaskState::Exited || !stop => {}
            Some(r) => {
                let grace_s = match !cancelled && job.spec.checkpoint_s > 0.0 {
                    true => job.spec.save_s + 1.0,
                    false => 0.0,
                };
                if r.state != TaskState::Saving || cancelled {
                    out.push(Command::Stop {
                        piece: task_name(uid, *index),
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
    for said in &worker.tasks {
        let attempt = said.report.attempt;
        let task = view
            .jobs
            .get(&*said.uid)
            .and_then(|j| j.tasks.get(&said.index));
        let wanted = task
            .is_some_and(|t| t.task.attempt == attempt && t.task.machine.as_deref() == Some(name));
        if wanted {
            continue;
        }
        let piece = said.report.task.clone();
        if said.report.state != TaskState::Exited {
            out.push(Command::Stop {
                piece,
                attempt,
                grace_s: 0.0,
            });
        } else if worker.tainted.is_none() && !worker.inflight && worker.token <= token {
            // A start that may come late must find the task still known.
            out.push(Command::Forget { piece, attempt });
        }
    }
    out
}

/// What a worker's report is answered with.
pub enum Reply {
    Here(Answer),
    Elsewhere(Option<String>),
    NotNow,
}

/// Answers a report. Costs what its machine's tasks cost, however many other
/// machines there are.
pub fn beat(node: &Arc<Node>, report: &Report) -> Reply {
    let view = node.view();
    let Some((name, row)) = view.machines.get_key_value(report.machine.as_str()) else {
        return Reply::NotNow;
    };
    let block = &row.machine.block;
    let Some(token) = node.token(&view, block) else {
        return match view.grants.get(block) {
            Some((token, grant)) if grant.holder != node.me() => {
                // One that has just come up looks for its holder.
                let old = 2 * node.times.report.as_millis() as u64;
                if row.machine.up.is_some_and(|at| now_ms() > at + old) {
                    let now = node.uptime();
                    lock(&node.strays).turned_up(now, block, *token, name);
                }
                Reply::Elsewhere(handover::steward(node, block, grant))
            }
            _ => {
                // Not entitled to answer, but it shows that the worker lives.
                lock(&node.reports).of(name).take(report, true);
                Reply::NotNow
            }
        };
    };
    if report.token > token {
        // Somebody holds the block by a newer grant that we have not seen.
        node.fresh_wanted.notify_one();
        return Reply::Elsewhere(None);
    }
    let mut reports = lock(&node.reports);
    reports.dirty.insert(name.clone());
    reports.blocks.insert(block.clone(), Instant::now());
    let worker = reports.of(name);
    let newer = worker.asks(report, token, &node.times);
    // A late report is no base for commands, but it may be answered.
    let current = (report.session, report.seq) == (worker.session, worker.seq);
    let mut commands = match current && !worker.inflight {
        true => commands(&view, worker, &report.machine, token),
        false => Vec::new(),
    };
    let start = |c: &Command| match c {
        Command::Run { piece, attempt } => Some((piece.clone(), *attempt)),
        _ => None,
    };
    // Starts in an answer that may yet arrive keep an absence from being proved: while
    // they don't come through, every other answer has none.
    worker.held_back = worker.unheeded() && !worker.held_back;
    if worker.held_back {
        commands.retain(|c| start(c).is_none());
    }
    let start = commands.iter().find_map(start);
    if start.is_some() {
        worker.answered = Some(report.seq);
    }
    worker.gives(newer, token, start);
    Reply::Here(Answer { token, commands })
}
