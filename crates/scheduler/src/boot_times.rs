//! How long rented machines take to boot, estimated from recent rentals.
//!
//! Most take 0.6 to 1.5 times the nominal time, some several times as long, a few never
//! come up; and at times all of them are late, or all are up within a second. The estimate
//! is a survival curve of the machines that were observed (Kaplan-Meier, in `survival`), with
//! what is usual where too few were.

mod survival;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use survival::{MOST_BOOTED_BY, USUAL_EARLIEST, median_boot_ratio};

/// A machine that was rented.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootSample {
    /// When it was rented, in seconds since the Unix epoch.
    pub rented_s: f64,
    /// Seconds that it took to boot or, if it has not booted, since it was rented.
    pub elapsed_s: f64,
    /// Whether it has booted.
    pub booted: bool,
}

/// Machines that are assumed to boot alike: of one type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootGroup {
    /// Index of the machine type.
    pub machine_type: usize,
    /// Index of the zone.
    pub zone: usize,
}

impl BootGroup {
    /// The group of a machine type and a zone, by their indices.
    pub fn new(machine_type: usize, zone: usize) -> BootGroup {
        BootGroup { machine_type, zone }
    }
}

/// The observed boots of one group.
#[derive(Debug, Clone, Default)]
struct BootHistory {
    nominal_s: f64,
    /// In the order of their rentals, once sampling has finished.
    samples: Vec<BootSample>,
    /// Seconds that a machine rented now should take.
    expected_s: f64,
}

/// Identifies machines of a group that were rented in the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RentalKey {
    group: BootGroup,
    rented_ms: u64,
}

/// Estimates boot times, as of one moment.
#[derive(Debug, Clone, Default)]
pub struct BootTimeEstimator {
    /// That moment, in seconds since the Unix epoch.
    now_s: f64,
    /// For so many seconds a machine may be up before that is observed.
    observation_delay_s: f64,
    groups: BTreeMap<BootGroup, BootHistory>,
    /// Machines are rented many at a time, and the remaining time is the same for all.
    remaining_cache: RefCell<BTreeMap<RentalKey, f64>>,
}

/// Expected boot time, in nominal ones: a little longer than half of the machines take.
const EXPECTED_RATIO: f64 = 1.1;
/// A machine that is not late yet is expected within this many nominal boot times at least.
const MIN_REMAINING_RATIO: f64 = 0.2;
/// An estimate is made from this many of the machines that were rented around a moment.
const COHORT: usize = 16;
/// After this many boot times an observation is no evidence for machines rented now.
const STALE_RATIO: f64 = 6.0;
/// A machine is replaced if it should still take this many times as long as a new one.
const REPLACE_FACTOR: f64 = 2.0;
/// No machine is expected later than this many boot times from now.
const MAX_REMAINING_RATIO: f64 = 20.0;
/// No nominal boot time counts as shorter, in seconds.
const MIN_NOMINAL_S: f64 = 1.0;

/// Whether a machine that has not booted is late, and what to do about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootLateness {
    /// It is not late yet.
    OnTime,
    /// It is late, but so are machines rented now, as far as is known: one of many may be
    /// replaced as a trial.
    LateLikeOthers,
    /// A machine rented now would be up sooner.
    ReplaceNow,
}

impl BootTimeEstimator {
    /// An estimator without samples, as of `now_s` (seconds since the Unix epoch).
    /// `observation_delay_s` is for how long a machine may be up before that is observed.
    pub fn new(now_s: f64, observation_delay_s: f64) -> BootTimeEstimator {
        BootTimeEstimator {
            now_s,
            observation_delay_s,
            ..BootTimeEstimator::default()
        }
    }

    /// Adds a machine of a group whose nominal boot time is `nominal_s` seconds.
    pub fn add_sample(&mut self, group: BootGroup, nominal_s: f64, mut sample: BootSample) {
        let nominal_s = nominal_s.max(MIN_NOMINAL_S);
        if !sample.booted {
            sample.elapsed_s -= self.observation_delay_s;
        }
        // A machine that boots and is not late yet is no evidence.
        let is_evidence = sample.booted || sample.elapsed_s > MOST_BOOTED_BY * nominal_s;
        let oldest_s = (STALE_RATIO + MAX_REMAINING_RATIO) * nominal_s;
        let is_recent = self.now_s - sample.rented_s < oldest_s;
        if is_evidence && is_recent {
            let observed = self.groups.entry(group).or_default();
            observed.nominal_s = nominal_s;
            observed.samples.push(sample);
        }
    }

