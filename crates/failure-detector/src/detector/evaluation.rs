//! From evidence to health: the transitions of all peers.

use super::FailureDetector;
use super::assessment::Assessment;
use super::health::{HealthTransition, LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;
use crate::damping::MembershipTerm;

impl FailureDetector {
    /// Derives the health of all peers anew and returns what changed. Called a few times
    /// a second.
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

    /// The health that the evidence leads to, within the bound on declared failures.
    fn permitted_health(&mut self, next: Next, now_s: f64) -> PeerHealth {
        match next {
            Next::Health(health) => health,
            Next::FailedIfAllowed if self.may_declare_failed(now_s) => PeerHealth::Failed,
            Next::FailedIfAllowed => PeerHealth::Suspected,
        }
    }

    /// Whether a peer that was declared failed responds for the length of a member lease.
    fn has_recovered(&self, peer: &PeerState, now_s: f64) -> bool {
        peer.responding_since_s
            .is_some_and(|at| now_s - at >= self.config.member_lease_s)
    }

    /// Whether one more peer may be declared failed: within a member lease no more
    /// than half of all controllers by this observer's own evidence. Lease expiries, which
    /// the store reports, are not bounded.
    fn may_declare_failed(&mut self, now_s: f64) -> bool {
        let span = self.config.member_lease_s;
        self.declared_failed_at_s.retain(|at| now_s - at < span);
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
        let by_evidence = transition.reason != Some(SuspicionReason::LeaseExpired);
        if transition.to == PeerHealth::Failed && by_evidence {
            self.declared_failed_at_s.push(now_s);
            self.damp(&transition.member, now_s, term);
        }
        if transition.to == PeerHealth::Healthy && was_slow {
            // It gets its work back as one that was away.
            let since = (now_s * 1000.0) as u64;
            let recovered = term.map(|term| MembershipTerm { since, ..term });
            self.damp(&transition.member, now_s, recovered);
        }
    }

    fn damp(&mut self, member: &str, now_s: f64, term: Option<MembershipTerm>) {
        if let Some(term) = term {
            self.damping.record_departure(now_s, member, term);
        }
    }
}

/// What the evidence on a peer leads to.
enum Next {
    Health(PeerHealth),
    /// Failed, unless too many were declared failed of late: then suspected.
    FailedIfAllowed,
}

fn next_health(
    peer: &PeerState,
    suspicion: Option<SuspicionReason>,
    assessment: &Assessment,
    has_recovered: bool,
) -> Next {
    let to = match (peer.health, suspicion) {
        // Another process, or the same one that has responded for a while: a single late
        // response does not undo the failover.
        (PeerHealth::Failed, None) if peer.term != peer.term_at_change || has_recovered => {
            PeerHealth::Healthy
        }
        (PeerHealth::Failed, _) => PeerHealth::Failed,
        (_, None) => PeerHealth::Healthy,
        (_, Some(SuspicionReason::LeaseExpired)) => PeerHealth::Failed,
        (PeerHealth::Suspected, Some(reason))
            if assessment.conclusive && peer.reason == Some(reason) =>
        {
            return Next::FailedIfAllowed;
        }
        (_, Some(_)) => PeerHealth::Suspected,
    };
    Next::Health(to)
}
