//! When machines that were rented come up, learnt from those rented of late.
//!
//! Most take 0.6 to 1.5 times what is nominal, some several times as long, a few never
//! come; and at times all of them are late, or all are up in a second. A machine that
//! has not come yet says something too: that it takes longer than its age. So the share
//! still out is worked out step by step, of those at risk in each (Kaplan and Meier), from
//! what is usual where too few were seen.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// A machine that was rented.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootSample {
    /// When, in seconds.
    pub rented_s: f64,
    /// How long it took to come up; if it has not, for how long it was waited for.
    pub elapsed_s: f64,
    pub booted: bool,
}

/// Which machines boot alike: a type, by its place among the types, in a zone.
pub type BootGroup = (usize, usize);

#[derive(Debug, Clone, Default)]
struct ObservedBoots {
    nominal: f64,
    /// In the order of their rentals.
    seen: Vec<BootSample>,
    /// How long one that is rented now should take.
    fresh: f64,
}

/// Boots of one moment.
#[derive(Debug, Clone, Default)]
pub struct BootTimeEstimator {
    now: f64,
    /// For so long one may be up before it is seen to be.
    unseen: f64,
    known: BTreeMap<BootGroup, ObservedBoots>,
    /// Machines are rented many at a time: what was worked out for one holds for them.
    left: RefCell<BTreeMap<(BootGroup, u64), f64>>,
}

/// What is usual, in nominal boot times: from when on machines come, by when nearly
/// all have, and the share that has not by then.
const SOONEST: f64 = 0.6;
const MOSTLY: f64 = 1.5;
const LATE: f64 = 0.04;
/// What a machine is expected to take, a little longer than half of them do.
const USUALLY: f64 = 1.1;
/// One that is not late yet is expected within so much.
const SOON: f64 = 0.2;
/// The share that is late falls by this power of the time, so that one that has not
/// come for a while should take nearly as long again.
const TAIL: f64 = 1.1;
/// For how many machines what is usual counts beside those that were seen.
const USUAL: f64 = 2.0;
/// So many of the machines that were rented around a moment tell how long they took.
const COHORT: usize = 16;
/// After so many boot times what was seen says nothing of machines rented now.
const STALE: f64 = 6.0;
/// A machine is given up if it should take so many times as long still as a new one.
const GAIN: f64 = 2.0;
/// No machine is expected later than this many boot times from now.
const LONGEST: f64 = 20.0;
/// Steps: from 0.05 to some 45 boot times, each a seventh longer.
const STEPS: usize = 52;

fn edge(step: usize) -> f64 {
    match step {
        0 => 0.0,
        _ => 0.05 * (8.0f64 / 7.0).powi(step as i32 - 1),
    }
}

/// The share of machines that usually is not up after `ratio` boot times.
fn usually_out(ratio: f64) -> f64 {
    if ratio <= SOONEST {
        1.0
    } else if ratio <= MOSTLY {
        1.0 - (1.0 - LATE) * (ratio - SOONEST) / (MOSTLY - SOONEST)
    } else {
        LATE * (ratio / MOSTLY).powf(-TAIL)
    }
}

/// The ratio by which half of those are up that are not after `age`.
fn half(seen: &[BootSample], nominal: f64, age: f64) -> f64 {
    let ratios = |up: bool| seen.iter().filter(move |s| s.booted == up);
    let came: Vec<f64> = ratios(true).map(|s| s.elapsed_s / nominal).collect();
    let waited: Vec<f64> = ratios(false).map(|s| s.elapsed_s / nominal).collect();
    let mut out = 1.0;
    for step in 0..STEPS {
        let (from, to) = (edge(step).max(age), edge(step + 1));
        if to <= age {
            continue;
        }
        let at_risk = came.iter().filter(|r| **r >= from).count()
            + waited.iter().filter(|r| **r >= to).count();
        let here = came.iter().filter(|r| **r >= from && **r < to).count();
        let usual = 1.0 - usually_out(to) / usually_out(from);
        let rate = (here as f64 + USUAL * usual) / (at_risk as f64 + USUAL);
        let next = out * (1.0 - rate);
        if next <= 0.5 {
            let part = (out - 0.5) / (out - next).max(1e-9);
            return from + part * (to - from);
        }
        out = next;
    }
    edge(STEPS)
}

