//! Selection of the controllers that may own shards, with the load and health of each. A
//! controller that is registered in the cluster's state is called a member.

use super::inputs::InputGatherer;
use crate::clock::now_ms;
use rushwalk_failure_detector::FailureDetector;
use rushwalk_scheduler::shard_assignment::OwnerCandidate;
use rushwalk_state::records::MemberRecord;

/// A member is flapping if flap damping counts more departures of it than this, and its damping
/// delay is not over. A flapping member gets no shards if fewer than half of the members are
/// flapping.
const MAX_DEPARTURES: usize = 2;

impl<'a> InputGatherer<'a> {
    /// The members that may own shards, sorted by name. Leaves out flapping members and those
    /// that have lost their shards by being declared failed, even if their member lease has not
    /// expired.
    pub(super) fn eligible_members(&self) -> Vec<(&'a String, &'a MemberRecord)> {
        let detector = self.parts.peers.detector();
        let now_s = self.parts.context.uptime_s();
        // A member in a crash loop may end before the workers of a new shard have found it. If
        // half of the members or more are flapping, none is left out: the others could not
        // serve all machines.
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
        // Leading costs about as much as owning half as many machines as each member would own if
        // they were shared equally.
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

    /// Whether a member may get shards that have a working owner. A member that has just
    /// registered must wait for the damping delay, which grows with its recent departures; only
    /// then are the shards of its zone moved back to it. A member that departed more than once,
    /// or was recently cut off from its machines, then gets at most one shard per member lease,
    /// or per heartbeat interval if that is longer: it must serve one shard before it gets the
    /// next.
    fn is_eligible_for_moves(
        &self,
        detector: &FailureDetector,
        name: &str,
        member: &MemberRecord,
    ) -> bool {
        let now_s = self.parts.context.uptime_s();
        let timing = &self.parts.context.timing;
        let damping = &detector.damping;
        let delay_ms = (damping.delay_s(now_s, name) * 1000.0) as u64;
        let is_unstable = damping.departures(now_s, name) > 1
            || self.history.cut_off_within(name, timing.worker_lease);
        let gain_interval = timing.member_lease.max(timing.heartbeat);
        let may_gain_now = !is_unstable || !self.history.gained_within(name, gain_interval);
        now_ms() > member.registered_ms + delay_ms
            && damping.is_eligible(now_s, name)
            && may_gain_now
    }
}
