//! Requests the rentals that were committed, and commits their outcomes.

use super::CloudLoopParts;
use super::shard_allocation::ShardAllocator;
use crate::leadership::LeaderVersion;
use crate::store::WritePriority;
use parking_lot::{Mutex, MutexGuard};
use rushwalk_clients::cloud::RentOutcome;
use rushwalk_protocol::cloud::RentRequest;
use rushwalk_protocol::ids::{MachineId, RentalId};
use rushwalk_scheduler::capacity::{CapacityEstimator, InstanceKind};
use rushwalk_state::Mutation;
use rushwalk_state::mutation::{RentalFulfilled, RentedMachine};
use rushwalk_state::records::RentalRequest;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Rounds to wait before a kind that ran out is asked for again.
const PROBE_PAUSE_ROUNDS: f64 = 6.0;

/// A rental that was never requested from the cloud.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnsentRental {
    /// The leadership under which it was decided: no other controller can have requested it.
    pub leader: LeaderVersion,
    /// When it was decided, in seconds since the start of this process.
    pub decided_s: f64,
}

/// What is known of rentals beyond the cluster's state. It starts empty with each process.
#[derive(Default)]
pub(crate) struct RentalState {
    /// What the cloud has to rent, as far as its responses show.
    pub capacity: CapacityEstimator,
    /// Rentals whose request is in flight.
    pub in_flight: BTreeSet<RentalId>,
    /// Rentals that were decided but never requested.
    pub unsent: BTreeMap<RentalId, UnsentRental>,
    /// Deleted machines, which the cloud's list still shows for a while.
    pub deleted: HashMap<MachineId, Instant>,
}

/// The rental state, shared by all that deal with the cloud.
#[derive(Default)]
pub(crate) struct RentalTracker {
    state: Mutex<RentalState>,
}

impl RentalTracker {
    /// The state. The lock is taken after that of the cluster's state, if both are.
    pub(crate) fn state(&self) -> MutexGuard<'_, RentalState> {
        self.state.lock()
    }
}

/// The kind of machine that a rental asks for.
pub(crate) fn kind_of(request: &RentalRequest) -> InstanceKind {
    InstanceKind::new(
        request.machine_type.as_str(),
        request.zone.as_str(),
        request.spot,
    )
}

/// A rental with what the cloud answered; `None` if that is not known.
struct RentalResponse {
    rental: RentalId,
    request: RentalRequest,
    outcome: Option<RentOutcome>,
}

/// Requests rentals while this process leads.
#[derive(Clone)]
pub(crate) struct Rentals {
    /// The parts it uses.
    pub parts: CloudLoopParts,
}

impl Rentals {
    /// Requests rentals side by side, and commits their outcomes together, until the process ends.
    pub(crate) async fn run(self) {
        let (responses, mut received) = mpsc::unbounded_channel::<RentalResponse>();
        loop {
            sleep(self.parts.context.timing.round / 8).await;
            let version = self.parts.leadership.current_version();
            let mut answered = Vec::new();
            while let Ok(response) = received.try_recv() {
                answered.push(response);
            }
            if let Some(version) = version
                && !answered.is_empty()
            {
                let mutations = self.outcomes(&answered);
                self.parts
                    .leadership
                    .append(version, &mutations, WritePriority::Scheduling)
                    .await;
            }
            // Rentals that are still open are requested again under the same name: the
            // request is idempotent.
            for response in &answered {
                self.parts
                    .tracker
                    .state()
                    .in_flight
                    .remove(&response.rental);
            }
            if let Some(version) = version {
                self.request_open(version, &responses);
            }
        }
    }

