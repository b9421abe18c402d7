//! Estimates how many machines of each kind can be rented from the cloud, and plans rental
//! calls when the cloud's rate limit allows fewer calls than are needed.
//!
//! The cloud publishes no capacity. A rental call that is refused, or granted only in part,
//! shows that the kind is exhausted: the number of machines rented so far is then taken as
//! the limit. Machines that are returned may be rented again, and after a pause a probe beyond
//! the limit shows whether there is more.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

/// A kind of machine that can be rented: a machine type in a zone, spot or on demand.
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
    /// Creates a kind from the names of a machine type and a zone.
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

/// The capacity of a kind as shown by refused or partly granted calls. Times are in seconds of
/// the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ObservedCapacity {
    /// Largest number of machines that can be rented at the same time.
    limit: u32,
    /// Time of the latest refusal.
    observed_s: f64,
    /// Time from which a call beyond the limit may be made.
    next_probe_s: f64,
    /// Number of refusals since the kind became exhausted. Calls refused before `next_probe_s`
    /// don't add to it.
    refusals: u32,
}

/// Estimates how many machines of each kind can be rented.
#[derive(Debug, Default)]
pub struct CapacityEstimator {
    /// The kinds that are exhausted; for all others no limit is known.
    exhausted: BTreeMap<InstanceKind, ObservedCapacity>,
}

/// The pause before the next probe doubles with each refusal, at most this many times.
const MAX_DOUBLINGS: u32 = 3;

impl CapacityEstimator {
    /// Records the response to a rental call at `now_s`. The call requested `requested`
    /// machines of the kind and the cloud granted `granted`; `owned` is the number of machines of
    /// the kind that were rented without this call. `first_pause_s` is the time between the
    /// first refusal and the first probe.
    pub fn record_response(
        &mut self,
        kind: &InstanceKind,
        requested: u32,
        granted: u32,
        owned: u32,
        now_s: f64,
        first_pause_s: f64,
    ) {
        let previous = self.exhausted.get(kind).copied();
        let available = owned + granted;
        if granted >= requested {
            // The cloud granted more than the last limit, so that limit is obsolete.
            if previous.is_some_and(|observed| available > observed.limit) {
                self.exhausted.remove(kind);
            }
            return;
        }
        let (next_probe_s, refusals) = match previous {
            // Several calls for one kind may be in progress and be refused one after the
            // other. Together they count as one refusal.
            Some(observed) if now_s < observed.next_probe_s => {
                (observed.next_probe_s, observed.refusals)
            }
            _ => {
                let refusals = previous.map_or(0, |observed| observed.refusals);
                let pause_s = first_pause_s * f64::from(1u32 << refusals.min(MAX_DOUBLINGS));
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

    /// Whether a rental call for a kind was refused, in full or in part, after `time_s`.
    pub fn exhausted_since(&self, kind: &InstanceKind, time_s: f64) -> bool {
        let observed = self.exhausted.get(kind);
        observed.is_some_and(|observed| observed.observed_s > time_s)
    }

    /// Records that `owned` machines of a kind are rented now: its limit is at least that.
    pub fn record_owned(&mut self, kind: &InstanceKind, owned: u32) {
        if let Some(observed) = self.exhausted.get_mut(kind) {
            observed.limit = observed.limit.max(owned);
        }
    }

    /// How many more machines of a kind may be requested at `now_s`; [`u32::MAX`] if no limit
    /// is known. `owned` is the number of machines rented or already requested; `probe_size`
    /// is how many machines beyond the limit may be requested when a probe is due.
    pub fn headroom(&self, kind: &InstanceKind, owned: u32, now_s: f64, probe_size: u32) -> u32 {
        let Some(observed) = self.exhausted.get(kind) else {
            return u32::MAX;
        };
        let limit = if now_s >= observed.next_probe_s {
            observed.limit + probe_size
        } else {
            observed.limit
        };
        limit.saturating_sub(owned)
    }

    /// Whether a kind is exhausted: a call was refused, in full or in part, and no later call
    /// was granted in full that brought the number of machines above the known limit.
    pub fn is_exhausted(&self, kind: &InstanceKind) -> bool {
        self.exhausted.contains_key(kind)
    }
}

/// Number of machines of one kind that should be rented.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shortfall {
    /// Machines for pending tasks.
    pub pending: u32,
    /// Machines for pending tasks and for tasks that are expected to arrive.
    pub total: u32,
}

impl Shortfall {
    /// The part of the shortfall that one call for at most `call_size` machines would cover.
    fn covered_by_call(&self, call_size: u32) -> Shortfall {
        Shortfall {
            pending: self.pending.min(call_size),
            total: self.total.min(call_size),
        }
    }
}

/// A call that requests machines of one kind from the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalCall {
    /// Kind of the machines to rent.
    pub kind: InstanceKind,
    /// Number of machines to rent.
    pub count: u32,
}

/// Plans the next rental calls: at most `max_calls`, each for at most `call_size` machines.
/// Calls that cover more machines for pending tasks come first; of those that cover equally
/// many, the one that covers more machines in total. The covered machines are subtracted from
/// `shortfalls`, and kinds without a remaining shortfall are removed.
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
