//! Estimate of what the cloud has to rent, and which rental calls are worth making when
//! there are fewer calls than needs.
//!
//! The cloud publishes no capacity. It shows when a request is refused or filled in part
//! only: then what we have of that kind is all there is, until some of it is given back or
//! a probe after a pause finds more.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

/// What can be rented: a machine type, in a zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceKind {
    /// Name of the machine type.
    pub machine_type: Arc<str>,
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub spot: bool,
}

impl InstanceKind {
    /// A kind by the names of its type and zone.
    pub fn new(
        machine_type: impl Into<Arc<str>>,
        zone: impl Into<Arc<str>>,
        spot: bool,
    ) -> InstanceKind {
        InstanceKind {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
        }
    }
}

/// What a refusal showed. Times are in seconds of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ObservedCapacity {
    /// The number of machines that we can have.
    limit: u32,
    /// When that was last observed.
    observed_s: f64,
    /// When to probe for more.
    next_probe_s: f64,
    /// Refusals in a row; several calls refused before the next probe count as one.
    refusals: u32,
}

/// Estimates how many machines of each kind can be had.
#[derive(Debug, Default)]
pub struct CapacityEstimator {
    /// Only kinds that have run out.
    exhausted: BTreeMap<InstanceKind, ObservedCapacity>,
}

/// The pause before the next probe doubles at most this many times.
const MAX_DOUBLINGS: u32 = 3;

impl CapacityEstimator {
    /// Records the response to a rental call at `now_s`: it asked for `requested` machines
    /// and got `granted`, beside the `owned` that we had. `pause_s` is how long to wait
    /// before the first probe.
    pub fn record_response(
        &mut self,
        kind: &InstanceKind,
        requested: u32,
        granted: u32,
        owned: u32,
        now_s: f64,
        pause_s: f64,
    ) {
        let previous = self.exhausted.get(kind).copied();
        let available = owned + granted;
        if granted >= requested {
            // More than the last limit: it holds no longer.
            if previous.is_some_and(|observed| available > observed.limit) {
                self.exhausted.remove(kind);
            }
            return;
        }
        let (next_probe_s, refusals) = match previous {
            // Several calls for one kind may be refused one after the other: that is one
            // observation.
            Some(observed) if now_s < observed.next_probe_s => {
                (observed.next_probe_s, observed.refusals)
            }
            _ => {
                let refusals = previous.map_or(0, |observed| observed.refusals);
                let pause_s = pause_s * f64::from(1u32 << refusals.min(MAX_DOUBLINGS));
                (now_s + pause_s, refusals + 1)
            }
        };
        let observed = ObservedCapacity {
            limit: available,
            observed_s: now_s,
            next_probe_s,
            refusals,
        };
        self.exhausted.insert(kind.clone(), observed);
    }

    /// Whether a kind was observed to run out after `time_s`.
    pub fn exhausted_since(&self, kind: &InstanceKind, time_s: f64) -> bool {
        let observed = self.exhausted.get(kind);
        observed.is_some_and(|observed| observed.observed_s > time_s)
    }

    /// Records that we have `owned` machines of a kind, so that there are as many.
    pub fn record_owned(&mut self, kind: &InstanceKind, owned: u32) {
        if let Some(observed) = self.exhausted.get_mut(kind) {
            observed.limit = observed.limit.max(owned);
        }
    }

    /// How many more machines may be requested at `now_s`. `owned` includes those being
    /// requested; `probe` is how many beyond the limit a probe requests.
    pub fn headroom(&self, kind: &InstanceKind, owned: u32, now_s: f64, probe: u32) -> u32 {
        let Some(observed) = self.exhausted.get(kind) else {
            return u32::MAX;
        };
        let limit = if now_s >= observed.next_probe_s {
            observed.limit + probe
        } else {
            observed.limit
        };
        limit.saturating_sub(owned)
    }

    /// Whether all there is of a kind is ours, as far as is known.
    pub fn is_exhausted(&self, kind: &InstanceKind) -> bool {
        self.exhausted.contains_key(kind)
    }
}

/// How many machines of a kind are missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shortfall {
    /// For pending tasks.
    pub pending: u32,
    /// For pending tasks and for those that are only expected.
    pub total: u32,
}

impl Shortfall {
    /// The part of it that one call of at most `call_size` machines would cover.
    fn covered_by_call(&self, call_size: u32) -> Shortfall {
        Shortfall {
            pending: self.pending.min(call_size),
            total: self.total.min(call_size),
        }
    }
}

/// One rental call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalCall {
    /// What to rent.
    pub kind: InstanceKind,
    /// How many machines.
    pub count: u32,
}

/// The rental calls to make next, at most `max_calls` of at most `call_size` machines each:
/// those that bring most for pending tasks, then for expected ones. What they bring is
/// taken from `shortfalls`.
pub fn plan_rental_calls(
    shortfalls: &mut BTreeMap<InstanceKind, Shortfall>,
    max_calls: usize,
    call_size: u32,
) -> Vec<RentalCall> {
    let mut calls = Vec::new();
    while calls.len() < max_calls {
        let largest = shortfalls
            .iter_mut()
            .max_by_key(|(_, shortfall)| shortfall.covered_by_call(call_size))
            .filter(|(_, shortfall)| shortfall.total > 0);
        let Some((kind, shortfall)) = largest else {
            break;
        };
        let count = shortfall.total.min(call_size);
        shortfall.total -= count;
        shortfall.pending = shortfall.pending.saturating_sub(count);
        calls.push(RentalCall {
            kind: kind.clone(),
            count,
        });
    }
    shortfalls.retain(|_, shortfall| shortfall.total > 0);
    calls
}
