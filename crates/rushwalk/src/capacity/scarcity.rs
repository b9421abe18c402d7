//! Price factors that keep scarce machines for the job classes that need them most. Machines are
//! scarce while their kind is exhausted, which means that no more of it can be rented.

use rushwalk_protocol::jobs::JobSpec;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::capacity::{CapacityEstimator, InstanceKind};
use rushwalk_scheduler::round::PendingJob;
use rushwalk_state::ClusterState;
use rushwalk_state::records::MachineTypes;
use std::collections::BTreeMap;

/// Upper limit of a loss (see [`losses`]); the lower limit is its reciprocal.
const MAX_LOSS: f64 = 4.0;

/// Two values for one machine type: the first for its on-demand machines, the second for its spot
/// instances. They are losses (see [`losses`]) until [`losses_to_factors`] replaces them with price
/// factors.
type PurchaseOptionValues = [f64; 2];

/// The factors on the prices of machines for the jobs of each class, see
/// [`PendingJob::price_bias`]. If no more machines of a type can be rented in any zone, those in
/// the fleet should run the classes that lose most without them (see [`losses`]). For any class,
/// their price is therefore multiplied by the greatest loss of all classes and divided by the loss
/// of that class.
pub(crate) struct PriceBias {
    /// By job class; the factors are indexed by machine type. Empty if no kind is exhausted.
    by_class: BTreeMap<String, Vec<PurchaseOptionValues>>,
}

impl PriceBias {
    /// Computes the factors from the current state. If no kind is exhausted, no class gets factors.
    pub(crate) fn new(
        state: &ClusterState,
        capacity: &CapacityEstimator,
        types: &MachineTypes,
    ) -> PriceBias {
        let exhausted = exhausted_types(capacity, types);
        if !exhausted.iter().flatten().any(|is_exhausted| *is_exhausted) {
            return PriceBias {
                by_class: BTreeMap::new(),
            };
        }
        let mut by_class: BTreeMap<String, Vec<PurchaseOptionValues>> = BTreeMap::new();
        for arrivals in state.arrivals.values() {
            if let Some(latest) = arrivals.back() {
                let losses = losses(&latest.spec, types, &exhausted);
                by_class.insert(latest.spec.class.clone(), losses);
            }
        }
        let greatest = greatest_losses(by_class.values(), types.types.len());
        for factors in by_class.values_mut() {
            losses_to_factors(factors, &greatest, &exhausted);
        }
        PriceBias { by_class }
    }

    /// Sets the price factors of a job by its class; a job of a class without factors gets none.
    pub(crate) fn apply(&self, job: &mut PendingJob) {
        job.price_bias = self
            .by_class
            .get(&job.spec.class)
            .cloned()
            .unwrap_or_default();
    }
}

/// For each machine type, whether it is exhausted in all of its zones: on demand, and as a spot
/// instance.
fn exhausted_types(capacity: &CapacityEstimator, types: &MachineTypes) -> Vec<[bool; 2]> {
    let types = types.types.iter();
    types
        .map(|machine_type| {
            [false, true].map(|spot| {
                machine_type.zones.iter().all(|zone| {
                    let name = machine_type.name.as_str();
                    capacity.is_exhausted(&InstanceKind::new(name, zone.as_str(), spot))
                })
            })
        })
        .collect()
}

/// The factor by which a job's tasks would cost more without a machine type: the lowest cost of a
/// task among the kinds that are not exhausted, divided by its cost on this type. It is limited to
/// the range from `1 / MAX_LOSS` to `MAX_LOSS`, and 1 for a type that the job can't use.
fn losses(
    spec: &JobSpec,
    types: &MachineTypes,
    exhausted: &[[bool; 2]],
) -> Vec<PurchaseOptionValues> {
    let kinds =
        (0..types.types.len()).flat_map(|type_index| [(type_index, false), (type_index, true)]);
    let available = kinds.filter(|(type_index, spot)| !exhausted[*type_index][usize::from(*spot)]);
    let next_cost = available
        .filter_map(|(type_index, spot)| task_cost(spec, types, type_index, spot))
        .fold(f64::INFINITY, f64::min);
    let loss = |type_index: usize, spot: bool| {
        let cost = task_cost(spec, types, type_index, spot);
        let ratio = cost.map_or(1.0, |cost| next_cost / cost.max(1e-9));
        ratio.clamp(1.0 / MAX_LOSS, MAX_LOSS)
    };
    (0..types.types.len())
        .map(|type_index| [loss(type_index, false), loss(type_index, true)])
        .collect()
}

/// Cost of one task of a job per hour, on a machine that is filled with such tasks; `None` if the
/// job can't use the type.
fn task_cost(spec: &JobSpec, types: &MachineTypes, type_index: usize, spot: bool) -> Option<f64> {
    let machine_type = &types.types[type_index];
    let is_allowed = spec
        .types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    let price = if spot {
        machine_type.spot_price.filter(|_| spec.spot)
    } else {
        Some(machine_type.price)
    };
    let task = Resources::of_task(spec);
    let fit = task.count_in(&Resources::of_type(machine_type), u32::MAX);
    price
        .filter(|_| is_allowed && fit > 0)
        .map(|price| price / f64::from(fit))
}

/// The greatest loss of any class, for each machine type.
fn greatest_losses<'a>(
    losses: impl Iterator<Item = &'a Vec<PurchaseOptionValues>>,
    types: usize,
) -> Vec<PurchaseOptionValues> {
    let mut greatest = vec![[0.0f64; 2]; types];
    for class_losses in losses {
        for (greatest, loss) in greatest.iter_mut().zip(class_losses) {
            greatest[0] = greatest[0].max(loss[0]);
            greatest[1] = greatest[1].max(loss[1]);
        }
    }
    greatest
}

/// Converts the losses of a class into price factors; the factor of a kind that is not exhausted
/// is 1.
fn losses_to_factors(
    losses: &mut [PurchaseOptionValues],
    greatest: &[PurchaseOptionValues],
    exhausted: &[[bool; 2]],
) {
    for (type_index, factors) in losses.iter_mut().enumerate() {
        for spot in [0, 1] {
            factors[spot] = if exhausted[type_index][spot] {
                greatest[type_index][spot] / factors[spot]
            } else {
                1.0
            };
        }
    }
}