/// What to do about a machine that is not up yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootLateness {
    /// It is waited for.
    OnTime,
    /// So are those rented now, as far as is known: one of many may be tried anew.
    LateLikeOthers,
    /// One rented now would come sooner.
    ReplaceNow,
}

impl BootTimeEstimator {
    pub fn new(now: f64, unseen: f64) -> BootTimeEstimator {
        BootTimeEstimator {
            now,
            unseen,
            ..BootTimeEstimator::default()
        }
    }

    /// A machine of a group whose boots nominally take `nominal` seconds.
    pub fn add_sample(&mut self, group: BootGroup, nominal: f64, mut seen: BootSample) {
        let nominal = nominal.max(1.0);
        if !seen.booted {
            seen.elapsed_s -= self.unseen;
        }
        // One that is not late as yet says nothing.
        let tells = seen.booted || seen.elapsed_s > MOSTLY * nominal;
        let recent = self.now - seen.rented_s < (STALE + LONGEST) * nominal;
        if tells && recent {
            let known = self.known.entry(group).or_default();
            known.nominal = nominal;
            known.seen.push(seen);
        }
    }

    /// To be called when all were seen.
    pub fn finish_sampling(&mut self) {
        for known in self.known.values_mut() {
            known.seen.sort_by(|a, b| a.rented_s.total_cmp(&b.rented_s));
            let latest = known.seen.len().saturating_sub(COHORT);
            let oldest = self.now - STALE * known.nominal;
            let latest: Vec<BootSample> = (known.seen[latest..].iter().copied())
                .filter(|s| s.rented_s > oldest)
                .collect();
            let half = half(&latest, known.nominal, 0.0);
            // Within what is usual it stays at that: a plan that follows each sample
            // rents more one moment and less the next.
            let usual = (SOONEST..=MOSTLY).contains(&half);
            known.fresh = if usual { USUALLY } else { half } * known.nominal;
        }
    }

    /// Seconds that a machine rented now should take.
    pub fn expected_boot_s(&self, group: BootGroup, nominal: f64) -> f64 {
        match self.known.get(&group) {
            Some(known) => known.fresh,
            None => USUALLY * nominal.max(1.0),
        }
    }

    /// Seconds until one that was rented at a time, and is not up, should be.
    pub fn remaining_s(&self, group: BootGroup, nominal: f64, rented: f64) -> f64 {
        let key = (group, (rented * 1000.0) as u64);
        if let Some(left) = self.left.borrow().get(&key) {
            return *left;
        }
        let nominal = nominal.max(1.0);
        let age = ((self.now - rented - self.unseen) / nominal).max(0.0);
        let fresh = self.expected_boot_s(group, nominal) / nominal;
        if age < MOSTLY && fresh <= USUALLY {
            let due = rented + fresh * nominal - self.now;
            return due.max(SOON * nominal);
        }
        let around = self.known.get(&group).map_or(&[][..], |known| {
            // Those rented about when it was.
            let at = known.seen.partition_point(|s| s.rented_s < rented);
            let from = at.saturating_sub(COHORT / 2);
            let to = (from + COHORT).min(known.seen.len());
            &known.seen[to.saturating_sub(COHORT)..to]
        });
        let half = half(around, nominal, age).min(age + LONGEST);
        let left = (half - age).max(0.0) * nominal;
        self.left.borrow_mut().insert(key, left);
        left
    }

