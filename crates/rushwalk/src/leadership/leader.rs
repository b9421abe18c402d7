//! Whether this process is the leader, and its commits as the leader, which the store rejects
//! once another process leads.

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

/// The version that the leader key got when this process last wrote it. Every commit of the
/// leader requires the key to have this version, so commits of a deposed leader fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderVersion(Revision);

impl LeaderVersion {
    /// An empty transaction that the store carries out only if the leader key has this version.
    pub fn transaction(self) -> Transaction {
        Transaction::default().expect_version(keys::LEADER, self.0)
    }

    /// The store revision at which the leader key was written.
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

/// The term that is recorded as a departure when a leader steps down. It follows from the version
/// of the leader key alone, so a departure that is observed several times counts once. The
/// incarnation is 0, which distinguishes the term from those of member processes.
pub(crate) fn leadership_term(version: Revision) -> MembershipTerm {
    MembershipTerm {
        incarnation: 0,
        since: version,
    }
}

/// The elections, commits and scheduling rounds of this process, across all of its terms as the
/// leader. Whether it leads now depends on the leader key in the replica.
#[derive(Default)]
struct LeadershipState {
    /// The id of the latest election that this process entered, won or not; `None` before the
    /// first.
    election_id: Option<u64>,
    /// Whether the outcome of a commit of this process is unknown, because the store did not answer
    /// it. The commit requires the present version of the leader key, so it may still be carried
    /// out until the key is rewritten.
    has_unresolved_commit: bool,
    /// When this process last became the leader, also if it no longer is; `None` if it never
    /// did.
    since: Option<Instant>,
    /// When the latest scheduling round ended, or this process last won an election, whichever
    /// is later; `None` before both.
    last_round: Option<Instant>,
    /// The mean time between the ends of scheduling rounds; each new gap has a weight of 1/8.
    round_interval: Duration,
    /// When leadership was last seen to leave a controller that was still a member; `None` if
    /// never.
    last_transfer: Option<Instant>,
}

/// Tracks whether this process is the leader, and makes the commits that only the leader may make.
pub struct Leadership {
    context: Arc<Context>,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    log: Arc<LogWriter>,
    own_state: Mutex<LeadershipState>,
    acquired: Notify,
}

impl Leadership {
    /// The leadership of a process that has entered no election.
    pub fn new(
        context: Arc<Context>,
        replica: Arc<Replica>,
        committer: Arc<Committer>,
        log: Arc<LogWriter>,
    ) -> Leadership {
        let own_state = LeadershipState {
            round_interval: context.timing.round,
            ..LeadershipState::default()
        };
        Leadership {
            context,
            replica,
            committer,
            log,
            own_state: Mutex::new(own_state),
            acquired: Notify::new(),
        }
    }

    /// The version of the leader key if this process is the leader according to `state`.
    /// `None` otherwise, and while `state` lacks a change that this process read or committed.
    pub fn version(&self, state: &ClusterState) -> Option<LeaderVersion> {
        let leader = state.leader.as_ref()?;
        let is_ours = leader.value.member == self.context.member()
            && Some(leader.value.election_id) == self.election_id();
        // The watch delivers changes in order, so a state that contains this leader's key also
        // contains all commits of its predecessor. The leader's own commits must be applied as
        // well: without them it would count less against the teams' quotas than the teams use.
        (is_ours && self.replica.is_complete(state)).then_some(LeaderVersion(leader.version))
    }

    /// [`Leadership::version`] for the current state of the replica.
    pub fn current_version(&self) -> Option<LeaderVersion> {
        let state = self.replica.state();
        self.version(&state)
    }

    /// Whether this process is the leader according to the current state of the replica.
    pub fn is_leader(&self) -> bool {
        self.current_version().is_some()
    }

    /// The version of the leader key if this process may make new decisions: it is the leader,
    /// and none of its commits has an unknown outcome and may still be carried out.
    pub fn version_for_new_decisions(&self) -> Option<LeaderVersion> {
        let version = self.current_version();
        version.filter(|_| !self.has_unresolved_commit())
    }