    /// Requests the rentals that are open and not in flight.
    fn request_open(
        &self,
        version: LeaderVersion,
        responses: &mpsc::UnboundedSender<RentalResponse>,
    ) {
        let state = self.parts.replica.state();
        let mut tracked = self.parts.tracker.state();
        tracked.unsent.retain(|_, unsent| unsent.leader == version);
        for (rental, request) in &state.rentals {
            if tracked.in_flight.insert(rental.clone()) {
                let (rental, request) = (rental.clone(), request.clone());
                let responses = responses.clone();
                let rentals = self.clone();
                tokio::spawn(async move {
                    let response = rentals.request(version, rental, request).await;
                    // Nobody waits for it once the loop has ended.
                    let _ = responses.send(response);
                });
            }
        }
    }

    async fn request(
        self,
        version: LeaderVersion,
        rental: RentalId,
        request: RentalRequest,
    ) -> RentalResponse {
        self.parts.cloud.wait_for_slot().await;
        let kind = kind_of(&request);
        let is_exhausted = {
            let mut tracked = self.parts.tracker.state();
            let unsent = tracked.unsent.remove(&rental);
            // Its kind ran out since: never requested, it can simply be dropped.
            unsent.is_some_and(|unsent| {
                unsent.leader == version
                    && tracked.capacity.exhausted_since(&kind, unsent.decided_s)
            })
        };
        let outcome = if is_exhausted {
            Some(RentOutcome::OutOfCapacity)
        } else {
            self.ask_cloud(&rental, &request, &kind).await
        };
        if outcome.is_none() {
            sleep(self.parts.context.timing.round).await;
        }
        RentalResponse {
            rental,
            request,
            outcome,
        }
    }

    async fn ask_cloud(
        &self,
        rental: &RentalId,
        request: &RentalRequest,
        kind: &InstanceKind,
    ) -> Option<RentOutcome> {
        let rent = RentRequest {
            request: rental.to_string(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            count: request.count,
        };
        let outcome = match self.parts.cloud.rent(&rent).await {
            Ok(outcome) => outcome,
            Err(error) => {
                // It may have been carried out: requested again under the same name.
                tracing::info!(rental = &**rental, %error, "rental unanswered");
                return None;
            }
        };
        let rented = match &outcome {
            RentOutcome::Machines(machines) => machines.len() as u32,
            RentOutcome::OutOfCapacity | RentOutcome::Malformed => 0,
        };
        let requested = request.count;
        tracing::info!(
            rental = &**rental,
            rented,
            requested,
            ?kind,
            "rental answered"
        );
        self.record_response(kind, requested, rented);
        Some(outcome)
    }

    /// Records how many machines of a kind the cloud had, for the estimate of its capacity.
    fn record_response(&self, kind: &InstanceKind, requested: u32, rented: u32) {
        let owned = self.parts.replica.state().count_of_kind(kind);
        let pause_s = PROBE_PAUSE_ROUNDS * self.parts.context.timing.round.as_secs_f64();
        let now_s = self.parts.context.uptime_s();
        self.parts
            .tracker
            .state()
            .capacity
            .record_response(kind, requested, rented, owned, now_s, pause_s);
    }

    /// The outcomes of rentals, with shards for the rented machines.
    fn outcomes(&self, responses: &[RentalResponse]) -> Vec<Mutation> {
        let state = self.parts.replica.state();
        let mut allocator = ShardAllocator::new(&state, self.parts.context.controllers());
        let mut mutations = Vec::new();
        for response in responses {
            let rental = response.rental.clone();
            match &response.outcome {
                None => {}
                Some(RentOutcome::Machines(names)) => {
                    let shards = allocator.allocate(&response.request.zone, names.len());
                    let machines = names.iter().zip(shards);
                    let machines = machines.map(|(name, shard)| RentedMachine {
                        machine: name.as_str().into(),
                        shard,
                    });
                    mutations.push(Mutation::RentalFulfilled(RentalFulfilled {
                        rental,
                        machines: machines.collect(),
                    }));
                }
                Some(RentOutcome::OutOfCapacity | RentOutcome::Malformed) => {
                    mutations.push(Mutation::RentalRefused(rental));
                }
            }
        }
        mutations
    }
}
