//! The election: a controller acquires leadership when no controller holds it or the leader
//! has failed, in the order of the candidates, and relinquishes it if it is too slow and
//! another is not.

use super::leader::{LeaderVersion, Leadership, leadership_term};
use crate::context::Context;
use crate::observability::runtime_lag::RuntimeLag;
use crate::peers::PeerMonitor;
use crate::store::{Committer, Membership, Replica, WritePriority};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_failure_detector::succession::{self, LeaderCandidate, SlownessTracker};
use rushwalk_protocol::store::Transaction;
use rushwalk_state::records::LeaderRecord;
use rushwalk_state::{ClusterState, Revision, keys};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A leader whose timers are late is stalled when its latest round is older than so many
/// rounds usually take.
const STALLED_ROUNDS: f64 = 2.5;

/// Rounds for which timers must be late before a leader steps down.
const SLOW_ROUNDS: f64 = 2.0;

/// Takes part in elections.
pub struct Election {
    parts: ElectionParts,
    slowness: SlownessTracker,
    /// Since when no live controller holds leadership.
    vacant_since: Option<Instant>,
}

/// The parts that an election uses.
pub struct ElectionParts {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows who leads.
    pub replica: Arc<Replica>,
    /// Commits the leader key.
    pub committer: Arc<Committer>,
    /// Its lease is that of the leader key.
    pub membership: Arc<Membership>,
    /// The leadership to be acquired.
    pub leadership: Arc<Leadership>,
    /// Shows who has failed, and who else may lead.
    pub peers: Arc<PeerMonitor>,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
}

/// An election that is to be tried.
struct Candidacy {
    transaction: Transaction,
    /// This process led before, and only rewrites its key.
    is_renewal: bool,
}

impl Election {
    /// A controller that has taken part in no election.
    pub fn new(parts: ElectionParts) -> Election {
        Election {
            parts,
            slowness: SlownessTracker::default(),
            vacant_since: None,
        }
    }

    /// Takes part in elections until the process ends.
    pub async fn run(mut self) {
        let mut seen = self.parts.replica.change_count();
        let interval = self.parts.context.timing.peer_heartbeat / 2;
        loop {
            // A change shows at once; time alone changes the rest.
            let _ = timeout(interval, self.parts.replica.changed_since(seen)).await;
            seen = self.parts.replica.change_count();
            let lease = self.parts.membership.lease();
            let Some(lease) = lease.filter(|_| self.parts.replica.is_registered()) else {
                self.vacant_since = None;
                continue;
            };
            if let Some(version) = self.parts.leadership.current_version() {
                self.vacant_since = None;
                self.keep_or_step_down(version, lease, interval).await;
            } else if self.is_vacant() {
                self.campaign_in_order(lease, interval).await;
            } else {
                self.vacant_since = None;
            }
        }
    }

    /// What a leader does: it fences its own unresolved commits, or steps down.
    async fn keep_or_step_down(&mut self, version: LeaderVersion, lease: u64, pause: Duration) {
        if self.parts.leadership.has_unresolved_commit() {
            self.campaign(lease).await;
            sleep(pause).await;
        } else if let Some(successor) = self.better_leader() {
            self.step_down(version, &successor).await;
            sleep(pause).await;
        }
    }

    /// What another controller does while leadership is vacant: it lets the candidates that
    /// rank before it go first, then campaigns.
    async fn campaign_in_order(&mut self, lease: u64, pause: Duration) {
        if self.parts.membership.is_crash_looping() {
            self.defer_election().await;
        }
        let since = *self.vacant_since.get_or_insert_with(Instant::now);
        if since.elapsed() < self.election_delay() {
            // Nothing may change meanwhile but the time.
            sleep(pause / 4).await;
            return;
        }
        self.campaign(lease).await;
        // If it failed, a retry at once would only add load to the store.
        sleep(pause).await;
    }

    /// Whether leadership can be acquired: nobody has it, a previous process of ours, or a
    /// controller that has failed. The commit is conditioned on the key as it was seen.
    fn is_vacant(&self) -> bool {
        let state = self.parts.replica.state();
        match &state.leader {
            None => true,
            Some(leader) if leader.value.member == self.parts.context.member() => true,
            Some(leader) => self.parts.peers.is_failed(&state, &leader.value.member),
        }
    }

    /// How long to wait for candidates that rank before this one.
    fn election_delay(&self) -> Duration {
        let detector = self.parts.peers.detector();
        let now_s = self.parts.context.uptime_s();
        let others = detector.candidates(now_s);
        let is_eligible = detector
            .damping
            .is_eligible(now_s, self.parts.context.member());
        let candidate = LeaderCandidate {
            name: self.parts.context.member(),
            trusted: true,
            eligible: is_eligible,
            mean_lag_s: self.parts.runtime_lag.mean_lag().as_secs_f64(),
            busy_share: self.parts.peers.busy_share(),
            staleness_s: self.parts.replica.staleness().as_secs_f64(),
        };
        let rank = succession::election_rank(&candidate, &others, detector.config().timing());
        let timing = &self.parts.context.timing;
        let queue = (timing.round / 4 * rank as u32).min(timing.member_lease / 2);
        // A controller that relinquished or lost leadership lately leaves it to others, if
        // there are any.
        let defers = rank > 0 && !is_eligible
            || !others.is_empty() && self.parts.membership.is_crash_looping();
        if defers {
            queue + timing.round * 2
        } else {
            queue
        }
    }