    /// Works out the estimates; to be called once all samples were added.
    pub fn finish_sampling(&mut self) {
        for observed in self.groups.values_mut() {
            let samples = &mut observed.samples;
            samples.sort_by(|a, b| a.rented_s.total_cmp(&b.rented_s));
            observed.expected_s = observed.estimate_s(self.now_s);
        }
    }

    /// Seconds that a machine rented now should take to boot.
    pub fn expected_boot_s(&self, group: BootGroup, nominal_s: f64) -> f64 {
        match self.groups.get(&group) {
            Some(observed) => observed.expected_s,
            None => EXPECTED_RATIO * nominal_s.max(MIN_NOMINAL_S),
        }
    }

    /// Seconds until a machine that was rented at `rented_s` and has not booted should be
    /// up.
    pub fn remaining_s(&self, group: BootGroup, nominal_s: f64, rented_s: f64) -> f64 {
        let key = RentalKey {
            group,
            rented_ms: (rented_s * 1000.0) as u64,
        };
        if let Some(remaining_s) = self.remaining_cache.borrow().get(&key) {
            return *remaining_s;
        }
        let nominal_s = nominal_s.max(MIN_NOMINAL_S);
        let age = ((self.now_s - rented_s - self.observation_delay_s) / nominal_s).max(0.0);
        let expected = self.expected_boot_s(group, nominal_s) / nominal_s;
        if age < MOST_BOOTED_BY && expected <= EXPECTED_RATIO {
            let due_in_s = rented_s + expected * nominal_s - self.now_s;
            return due_in_s.max(MIN_REMAINING_RATIO * nominal_s);
        }
        let observed = self.groups.get(&group);
        let cohort = observed.map_or(&[][..], |observed| observed.rented_around(rented_s));
        let median = median_boot_ratio(cohort, nominal_s, age).min(age + MAX_REMAINING_RATIO);
        let remaining_s = (median - age).max(0.0) * nominal_s;
        self.remaining_cache.borrow_mut().insert(key, remaining_s);
        remaining_s
    }

    /// Whether a machine that was rented at `rented_s` and has not booted is late, and
    /// should be replaced by another.
    pub fn lateness(&self, group: BootGroup, nominal_s: f64, rented_s: f64) -> BootLateness {
        let age_s = self.now_s - rented_s - self.observation_delay_s;
        if age_s < MOST_BOOTED_BY * nominal_s.max(MIN_NOMINAL_S) {
            return BootLateness::OnTime;
        }
        // The time that it has taken so far would be lost. Where a fifth of the machines
        // took two and a half times as long, replacing them for a small gain left too few.
        let remaining_s = self.remaining_s(group, nominal_s, rented_s);
        if remaining_s > REPLACE_FACTOR * self.expected_boot_s(group, nominal_s) {
            BootLateness::ReplaceNow
        } else {
            BootLateness::LateLikeOthers
        }
    }
}

impl BootHistory {
    /// Seconds that a machine rented at `now_s` should take, from the latest samples.
    fn estimate_s(&self, now_s: f64) -> f64 {
        let latest = self.samples.len().saturating_sub(COHORT);
        let oldest_s = now_s - STALE_RATIO * self.nominal_s;
        let recent: Vec<BootSample> = self.samples[latest..]
            .iter()
            .copied()
            .filter(|sample| sample.rented_s > oldest_s)
            .collect();
        let median = median_boot_ratio(&recent, self.nominal_s, 0.0);
        // Within the usual range it stays constant: a plan that follows each sample rents
        // more at one moment and less at the next.
        let is_usual = (USUAL_EARLIEST..=MOST_BOOTED_BY).contains(&median);
        let ratio = if is_usual { EXPECTED_RATIO } else { median };
        ratio * self.nominal_s
    }

    /// The samples that were rented at about `rented_s`.
    fn rented_around(&self, rented_s: f64) -> &[BootSample] {
        let samples = &self.samples;
        let at = samples.partition_point(|sample| sample.rented_s < rented_s);
        let from = at.saturating_sub(COHORT / 2);
        let to = (from + COHORT).min(samples.len());
        &samples[to.saturating_sub(COHORT)..to]
    }
}
