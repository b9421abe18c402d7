//! Whether this process leads, and commits that are fenced by its leadership.

use crate::context::Context;
use crate::store::log_writer::Precondition;
use crate::store::{Committer, LogWriter, Replica, WritePriority};
use parking_lot::Mutex;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_protocol::store::Transaction;
use rushwalk_state::{ClusterState, Mutation, Revision, keys};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// The version of the leader key under which this process leads. Every commit of the leader
/// is conditioned on it, so that a deposed leader commits nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderVersion(Revision);

impl LeaderVersion {
    /// A transaction that is carried out only while this leadership lasts.
    pub fn transaction(self) -> Transaction {
        Transaction::default().expect_version(keys::LEADER, self.0)
    }

    /// The revision at which the key was written.
    pub fn revision(self) -> Revision {
        self.0
    }

    fn precondition(self) -> Precondition {
        Precondition {
            key: keys::LEADER.into(),
            version: self.0,
        }
    }
}

/// The term that ends when a leader relinquishes leadership, by the version of its key.
pub(crate) fn leadership_term(version: Revision) -> MembershipTerm {
    MembershipTerm {
        incarnation: 0,
        since: version,
    }
}

#[derive(Default)]
struct Term {
    /// The election that this process has won or tried last.
    election_id: Option<u64>,
    /// A commit of ours was not answered: it may arrive late, until the leader key is
    /// rewritten.
    has_unresolved_commit: bool,
    /// When this process came to lead.
    since: Option<Instant>,
    /// When the latest scheduling round was finished, or leadership acquired.
    last_round: Option<Instant>,
    /// The mean time between rounds.
    round_interval: Duration,
    /// When leadership last passed from one live controller to another.
    last_transfer: Option<Instant>,
}

/// This process's leadership.
pub struct Leadership {
    context: Arc<Context>,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    log: Arc<LogWriter>,
    term: Mutex<Term>,
    acquired: Notify,
}

impl Leadership {
    /// A process that does not lead.
    pub fn new(
        context: Arc<Context>,
        replica: Arc<Replica>,
        committer: Arc<Committer>,
        log: Arc<LogWriter>,
    ) -> Leadership {
        let term = Term {
            round_interval: context.timing.round,
            ..Term::default()
        };
        Leadership {
            context,
            replica,
            committer,
            log,
            term: Mutex::new(term),
            acquired: Notify::new(),
        }
    }

    /// The version under which this process leads, if it does.
    pub fn version(&self, state: &ClusterState) -> Option<LeaderVersion> {
        let leader = state.leader.as_ref()?;
        let is_ours = leader.value.member == self.context.member()
            && Some(leader.value.election_id) == self.election_id();
        // Changes come in their order, so a leader that sees its key has seen all that its
        // predecessor committed. Its own commits must be in too, or it would count too
        // little against the teams' quotas.
        (is_ours && self.replica.is_complete(state)).then_some(LeaderVersion(leader.version))
    }

    /// The same, of the state as it is now.
    pub fn current_version(&self) -> Option<LeaderVersion> {
        let state = self.replica.state();
        self.version(&state)
    }

    /// Whether this process leads.
    pub fn is_leader(&self) -> bool {
        self.current_version().is_some()
    }

    /// The version under which this process may decide something new: it leads, and no
    /// commit of its own may still arrive late.
    pub fn version_to_act(&self) -> Option<LeaderVersion> {
        let version = self.current_version();
        version.filter(|_| !self.has_unresolved_commit())
    }

    /// The election that this process has won or tried last.
    pub fn election_id(&self) -> Option<u64> {
        self.term.lock().election_id
    }

    /// Whether a commit of this leader may still arrive late.
    pub fn has_unresolved_commit(&self) -> bool {
        self.term.lock().has_unresolved_commit
    }

    /// A commit of this leader was not answered: the leader key must be rewritten before
    /// anything else is decided.
    pub fn mark_unresolved_commit(&self) {
        self.term.lock().has_unresolved_commit = true;
    }

    /// How long this process has been leading.
    pub fn leading_for(&self) -> Option<Duration> {
        self.term.lock().since.map(|since| since.elapsed())
    }

    /// When the latest scheduling round was finished, or leadership acquired.
    pub fn last_round(&self) -> Option<Instant> {
        self.term.lock().last_round
    }

    /// The mean time between scheduling rounds.
    pub fn round_interval(&self) -> Duration {
        self.term.lock().round_interval
    }

    /// How long ago leadership last passed from one live controller to another.
    pub fn since_last_transfer(&self) -> Option<Duration> {
        self.term.lock().last_transfer.map(|at| at.elapsed())
    }

    /// Records that leadership passed from one live controller to another.
    pub fn record_transfer(&self) {
        self.term.lock().last_transfer = Some(Instant::now());
    }

    /// Records the end of a scheduling round.
    pub fn record_round(&self) {
        let mut term = self.term.lock();
        let previous = term.last_round.replace(Instant::now());
        if let Some(previous) = previous {
            let gap = previous.elapsed().min(self.context.timing.member_lease);
            term.round_interval = (term.round_interval * 7 + gap) / 8;
        }
    }

    /// Records the election that this process is about to try.
    pub(crate) fn begin_election(&self, election_id: u64) {
        self.term.lock().election_id = Some(election_id);
    }

    /// Records that an election was won; `is_new` unless this process led before.
    pub(super) fn record_election(&self, is_new: bool) {
        let mut term = self.term.lock();
        term.has_unresolved_commit = false;
        if is_new {
            term.since = Some(Instant::now());
        }
        term.last_round = Some(Instant::now());
        term.round_interval = self.context.timing.round;
    }

    /// Wakes the scheduling loop: a new leader need not wait for the next round.
    pub(super) fn notify_acquired(&self) {
        self.acquired.notify_one();
    }

    /// Waits until leadership is acquired, for `max_wait` at most.
    pub async fn wait_acquired(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.acquired.notified()).await;
    }

    /// Commits under this leadership (see [`LeaderVersion::transaction`]); false if the
    /// leader should not go on.
    pub async fn commit(&self, transaction: Transaction, priority: WritePriority) -> bool {
        let outcome = self.committer.commit(transaction, priority).await;
        self.is_committed(&outcome)
    }

    /// Appends to the log under this leadership; false if the leader should not go on.
    pub async fn append(
        &self,
        version: LeaderVersion,
        mutations: &[Mutation],
        priority: WritePriority,
    ) -> bool {
        if mutations.is_empty() {
            return true;
        }
        let preconditions = [version.precondition()];
        let outcome = self.log.append(&preconditions, mutations, priority).await;
        self.is_committed(&outcome)
    }

    /// Whether a commit of this leader was carried out. One of unknown outcome is fenced
    /// before anything else is decided.
    pub(super) fn is_committed(&self, outcome: &CommitOutcome) -> bool {
        match outcome {
            CommitOutcome::Committed(_) => true,
            CommitOutcome::Unanswered(_) => {
                self.mark_unresolved_commit();
                self.replica.request_read();
                false
            }
            _ => false,
        }
    }
}