    /// Who should lead in place of this controller, if it is too slow and another is not.
    fn better_leader(&mut self) -> Option<String> {
        let last_round_age = self.parts.leadership.last_round().map(|at| at.elapsed());
        let detector = self.parts.peers.detector();
        let now_s = self.parts.context.uptime_s();
        let mean_lag_s = self.parts.runtime_lag.mean_lag().as_secs_f64();
        let timing = detector.config().timing();
        let is_slow = self
            .slowness
            .observe(now_s, mean_lag_s, timing, SLOW_ROUNDS);
        // As compared to its own rounds of late: many jobs take long to plan, wherever that
        // is done.
        let usual = self
            .parts
            .leadership
            .round_interval()
            .max(self.parts.context.timing.round);
        let misses_rounds = last_round_age.is_some_and(|age| age > usual.mul_f64(STALLED_ROUNDS));
        let is_stalled = misses_rounds && mean_lag_s >= timing.slow_threshold_s() / 2.0;
        if !(is_slow || is_stalled) {
            return None;
        }
        // Once in a worker lease, whoever it was: if the next leader can't keep up either,
        // it is the load, and leadership would go round.
        let since_transfer = self.parts.leadership.since_last_transfer();
        if since_transfer.is_some_and(|since| since < self.parts.context.timing.worker_lease) {
            return None;
        }
        let successor = succession::preferred_successor(&detector.candidates(now_s), timing);
        successor.map(str::to_string)
    }

    /// Relinquishes leadership by deleting its key: whatever of ours is still in flight is
    /// conditioned on it and fails.
    async fn step_down(&self, version: LeaderVersion, successor: &str) {
        let lag_ms = self.parts.runtime_lag.mean_lag().as_millis() as u64;
        tracing::info!(
            lag_ms,
            successor,
            "leadership relinquished: event loop lagging"
        );
        let transaction = version.transaction().delete(keys::LEADER);
        let commit = self
            .parts
            .committer
            .commit(transaction, WritePriority::Coordination);
        match commit.await {
            CommitOutcome::Committed(revision) => {
                let term = leadership_term(version.revision());
                let now_s = self.parts.context.uptime_s();
                self.parts.peers.detector().record_departure(
                    now_s,
                    self.parts.context.member(),
                    term,
                );
                self.wait_for(revision).await;
            }
            CommitOutcome::Unanswered(_) => self.parts.leadership.mark_unresolved_commit(),
            _ => {}
        }
    }

    /// Leadership still belongs to the previous process of this controller, which crashed
    /// soon after it was elected: its key is deleted, so that a more stable controller
    /// acquires it. A controller that was crash looping led each time, for 20 s, and nobody
    /// received the heartbeats of its machines.
    async fn defer_election(&self) {
        let transaction = {
            let state = self.parts.replica.state();
            let Some(leader) = &state.leader else {
                return;
            };
            if leader.value.member != self.parts.context.member() || state.members.len() < 2 {
                return;
            }
            Transaction::default()
                .expect_version(keys::LEADER, leader.version)
                .delete(keys::LEADER)
        };
        let commit = self
            .parts
            .committer
            .commit(transaction, WritePriority::Coordination);
        if let CommitOutcome::Committed(revision) = commit.await {
            tracing::info!("leadership left to others: the previous process ended soon");
            self.wait_for(revision).await;
        }
    }

    /// Tries to acquire leadership with a member lease. Not before this process is
    /// registered: a leader that was not a member yet assigned all shards to others.
    pub async fn campaign(&self, lease: u64) {
        if !self.parts.replica.is_registered() {
            return;
        }
        let election_id = rushwalk_random::random_id();
        let candidacy = {
            let state = self.parts.replica.state();
            self.candidacy(&state, election_id, lease)
        };
        let Some(candidacy) = candidacy else {
            return;
        };
        self.parts.leadership.begin_election(election_id);
        let commit = self
            .parts
            .committer
            .commit(candidacy.transaction, WritePriority::Coordination);
        match commit.await {
            CommitOutcome::Committed(revision) => {
                self.parts.leadership.record_election(!candidacy.is_renewal);
                tracing::info!(revision, "leadership acquired");
                self.wait_for(revision).await;
                self.parts.leadership.notify_acquired();
            }
            CommitOutcome::LeaseExpired => self.parts.membership.forget_lease(),
            // The next read of the state shows the outcome.
            _ => {}
        }
    }

    /// The transaction that acquires leadership; `None` if it is not to be acquired.
    fn candidacy(&self, state: &ClusterState, election_id: u64, lease: u64) -> Option<Candidacy> {
        let leads = self.parts.leadership.version(state).is_some();
        let known_election = self.parts.leadership.election_id();
        let mut is_renewal = false;
        if let Some(leader) = &state.leader {
            is_renewal = Some(leader.value.election_id) == known_election;
            if leader.value.member == self.parts.context.member() {
                // Ours: nothing to do if the replica is only not caught up, or if no commit
                // may arrive late.
                let is_current = !leads && is_renewal;
                let is_confirmed = leads && !self.parts.leadership.has_unresolved_commit();
                if is_current || is_confirmed {
                    return None;
                }
            } else if !self.parts.peers.is_failed(state, &leader.value.member) {
                return None;
            }
        }
        let record = LeaderRecord {
            member: self.parts.context.member().into(),
            election_id,
        };
        let transaction = Transaction::default()
            .expect_version(keys::LEADER, state.key_version(keys::LEADER))
            .put_leased(keys::LEADER, &record, lease);
        Some(Candidacy {
            transaction,
            is_renewal,
        })
    }

    async fn wait_for(&self, revision: Revision) {
        let max_wait = self.parts.context.timing.round * 2;
        self.parts
            .replica
            .wait_for_revision(revision, max_wait)
            .await;
    }
}
