//! What to rent: the machines that a scheduling round found lacking.

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

/// What a round decides its rentals by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RentalBasis {
    /// The leadership of the round.
    pub leader: LeaderVersion,
    /// When the round began.
    pub began_ms: UnixMillis,
    /// Of the round's machines, so many there are with those lacking for what waits.
    pub for_waiting: usize,
}

/// Whether a round has also looked at what is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DemandSeen {
    /// Only what waits.
    Waiting,
    /// What waits and what is expected.
    WaitingAndExpected,
}

/// Machines found lacking that no rental was decided for yet.
#[derive(Default)]
pub(crate) struct ScaleOut {
    shortfall: BTreeMap<InstanceKind, Shortfall>,
}

impl ScaleOut {
    /// Rentals for what a round found lacking, as far as there are calls until the next
    /// round, which comes the later the longer this one took (`took`).
    ///
    /// What was wished for beyond them used to stand in a queue of requests, many of them
    /// for kinds refused meanwhile, in front of what was needed by then.
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

    /// Takes in the machines that a round found lacking: those beyond `for_waiting` are for
    /// what is only expected. That is not looked at in each round, so what was lacking for
    /// it last time still is, unless it was seen anew.
    pub(crate) fn update_shortfall(
        &mut self,
        round: &SchedulingRound,
        types: &MachineTypes,
        for_waiting: usize,
        seen: DemandSeen,
    ) {
        for shortfall in self.shortfall.values_mut() {
            shortfall.pending = 0;
            if seen == DemandSeen::WaitingAndExpected {
                shortfall.total = 0;
            }
        }
        for (kind, found) in found_lacking(round, types, for_waiting) {
            let shortfall = self.shortfall.entry(kind).or_default();
            shortfall.pending = found.pending;
            shortfall.total = shortfall.total.max(found.total);
        }
        self.shortfall.retain(|_, shortfall| shortfall.total > 0);
    }
}

fn found_lacking(
    round: &SchedulingRound,
    types: &MachineTypes,
    for_waiting: usize,
) -> BTreeMap<InstanceKind, Shortfall> {
    let mut found: BTreeMap<InstanceKind, Shortfall> = BTreeMap::new();
    let rentals = round.machines.iter().enumerate().skip(round.first_rental);
    for (index, machine) in rentals {
        let name = types.types[machine.group].name.as_str();
        let zone = round.zones[machine.zone].clone();
        let shortfall = found
            .entry(InstanceKind::new(name, zone, machine.spot))
            .or_default();
        shortfall.total += 1;
        shortfall.pending += u32::from(index < for_waiting);
    }
    found
}
