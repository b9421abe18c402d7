//! What is known of what the cloud has to rent, and which calls are worth making
//! when there are fewer calls than wishes.
//!
//! The cloud publishes no capacity. It shows when a request is refused or filled
//! in part only: then what we have of that kind is all there is, until some of it
//! goes back or a probe after a pause finds more.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Something that can be rented: a type of machine, in a zone, spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceKind {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
}

impl InstanceKind {
    pub fn new(name: impl Into<Arc<str>>, zone: impl Into<Arc<str>>, spot: bool) -> InstanceKind {
        InstanceKind {
            machine_type: name.into(),
            zone: zone.into(),
            spot,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ObservedCapacity {
    /// So many there are for us.
    most: u32,
    /// When that last showed.
    at: f64,
    /// When to probe for more, and how often in a row that found nothing.
    probe: f64,
    times: u32,
}

#[derive(Debug, Default)]
pub struct CapacityEstimator {
    known: BTreeMap<InstanceKind, ObservedCapacity>,
}

/// The pause after a refusal doubles so often at most.
const DOUBLED: u32 = 3;

impl CapacityEstimator {
    /// A call was answered: `got` of `asked`. `ours` are the machines we had, and
    /// `pause_s` is how long to wait before the first probe.
    pub fn record_response(
        &mut self,
        kind: &InstanceKind,
        asked: u32,
        got: u32,
        ours: u32,
        now: f64,
        pause_s: f64,
    ) {
        let known = self.known.get(kind).copied();
        if got >= asked {
            // More than was known to be there: then nothing is known any more.
            if known.is_some_and(|k| ours + got > k.most) {
                self.known.remove(kind);
            }
            return;
        }
        let times = known.map_or(0, |k| k.times);
        // Several calls for one kind may be refused one behind the other: that
        // is one piece of news.
        let again = known.is_none_or(|k| now >= k.probe);
        let (probe, times) = match (known, again) {
            (Some(k), false) => (k.probe, k.times),
            _ => {
                let pause = pause_s * f64::from(1u32 << times.min(DOUBLED));
                (now + pause, times + 1)
            }
        };
        let most = ours + got;
        let known = ObservedCapacity {
            most,
            at: now,
            probe,
            times,
        };
        self.known.insert(kind.clone(), known);
    }

    /// Whether a kind ran out after a time.
    pub fn exhausted_since(&self, kind: &InstanceKind, time: f64) -> bool {
        self.known.get(kind).is_some_and(|k| k.at > time)
    }

    /// We have so many of a kind, so there are as many.
    pub fn record_owned(&mut self, kind: &InstanceKind, ours: u32) {
        if let Some(known) = self.known.get_mut(kind) {
            known.most = known.most.max(ours);
        }
    }

    /// How many more may be asked for; `ours` includes those being asked for.
    pub fn headroom(&self, kind: &InstanceKind, ours: u32, now: f64, probe: u32) -> u32 {
        let Some(known) = self.known.get(kind) else {
            return u32::MAX;
        };
        let most = match now >= known.probe {
            true => known.most + probe,
            false => known.most,
        };
        most.saturating_sub(ours)
    }

    /// Whether all there is of a kind is ours, as far as is known.
    pub fn is_exhausted(&self, kind: &InstanceKind) -> bool {
        self.known.contains_key(kind)
    }
}

/// How many machines of a kind are lacking: for what waits, and in all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortfall {
    pub pending: u32,
    pub total: u32,
}

/// The calls to make next, at most `calls` of at most `each` machines: those that
/// bring most for what waits, then for what is expected. What they bring is taken
/// from `lacking`.
pub fn calls(
    lacking: &mut BTreeMap<InstanceKind, Shortfall>,
    mut calls: usize,
    each: u32,
) -> Vec<(InstanceKind, u32)> {
    let mut out = Vec::new();
    while calls > 0 {
        let worth = |lack: &Shortfall| (lack.pending.min(each), lack.total.min(each));
        let most = lacking.iter_mut().max_by_key(|(_, lack)| worth(lack));
        let Some((kind, lack)) = most.filter(|(_, lack)| lack.total > 0) else {
            break;
        };
        let count = lack.total.min(each);
        out.push((kind.clone(), count));
        lack.total -= count;
        lack.pending = lack.pending.saturating_sub(count);
        calls -= 1;
    }
    lacking.retain(|_, lack| lack.total > 0);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind(name: &str, spot: bool) -> InstanceKind {
        InstanceKind::new(name, "east", spot)
    }

    /// On a fleet twice as large each refused kind was asked for again, call
    /// after call, while kinds that could be had waited behind: 328 of 449 calls
    /// were refused, and the machines that were there came 150 s late.
    #[test]
    fn what_was_refused_is_asked_for_only_as_far_as_it_went_back() {
        let mut market = CapacityEstimator::default();
        let small = kind("small", true);
        assert_eq!(market.headroom(&small, 0, 0.0, 50), u32::MAX);
        market.record_response(&small, 50, 50, 100, 1.0, 6.0);
        assert_eq!(market.headroom(&small, 150, 1.0, 50), u32::MAX);
        market.record_response(&small, 50, 20, 150, 2.0, 6.0);
        assert_eq!(market.headroom(&small, 170, 3.0, 50), 0);
        assert!(market.is_exhausted(&small));
        assert!(market.exhausted_since(&small, 1.5) && !market.exhausted_since(&small, 2.0));
        // A second refusal on its heels is no second pause.
        market.record_response(&small, 50, 0, 170, 3.0, 6.0);
        assert_eq!(market.headroom(&small, 130, 4.0, 50), 40, "some went back");
        assert_eq!(
            market.headroom(&small, 170, 8.0, 50),
            50,
            "a probe of one call"
        );
        assert_eq!(
            market.headroom(&small, 220, 8.0, 50),
            0,
            "which is under way"
        );
        market.record_response(&small, 50, 0, 170, 8.5, 6.0);
        assert_eq!(
            market.headroom(&small, 170, 20.0, 50),
            0,
            "the pause doubles"
        );
        assert_eq!(market.headroom(&small, 170, 20.6, 50), 50);
        market.record_response(&small, 50, 50, 170, 21.0, 6.0);
        assert_eq!(
            market.headroom(&small, 220, 21.0, 50),
            u32::MAX,
            "there is more"
        );
    }

    #[test]
    fn full_calls_for_what_waits_go_first() {
        let lack = |waiting, all| Shortfall {
            pending: waiting,
            total: all,
        };
        let mut lacking = BTreeMap::from([
            (kind("large", false), lack(3, 3)),
            (kind("small", false), lack(0, 500)),
            (kind("small", true), lack(80, 90)),
        ]);
        let made = calls(&mut lacking, 4, 50);
        let named: Vec<_> = made
            .iter()
            .map(|(k, n)| (&*k.machine_type, k.spot, *n))
            .collect();
        let first = [
            ("small", true, 50),
            ("small", true, 40),
            ("large", false, 3),
        ];
        assert_eq!(named[..3], first);
        assert_eq!(named[3], ("small", false, 50));
        assert_eq!(lacking.len(), 1, "the rest waits for the next round");
        assert!(calls(&mut BTreeMap::new(), 4, 50).is_empty());
    }
}
