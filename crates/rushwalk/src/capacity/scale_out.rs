//! Scale out: rents the machines that a scheduling round found to be missing.

use super::rentals::{RentalTracker, UnsentRental};
use crate::context::Context;
use crate::leadership::LeaderVersion;
use rushwalk_protocol::cloud::MAX_RENT;
use rushwalk_protocol::ids::RentalId;
use rushwalk_scheduler::capacity::{InstanceKind, Shortfall, plan_rental_calls};
use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_state::mutation::RequestRental;
use rushwalk_state::records::{MachineTypes, RentalRequest};
use rushwalk_state::{Mutation, UnixMillis};
use std::collections::BTreeMap;
use std::time::Duration;

/// The scheduling round for which rentals are decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RentalBasis {
    /// The leadership under which the round was made.
    pub leader: LeaderVersion,
    /// When the round began, in milliseconds since the Unix epoch.
    pub began_ms: UnixMillis,
    /// The number of machines in the round after the pending jobs were planned, including those
    /// to rent for them. Machines added after these are for expected jobs only.
    pub machines_for_pending: usize,
}

/// Which jobs a round has planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlannedDemand {
    /// The round has planned only jobs that are pending now.
    Pending,
    /// The round has planned jobs that are pending now, and jobs that are expected to be submitted.
    PendingAndExpected,
}

/// Decides rentals, and keeps the shortfall that is not covered yet.
#[derive(Default)]
pub(crate) struct ScaleOut {
    /// Missing machines for which no rental was decided yet, by kind.
    shortfall: BTreeMap<InstanceKind, Shortfall>,
}

impl ScaleOut {
    /// Decides rentals for the shortfall, limited to the calls that can be made until the next
    /// round, less those in flight. The time until the next round is taken to be the longer of
    /// the round interval and the duration `took` of this round.
    ///
    /// Without that limit, requests waited in a queue, many of them for kinds that had been
    /// refused meanwhile, and delayed the requests that were needed by then.
    pub(crate) fn rent(
        &mut self,
        context: &Context,
        tracker: &RentalTracker,
        calls_per_s: f64,
        took: Duration,
        basis: RentalBasis,
    ) -> Vec<Mutation> {
        let span = context.timing.round.max(took);
        let calls = (calls_per_s * span.as_secs_f64()).ceil() as usize;
        let mut tracked = tracker.state();
        let free_calls = calls.saturating_sub(tracked.in_flight.len());
        let mut mutations = Vec::new();
        for call in plan_rental_calls(&mut self.shortfall, free_calls, MAX_RENT) {
            let kind = call.kind;
            let request = RentalRequest {
                machine_type: kind.machine_type.to_string(),
                zone: kind.zone.to_string(),
                spot: kind.spot,
                count: call.count,
                requested_ms: basis.began_ms,
            };
            tracing::info!(?request, "scale out: renting");
            let rental: RentalId = format!("r-{:x}", rushwalk_random::random_u64()).into();
            let unsent = UnsentRental {
                leader: basis.leader,
                decided_s: context.uptime_s(),
            };
            tracked.unsent.insert(rental.clone(), unsent);
            mutations.push(Mutation::RequestRental(RequestRental { rental, request }));
        }
        mutations
    }

    /// Updates the shortfall with that of a round, in which machines from index
    /// `machines_for_pending` on are for expected jobs only. Expected jobs are not planned in every
    /// round, so their shortfall is kept until they are planned again.
    pub(crate) fn update_shortfall(
        &mut self,
        round: &SchedulingRound,
        types: &MachineTypes,
        machines_for_pending: usize,
        demand: PlannedDemand,
    ) {
        for shortfall in self.shortfall.values_mut() {
            shortfall.pending = 0;
            if demand == PlannedDemand::PendingAndExpected {
                shortfall.total = 0;
            }
        }
        for (kind, found) in shortfall_by_kind(round, types, machines_for_pending) {
            let shortfall = self.shortfall.entry(kind).or_default();
            shortfall.pending = found.pending;
            shortfall.total = shortfall.total.max(found.total);
        }
        self.shortfall.retain(|_, shortfall| shortfall.total > 0);
    }
}

/// The machines that a round plans to rent, by kind.
fn shortfall_by_kind(
    round: &SchedulingRound,
    types: &MachineTypes,
    machines_for_pending: usize,
) -> BTreeMap<InstanceKind, Shortfall> {
    let mut found: BTreeMap<InstanceKind, Shortfall> = BTreeMap::new();
    let rentals = round
        .machines
        .iter()
        .enumerate()
        .skip(round.first_planned_rental);
    for (index, machine) in rentals {
        let name = types.types[machine.type_index].name.as_str();
        let zone = round.zones[machine.zone].clone();
        let shortfall = found
            .entry(InstanceKind::new(name, zone, machine.spot))
            .or_default();
        shortfall.total += 1;
        shortfall.pending += u32::from(index < machines_for_pending);
    }
    found
}
