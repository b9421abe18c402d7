//! Which controllers may own shards, and how fit each is for more.

use super::inputs::InputGatherer;
use crate::clock::now_ms;
use rushwalk_failure_detector::FailureDetector;
use rushwalk_scheduler::shard_assignment::OwnerCandidate;
use rushwalk_state::records::MemberRecord;

/// A controller that departed more often than this lately gets no shards while others can
/// have them.
const MAX_DEPARTURES: usize = 2;

impl<'a> InputGatherer<'a> {
    /// The members that may own shards, by name: not one that has failed, whether or not its
    /// lease lasts.
    pub(super) fn eligible_members(&self) -> Vec<(&'a String, &'a MemberRecord)> {
        let detector = self.parts.peers.detector();
        let now_s = self.parts.context.uptime_s();
        // One that crash loops may end before its shards' workers have come to it. Not if
        // most do: the others could not serve all machines.
        let is_flapping = |name: &str| {
            let damping = &detector.damping;
            damping.departures(now_s, name) > MAX_DEPARTURES && !damping.is_eligible(now_s, name)
        };
        let members = &self.state.members;
        let flapping = members.keys().filter(|name| is_flapping(name));
        let few_are_flapping = 2 * flapping.count() < members.len();
        let eligible = members.iter().filter(|(name, member)| {
            let is_excluded = few_are_flapping && is_flapping(name);
            !is_excluded && !detector.has_lost_shards(name, member.incarnation)
        });
        eligible.collect()
    }

    /// The members as candidates for the scheduler.
    pub(super) fn candidates(
        &self,
        members: &[(&'a String, &'a MemberRecord)],
    ) -> Vec<OwnerCandidate<'a>> {
        let detector = self.parts.peers.detector();
        // Leading takes about as much as half a share of the machines.
        let leader_load = self.state.machines.len() / members.len().max(1) / 2;
        members
            .iter()
            .map(|(name, member)| self.candidate(&detector, name, member, leader_load))
            .collect()
    }

    fn candidate(
        &self,
        detector: &FailureDetector,
        name: &'a str,
        member: &'a MemberRecord,
        leader_load: usize,
    ) -> OwnerCandidate<'a> {
        let now_s = self.parts.context.uptime_s();
        let is_self = name == self.parts.context.member();
        let heartbeat = detector
            .last_heartbeat(name, now_s)
            .map(|last| last.heartbeat);
        let mean_lag_s = if is_self {
            self.parts.runtime_lag.mean_lag().as_secs_f64()
        } else {
            heartbeat.map_or(0.0, |h| h.lag_ms as f64 / 1000.0)
        };
        let busy_permille = if is_self {
            self.parts.peers.busy_permille()
        } else {
            heartbeat.map_or(0, |h| h.busy_permille)
        };
        let is_slow = detector.is_slow(name);
        let timing = detector.config().timing();
        OwnerCandidate {
            name,
            zone: &member.zone,
            eligible_for_moves: self.is_eligible_for_moves(detector, name, member),
            extra_load: if is_self { leader_load } else { 0 },
            trusted: !detector.is_suspected_by_majority(name) && !is_slow,
            slow: is_slow,
            has_headroom: timing.has_headroom(mean_lag_s, f64::from(busy_permille) / 1000.0),
        }
    }

    /// Whether a member may get shards only for balance. One that has just come back gets
    /// its zone after a pause, which grows if it is flapping; then step by step, the next
    /// shard when it has shown that it serves the last.
    fn is_eligible_for_moves(
        &self,
        detector: &FailureDetector,
        name: &str,
        member: &MemberRecord,
    ) -> bool {
        let now_s = self.parts.context.uptime_s();
        let timing = &self.parts.context.timing;
        let damping = &detector.damping;
        let pause_ms = (damping.delay_s(now_s, name) * 1000.0) as u64;
        let is_unproven = damping.departures(now_s, name) > 1
            || self.history.cut_off_within(name, timing.worker_lease);
        let step = timing.member_lease.max(timing.heartbeat);
        let is_proven = !is_unproven || !self.history.assigned_within(name, step);
        now_ms() > member.registered_ms + pause_ms && damping.is_eligible(now_s, name) && is_proven
    }
}
