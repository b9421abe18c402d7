//! Sends committed rental requests to the cloud, and commits their outcomes.

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

/// Rounds until a machine kind that has run out is requested again for the first time; the pause
/// grows with repeated refusals.
const PROBE_PAUSE_ROUNDS: f64 = 6.0;

/// A rental that was decided but has not been requested from the cloud yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnsentRental {
    /// The leadership under which the rental was decided. While it lasts, no other controller can
    /// have requested the rental.
    pub leader: LeaderVersion,
    /// When the rental was decided, in seconds since the start of this process.
    pub decided_s: f64,
}

/// Rental state that is not part of the cluster state: it is kept in memory only and starts empty
/// with each process.
#[derive(Default)]
pub(crate) struct RentalState {
    /// Estimate, from the cloud's responses, of how many machines of each kind can be rented.
    pub capacity: CapacityEstimator,
    /// Rentals whose request waits for a slot or a response, or whose outcome is being committed.
    pub in_flight: BTreeSet<RentalId>,
    /// Rentals that were decided by this process and not requested yet.
    pub unsent: BTreeMap<RentalId, UnsentRental>,
    /// When machines were deleted, since the cloud's list still contains them for a while.
    pub deleted: HashMap<MachineId, Instant>,
}

/// The [`RentalState`], shared by the scheduler and the loops that call the cloud.
#[derive(Default)]
pub(crate) struct RentalTracker {
    state: Mutex<RentalState>,
}

impl RentalTracker {
    /// Locks the state. Where the cluster state is locked as well, that lock is taken first.
    pub(crate) fn state(&self) -> MutexGuard<'_, RentalState> {
        self.state.lock()
    }
}

/// The machine kind that a rental requests.
pub(crate) fn kind_of(request: &RentalRequest) -> InstanceKind {
    InstanceKind::new(
        request.machine_type.as_str(),
        request.zone.as_str(),
        request.spot,
    )
}

/// A rental, and the outcome of its request.
struct RentalResponse {
    rental: RentalId,
    request: RentalRequest,
    /// `None` if the request failed: the cloud may have carried it out or not.
    outcome: Option<RentOutcome>,
}

/// Requests rentals from the cloud while this process leads.
#[derive(Clone)]
pub(crate) struct Rentals {
    /// Dependencies of this loop.
    pub parts: CloudLoopParts,
}

impl Rentals {
    /// Requests open rentals concurrently until the process ends. All outcomes that have arrived
    /// since the last commit are committed together.
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
            // A rental that is still open, because its outcome is unknown or was not committed,
            // is requested again with the same id: the request is idempotent.
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
                    // Sending fails only if the receiving loop has ended; the response is not
                    // needed then.
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
            // If the kind has run out since the rental was decided, the rental is refused without
            // a call. That is safe because it was never requested.
            unsent.is_some_and(|unsent| {
                unsent.leader == version
                    && tracked.capacity.exhausted_since(&kind, unsent.decided_s)
            })
        };
        let outcome = if is_exhausted {
            Some(RentOutcome::OutOfCapacity)
        } else {
            self.send_request(&rental, &request, &kind).await
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

    async fn send_request(
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
                // If the request was sent, the cloud may have carried it out. While the rental is
                // open, the request is sent again with the same id.
                tracing::info!(
                    rental = &**rental,
                    %error,
                    "rental request failed; retrying with the same id while the rental is open"
                );
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
            "cloud responded to rental request"
        );
        self.record_response(kind, requested, rented);
        Some(outcome)
    }

    /// Updates the estimate of how many machines of a kind can be rented, after a response that
    /// brought `rented` of `requested` machines.
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

    /// The mutations that record the known outcomes of rentals and assign rented machines to
    /// shards.
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
