//! Derives the health of all peers from the evidence.

use super::FailureDetector;
use super::assessment::Assessment;
use super::health::{HealthTransition, LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;
use crate::damping::MembershipTerm;

impl FailureDetector {
    /// Derives the health of all peers from the current evidence and returns the changes.
    /// Should be called at least twice per heartbeat interval, usually a few times a second.
    pub fn evaluate(&mut self, now_s: f64, local: LocalHealth) -> Vec<HealthTransition> {
        let members: Vec<String> = self.peers.keys().cloned().collect();
        members
            .into_iter()
            .filter_map(|member| self.evaluate_peer(member, now_s, &local))
            .collect()
    }

    fn evaluate_peer(
        &mut self,
        member: String,
        now_s: f64,
        local: &LocalHealth,
    ) -> Option<HealthTransition> {
        let peer = self.peers.get(&member)?;
        let suspicion = self.suspicion(peer, now_s, local);
        let assessment = self.assess(&member, peer, now_s, local);
        let has_recovered = self.has_recovered(peer, now_s);
        let next = next_health(peer, suspicion, &assessment, has_recovered);
        let to = self.permitted_health(next, now_s);
        let peer = self.peers.get_mut(&member)?;
        peer.majority_agrees = assessment.majority_agrees;
        let from = peer.health;
        let reason = match to {
            PeerHealth::Failed => suspicion.or(peer.reason),
            _ => suspicion,
        };
        if from == to && (reason == peer.reason || to == PeerHealth::Failed) {
            return None;
        }
        let transition = HealthTransition {
            from,
            to,
            reason,
            previous_lasted_s: now_s - peer.health_since_s,
            phi: peer.arrivals.phi(now_s, local.recent_lag_s),
            witnesses: assessment.witnesses,
            agreeing: assessment.agreeing,
            member,
        };
        self.apply(&transition, now_s, local.revision);
        Some(transition)
    }

    /// The next health of a peer, within the limit on declared failures (see
    /// [`Self::may_declare_failed`]).
    fn permitted_health(&mut self, next: NextHealth, now_s: f64) -> PeerHealth {
        match next {
            NextHealth::Definite(health) => health,
            NextHealth::FailedIfAllowed if self.may_declare_failed(now_s) => PeerHealth::Failed,
            NextHealth::FailedIfAllowed => PeerHealth::Suspected,
        }
    }

    /// Whether a peer that was declared failed has responded for the length of a member lease.
    fn has_recovered(&self, peer: &PeerState, now_s: f64) -> bool {
        peer.responding_since_s
            .is_some_and(|at| now_s - at >= self.config.member_lease_s)
    }

    /// Whether one more peer may be declared failed. By its own evidence an observer declares
    /// no more than half of all controllers failed within a member lease. Expired leases,
    /// which the store reports, are not limited.
    fn may_declare_failed(&mut self, now_s: f64) -> bool {
        let window_s = self.config.member_lease_s;
        self.declared_failed_at_s.retain(|at| now_s - at < window_s);
        2 * self.declared_failed_at_s.len() < self.peers.len().max(2)
    }

    fn apply(&mut self, transition: &HealthTransition, now_s: f64, revision: u64) {
        let Some(peer) = self.peers.get_mut(&transition.member) else {
            return;
        };
        let was_slow = peer.reason.is_some_and(SuspicionReason::is_slowness);
        let term = peer.term;
        peer.health = transition.to;
        peer.reason = transition.reason;
        peer.health_since_s = now_s;
        peer.term_at_change = term;
        peer.revision_at_change = revision;
        peer.responding_since_s = None;
        let is_own_evidence = transition.reason != Some(SuspicionReason::LeaseExpired);
        if transition.to == PeerHealth::Failed && is_own_evidence {
            self.declared_failed_at_s.push(now_s);
            self.record_departure_of_term(&transition.member, now_s, term);
        }
        if transition.to == PeerHealth::Healthy && was_slow {
            // A recovery from slowness counts as a departure, so that the peer gets its work back
            // only after the flap-damping delay. The time of recovery distinguishes the term from
            // others.
            let since = (now_s * 1000.0) as u64;
            let recovered = term.map(|term| MembershipTerm { since, ..term });
            self.record_departure_of_term(&transition.member, now_s, recovered);
        }
    }

    /// Records a departure; does nothing if the member has no term.
    fn record_departure_of_term(&mut self, member: &str, now_s: f64, term: Option<MembershipTerm>) {
        if let Some(term) = term {
            self.damping.record_departure(now_s, member, term);
        }
    }
}

/// The health of a peer according to the evidence, before the limit on declared failures.
enum NextHealth {
    Definite(PeerHealth),
    /// Failed if the limit on declared failures allows one more, otherwise suspected.
    FailedIfAllowed,
}

fn next_health(
    peer: &PeerState,
    suspicion: Option<SuspicionReason>,
    assessment: &Assessment,
    has_recovered: bool,
) -> NextHealth {
    let to = match (peer.health, suspicion) {
        // The member has registered again, or the same process has responded for the length of
        // a member lease. A single late response does not undo the failover.
        (PeerHealth::Failed, None) if peer.term != peer.term_at_change || has_recovered => {
            PeerHealth::Healthy
        }
        (PeerHealth::Failed, _) => PeerHealth::Failed,
        (_, None) => PeerHealth::Healthy,
        (_, Some(SuspicionReason::LeaseExpired)) => PeerHealth::Failed,
        (PeerHealth::Suspected, Some(reason))
            if assessment.conclusive && peer.reason == Some(reason) =>
        {
            return NextHealth::FailedIfAllowed;
        }
        (_, Some(_)) => PeerHealth::Suspected,
    };
    NextHealth::Definite(to)
}
