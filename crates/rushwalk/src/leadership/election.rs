//! Leader election. A controller acquires leadership when no controller holds it or the leader
//! has failed; candidates of lower rank wait longer before they try. A leader steps down if
//! its event loop lags and another controller has headroom.

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

/// A leader whose event loop lags counts as stalled once its latest scheduling round is older
/// than this many mean round intervals.
const STALLED_ROUND_INTERVALS: f64 = 2.5;

/// A leader counts as slow once its event loop has lagged for this many scheduling rounds.
const SLOW_ROUNDS: f64 = 2.0;

/// This controller's participation in leader elections.
pub struct Election {
    parts: ElectionParts,
    slowness: SlownessTracker,
    /// When this process first saw that leadership is vacant; `None` while it is held, and while
    /// this process is not registered.
    vacant_since: Option<Instant>,
}

/// The parts of the controller that an [`Election`] uses.
pub struct ElectionParts {
    /// Identity, settings and timing of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster's state, which contains the leader record.
    pub replica: Arc<Replica>,
    /// Commits writes and deletions of the leader key.
    pub committer: Arc<Committer>,
    /// Provides the member lease, to which the leader key is attached.
    pub membership: Arc<Membership>,
    /// Whether this process is the leader.
    pub leadership: Arc<Leadership>,
    /// The failure detector: which controllers have failed, and which could lead.
    pub peers: Arc<PeerMonitor>,
    /// The lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
}

/// The transaction with which this process tries to become the leader.
struct Candidacy {
    transaction: Transaction,
    /// Whether this process wrote the current leader key in its latest election, so that the
    /// transaction only rewrites the key.
    is_renewal: bool,
}

impl Election {
    /// A participant that has entered no election.
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
            // A change of the state ends the wait. The wait is limited to `interval` because lag
            // and the delays of candidates depend on time alone.
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

    /// Called while this process is the leader: fences an unresolved commit by rewriting the
    /// leader key, or steps down if another controller should lead.
    async fn keep_or_step_down(&mut self, version: LeaderVersion, lease: u64, pause: Duration) {
        if self.parts.leadership.has_unresolved_commit() {
            self.campaign(lease).await;
            sleep(pause).await;
        } else if let Some(successor) = self.better_leader() {
            self.step_down(version, &successor).await;
            sleep(pause).await;
        }
    }

    /// Called while leadership is vacant: campaigns after a delay in which candidates of higher
    /// rank can win.
    async fn campaign_in_order(&mut self, lease: u64, pause: Duration) {
        if self.parts.membership.is_crash_looping() {
            self.delete_stale_leader_key().await;
        }
        let since = *self.vacant_since.get_or_insert_with(Instant::now);
        if since.elapsed() < self.election_delay() {
            // The delay ends with time alone, but each change of the state makes the loop check it
            // again. This pause limits how often that happens.
            sleep(pause / 4).await;
            return;
        }
        self.campaign(lease).await;
        // If the campaign failed, an immediate retry would only add load to the store.
        sleep(pause).await;
    }

    /// Whether leadership may be acquired: the leader key is absent, or it names this controller
    /// (usually an earlier process of it) or a controller that has failed. An outdated view does
    /// no harm, because the commit requires the leader key to be unchanged.
    fn is_vacant(&self) -> bool {
        let state = self.parts.replica.state();
        match &state.leader {
            None => true,
            Some(leader) if leader.value.member == self.parts.context.member() => true,
            Some(leader) => self.parts.peers.is_failed(&state, &leader.value.member),
        }
    }