    /// Whether one that is not up should be given up for another.
    pub fn lateness(&self, group: BootGroup, nominal: f64, rented: f64) -> BootLateness {
        if self.now - rented - self.unseen < MOSTLY * nominal.max(1.0) {
            return BootLateness::OnTime;
        }
        // What it has cost so far is lost, and where a fifth of them took two and a half
        // times as long those given up for a little less were missed: not for a little.
        match self.remaining_s(group, nominal, rented) > GAIN * self.expected_boot_s(group, nominal)
        {
            true => BootLateness::ReplaceNow,
            false => BootLateness::LateLikeOthers,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOOT: f64 = 40.0;
    const HERE: BootGroup = (0, 0);

    /// Boots at 1000 s, of machines rented so long ago that came after so long, or not.
    fn boots(seen: &[(f64, Option<f64>)]) -> BootTimeEstimator {
        let mut boots = BootTimeEstimator::new(1000.0, 0.0);
        for (ago, took) in seen {
            let seen = BootSample {
                rented_s: 1000.0 - ago,
                elapsed_s: took.unwrap_or(*ago),
                booted: took.is_some(),
            };
            boots.add_sample(HERE, BOOT, seen);
        }
        boots.finish_sampling();
        boots
    }

    fn fresh(boots: &BootTimeEstimator) -> f64 {
        boots.expected_boot_s(HERE, BOOT) / BOOT
    }

    fn late(boots: &BootTimeEstimator, ago: f64) -> BootLateness {
        boots.lateness(HERE, BOOT, 1000.0 - ago)
    }

    #[test]
    fn what_is_usual_counts_until_something_was_seen() {
        let none = boots(&[]);
        assert_eq!(fresh(&none), 1.1);
        let left = |ago: f64| none.remaining_s(HERE, BOOT, 1000.0 - ago * BOOT) / BOOT;
        assert!((left(0.2) - 0.9).abs() < 1e-9 && left(1.2) == 0.2);
        assert!((1.2..1.6).contains(&left(1.6)), "{}", left(1.6));
        assert_eq!(late(&none, 1.4 * BOOT), BootLateness::OnTime);
        assert_eq!(late(&none, 2.0 * BOOT), BootLateness::LateLikeOthers);
        assert_eq!(late(&none, 2.6 * BOOT), BootLateness::ReplaceNow);
    }

    #[test]
    fn a_few_extremes_move_nothing() {
        let mut seen = vec![(200.0, Some(0.95 * BOOT)); 14];
        seen.extend([(150.0, Some(0.5)), (150.0, Some(3.5 * BOOT))]);
        let fresh = fresh(&boots(&seen));
        assert_eq!(fresh, 1.1);
    }

    /// With 580 machines five times as late as usual each was expected within a fifth of
    /// a boot, again and again, and work waited for them for 250 s.
    #[test]
    fn one_of_a_few_that_do_not_come_is_replaced() {
        let mut seen = vec![(110.0, Some(BOOT)); 12];
        seen.extend(vec![(110.0, None); 4]);
        let some = boots(&seen);
        assert!((0.9..1.2).contains(&fresh(&some)), "{}", fresh(&some));
        assert_eq!(late(&some, 110.0), BootLateness::ReplaceNow);
    }

    #[test]
    fn when_all_are_late_none_is_replaced_but_to_try() {
        let all = boots(&vec![(100.0, None); 300]);
        assert!(fresh(&all) > 3.0, "{}", fresh(&all));
        assert_eq!(late(&all, 100.0), BootLateness::LateLikeOthers);
        // Those that were tried came at once: the others are replaced too.
        let mut seen = vec![(180.0, None); 300];
        seen.extend(vec![(60.0, Some(BOOT)); 16]);
        let over = boots(&seen);
        assert!(fresh(&over) < 1.2, "{}", fresh(&over));
        assert_eq!(late(&over, 180.0), BootLateness::ReplaceNow);
        // Long after, what was seen says nothing any more.
        let stale = boots(&vec![(500.0, Some(5.0 * BOOT)); 50]);
        assert!(fresh(&stale) < 1.2);
    }

    #[test]
    fn a_wave_of_slow_ones_is_waited_for_as_long_as_the_first_of_them_took() {
        let mut seen = vec![(220.0, Some(4.0 * BOOT)); 8];
        seen.extend(vec![(150.0, None); 8]);
        let slow = boots(&seen);
        let left = slow.remaining_s(HERE, BOOT, 1000.0 - 150.0);
        assert!((5.0..40.0).contains(&left), "{left}");
        assert_eq!(late(&slow, 150.0), BootLateness::LateLikeOthers);
    }

    #[test]
    fn instant_ones_are_expected_at_once() {
        let instant = boots(&[(30.0, Some(1.5)); 16]);
        assert!(instant.expected_boot_s(HERE, BOOT) < 4.0);
        assert!(
            instant.remaining_s(HERE, BOOT, 995.0) >= 0.2 * BOOT,
            "one that is not up"
        );
        assert_eq!(
            instant.expected_boot_s((0, 1), BOOT),
            boots(&[]).expected_boot_s((0, 1), BOOT),
            "another zone"
        );
    }
}
