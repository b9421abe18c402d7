//! Price factors of machine kinds that ran out, for each class of jobs.

use rushwalk_protocol::jobs::JobSpec;
use rushwalk_scheduler::Resources;
use rushwalk_scheduler::capacity::{CapacityEstimator, InstanceKind};
use rushwalk_scheduler::round::PendingJob;
use rushwalk_state::ClusterState;
use rushwalk_state::records::MachineTypes;
use std::collections::BTreeMap;

/// The largest factor by which a kind counts as more or less expensive.
const MAX_FACTOR: f64 = 4.0;

/// Two factors, for ordinary machines and for spot instances of one type.
type PriceFactors = [f64; 2];

/// The factors of each class of jobs, by machine type. Where no zone has more of a kind to
/// rent, its machines should serve the classes for which another kind would be the most
/// expensive: for the others they count as more expensive, by as much as those would lose less.
pub(crate) struct PriceBias {
    by_class: BTreeMap<String, Vec<PriceFactors>>,
}

impl PriceBias {
    /// The factors at this moment; none if nothing has run out.
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
        let mut by_class: BTreeMap<String, Vec<PriceFactors>> = BTreeMap::new();
        for arrivals in state.arrivals.values() {
            if let Some(latest) = arrivals.back() {
                let losses = losses(&latest.spec, types, &exhausted);
                by_class.insert(latest.spec.class.clone(), losses);
            }
        }
        let greatest = greatest_losses(by_class.values(), types.types.len());
        for factors in by_class.values_mut() {
            weigh(factors, &greatest, &exhausted);
        }
        PriceBias { by_class }
    }

    /// Sets the factors of a job.
    pub(crate) fn apply(&self, job: &mut PendingJob) {
        job.price_bias = self
            .by_class
            .get(&job.spec.class)
            .cloned()
            .unwrap_or_default();
    }
}

/// Which types have run out in all of their zones, as ordinary machines and as spot
/// instances.
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

/// What a job loses without a type: the least price of what is not exhausted over this
/// one's.
fn losses(spec: &JobSpec, types: &MachineTypes, exhausted: &[[bool; 2]]) -> Vec<PriceFactors> {
    let kinds = (0..types.types.len()).flat_map(|group| [(group, false), (group, true)]);
    let available = kinds.filter(|(group, spot)| !exhausted[*group][usize::from(*spot)]);
    let next_cost = available
        .filter_map(|(group, spot)| task_cost(spec, types, group, spot))
        .fold(f64::INFINITY, f64::min);
    let loss = |group: usize, spot: bool| {
        let cost = task_cost(spec, types, group, spot);
        let lost = cost.map_or(1.0, |cost| next_cost / cost.max(1e-9));
        lost.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    };
    (0..types.types.len())
        .map(|group| [loss(group, false), loss(group, true)])
        .collect()
}

/// What a task of a job costs on a type, an hour; `None` if the job can't use it.
fn task_cost(spec: &JobSpec, types: &MachineTypes, group: usize, spot: bool) -> Option<f64> {
    let machine_type = &types.types[group];
    let is_named = spec
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
        .filter(|_| is_named && fit > 0)
        .map(|price| price / f64::from(fit))
}

fn greatest_losses<'a>(
    losses: impl Iterator<Item = &'a Vec<PriceFactors>>,
    types: usize,
) -> Vec<PriceFactors> {
    let mut greatest = vec![[0.0f64; 2]; types];
    for each in losses {
        for (greatest, loss) in greatest.iter_mut().zip(each) {
            greatest[0] = greatest[0].max(loss[0]);
            greatest[1] = greatest[1].max(loss[1]);
        }
    }
    greatest
}

/// Converts the losses of a class into factors.
fn weigh(losses: &mut [PriceFactors], greatest: &[PriceFactors], exhausted: &[[bool; 2]]) {
    for (group, factors) in losses.iter_mut().enumerate() {
        for spot in [0, 1] {
            factors[spot] = if exhausted[group][spot] {
                greatest[group][spot] / factors[spot]
            } else {
                1.0
            };
        }
    }
}