    /// How long this process waits before it campaigns, so that candidates of higher rank can
    /// win first.
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
        let rank_delay = (timing.round / 4 * rank as u32).min(timing.member_lease / 2);
        // A controller that is in its flap-damping delay after a departure (such as losing or
        // relinquishing leadership) waits two more rounds if a trusted candidate ranks before it. A
        // crash-looping controller does so if there is any other candidate.
        let defers = rank > 0 && !is_eligible
            || !others.is_empty() && self.parts.membership.is_crash_looping();
        if defers {
            rank_delay + timing.round * 2
        } else {
            rank_delay
        }
    }

    /// The controller that should lead instead of this leader. `None` unless this leader is slow
    /// or stalled and another controller has headroom.
    fn better_leader(&mut self) -> Option<String> {
        let last_round_age = self.parts.leadership.last_round().map(|at| at.elapsed());
        let detector = self.parts.peers.detector();
        let now_s = self.parts.context.uptime_s();
        let mean_lag_s = self.parts.runtime_lag.mean_lag().as_secs_f64();
        let timing = detector.config().timing();
        let is_slow = self
            .slowness
            .observe(now_s, mean_lag_s, timing, SLOW_ROUNDS);
        // The limit follows from the mean interval of this leader's own rounds: with many jobs,
        // planning takes long on any controller.
        let usual_interval = self
            .parts
            .leadership
            .round_interval()
            .max(self.parts.context.timing.round);
        let misses_rounds =
            last_round_age.is_some_and(|age| age > usual_interval.mul_f64(STALLED_ROUND_INTERVALS));
        let is_stalled = misses_rounds && mean_lag_s >= timing.slow_threshold_s() / 2.0;
        if !(is_slow || is_stalled) {
            return None;
        }
        // No leader steps down if leadership has moved away from a live controller within the
        // last worker lease: if the next leader can't keep up either, the cause is the load, and
        // leadership would only circulate.
        let since_transfer = self.parts.leadership.since_last_transfer();
        if since_transfer.is_some_and(|since| since < self.parts.context.timing.worker_lease) {
            return None;
        }
        let successor = succession::preferred_successor(&detector.candidates(now_s), timing);
        successor.map(str::to_string)
    }

    /// Relinquishes leadership by deleting the leader key. Commits of this leader that are still
    /// in flight require the key's version, so they fail.
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
                self.wait_until_applied(revision).await;
            }
            CommitOutcome::Unanswered(_) => self.parts.leadership.mark_unresolved_commit(),
            _ => {}
        }
    }

    /// Called while leadership is vacant and this controller is crash looping. If the leader key
    /// still names this controller and there are other members, deletes the key, so that a more
    /// stable controller acquires leadership. Without this, a crash-looping controller became the
    /// leader again after each crash, for 20 s, and no controller received the heartbeats of its
    /// machines.
    async fn delete_stale_leader_key(&self) {
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
            tracing::info!(
                "leadership not reclaimed: the previous process ended soon after its start"
            );
            self.wait_until_applied(revision).await;
        }
    }

    /// Tries to acquire leadership, with the leader key attached to the member lease `lease`. Does
    /// nothing before this process is registered: without this check, a leader that was not yet a
    /// member assigned all shards to other controllers.
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
                self.wait_until_applied(revision).await;
                self.parts.leadership.notify_acquired();
            }
            CommitOutcome::LeaseExpired => self.parts.membership.forget_lease(),
            // The replica shows the outcome after its next read of the store.
            _ => {}
        }
    }

    /// The transaction that writes the leader key; `None` if this process may not or need not
    /// write it.
    fn candidacy(&self, state: &ClusterState, election_id: u64, lease: u64) -> Option<Candidacy> {
        let is_leader = self.parts.leadership.version(state).is_some();
        let known_election = self.parts.leadership.election_id();
        let mut is_renewal = false;
        if let Some(leader) = &state.leader {
            is_renewal = Some(leader.value.election_id) == known_election;
            if leader.value.member == self.parts.context.member() {
                // The key names this controller. It stays as it is if this process wrote it and
                // the replica has yet to catch up, or if this process leads and has no commit of
                // unknown outcome.
                let is_catching_up = !is_leader && is_renewal;
                let is_confirmed = is_leader && !self.parts.leadership.has_unresolved_commit();
                if is_catching_up || is_confirmed {
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

    /// Waits until the replica has applied a revision, at most for two scheduling rounds.
    async fn wait_until_applied(&self, revision: Revision) {
        let max_wait = self.parts.context.timing.round * 2;
        self.parts
            .replica
            .wait_for_revision(revision, max_wait)
            .await;
    }
}