    /// The id of the latest election that this process entered, won or not; `None` before the
    /// first.
    pub fn election_id(&self) -> Option<u64> {
        self.own_state.lock().election_id
    }

    /// Whether a commit of this leader has an unknown outcome and may still be carried out.
    pub fn has_unresolved_commit(&self) -> bool {
        self.own_state.lock().has_unresolved_commit
    }

    /// Records that the store did not answer a commit of this leader. The leader key must then be
    /// rewritten before any new decision.
    pub fn mark_unresolved_commit(&self) {
        self.own_state.lock().has_unresolved_commit = true;
    }

    /// Time since this process last became the leader, also if it no longer is; `None` if it
    /// never did.
    pub fn since_last_acquired(&self) -> Option<Duration> {
        self.own_state.lock().since.map(|since| since.elapsed())
    }

    /// When the latest scheduling round ended, or this process last won an election, whichever
    /// is later; `None` before both.
    pub fn last_round(&self) -> Option<Instant> {
        self.own_state.lock().last_round
    }

    /// The mean time between the ends of scheduling rounds; each new gap has a weight of 1/8.
    pub fn round_interval(&self) -> Duration {
        self.own_state.lock().round_interval
    }

    /// Time since leadership was last seen to leave a controller that was still a member, because
    /// it stepped down or was deposed; `None` if never.
    pub fn since_last_transfer(&self) -> Option<Duration> {
        self.own_state.lock().last_transfer.map(|at| at.elapsed())
    }

    /// Records that leadership left a controller that is still a member.
    pub fn record_transfer(&self) {
        self.own_state.lock().last_transfer = Some(Instant::now());
    }

    /// Records the end of a scheduling round. In the mean interval, a gap since the previous round
    /// counts for at most the length of a member lease.
    pub fn record_round(&self) {
        let mut own_state = self.own_state.lock();
        let previous = own_state.last_round.replace(Instant::now());
        if let Some(previous) = previous {
            let gap = previous.elapsed().min(self.context.timing.member_lease);
            own_state.round_interval = (own_state.round_interval * 7 + gap) / 8;
        }
    }

    /// Records the id of the election that this process is about to enter.
    pub(crate) fn begin_election(&self, election_id: u64) {
        self.own_state.lock().election_id = Some(election_id);
    }

    /// Records that this process won an election. `is_new` is false if it was the leader already
    /// and only rewrote the leader key.
    pub(super) fn record_election(&self, is_new: bool) {
        let mut own_state = self.own_state.lock();
        own_state.has_unresolved_commit = false;
        if is_new {
            own_state.since = Some(Instant::now());
        }
        own_state.last_round = Some(Instant::now());
        own_state.round_interval = self.context.timing.round;
    }

    /// Wakes the scheduling loop, so that a new leader starts its first round without delay.
    pub(super) fn notify_acquired(&self) {
        self.acquired.notify_one();
    }

    /// Waits until leadership is acquired, at most for `max_wait`.
    pub async fn wait_acquired(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.acquired.notified()).await;
    }

    /// Commits a transaction that was made by [`LeaderVersion::transaction`]. Returns false if it
    /// failed or its outcome is unknown; the caller must then not continue on the assumption that
    /// it was carried out.
    pub async fn commit(&self, transaction: Transaction, priority: WritePriority) -> bool {
        let outcome = self.committer.commit(transaction, priority).await;
        self.record_outcome(&outcome)
    }

    /// The size limit of a mutation that can't be split, in bytes.
    pub fn max_mutation_bytes(&self) -> usize {
        self.log.max_packed_bytes()
    }

    /// Appends mutations to the log on condition that the leader key still has the given version.
    /// Returns false in the same cases as [`Leadership::commit`].
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
        self.record_outcome(&outcome)
    }

    /// Records the outcome of a commit of this leader; returns whether the commit was carried out.
    /// After an unknown outcome, no new decisions are made until the leader key has been rewritten
    /// (see [`Leadership::version_for_new_decisions`]).
    pub(super) fn record_outcome(&self, outcome: &CommitOutcome) -> bool {
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
