//! Estimates from recent rentals how long rented machines take to boot.
//!
//! Usually most machines take 0.6 to 1.5 times the nominal boot time, some take several times
//! as long, and a few never boot. There are also periods in which all machines are late, or
//! all boot within a second. The estimate is the median of a survival curve (Kaplan-Meier, in
//! `survival`) of the observed machines. The curve is combined with the usual distribution,
//! which matters only while few machines were observed.

mod survival;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use survival::{MOST_BOOTED_BY, USUAL_EARLIEST, median_boot_ratio};

/// The boot of one rented machine, as observed so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootSample {
    /// When the machine was rented, in seconds since the Unix epoch.
    pub rented_s: f64,
    /// Seconds from the rental until the machine had booted or, if it has not booted, until
    /// the time of the observation.
    pub elapsed_s: f64,
    /// Whether the machine has booted.
    pub booted: bool,
}

/// A group of machines whose boot times are assumed to have the same distribution: those of
/// one type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootGroup {
    /// Index of the machine type.
    pub machine_type: usize,
    /// Index of the zone.
    pub zone: usize,
}

impl BootGroup {
    /// Creates the group from the indices of a machine type and a zone.
    pub fn new(machine_type: usize, zone: usize) -> BootGroup {
        BootGroup { machine_type, zone }
    }
}

/// The observed boots of one group.
#[derive(Debug, Clone, Default)]
struct BootHistory {
    /// Nominal boot time in seconds.
    nominal_s: f64,
    /// Sorted by the time of the rental, once
    /// [`finish_sampling`](BootTimeEstimator::finish_sampling) was called.
    samples: Vec<BootSample>,
    /// Expected boot time in seconds of a machine that is rented now; set by
    /// [`finish_sampling`](BootTimeEstimator::finish_sampling).
    expected_s: f64,
}

/// Key for the machines of a group that were rented in the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RentalKey {
    group: BootGroup,
    rented_ms: u64,
}

/// Estimates boot times at one point in time.
///
/// All samples are added first, then [`Self::finish_sampling`] is called, then estimates can
/// be read.
#[derive(Debug, Clone, Default)]
pub struct BootTimeEstimator {
    /// The time of the estimates, in seconds since the Unix epoch.
    now_s: f64,
    /// Seconds that may pass between the end of a boot and its observation.
    observation_delay_s: f64,
    groups: BTreeMap<BootGroup, BootHistory>,
    /// Remaining boot times in seconds that were computed before. Many machines are rented at
    /// the same time, and all of them have the same remaining time.
    remaining_cache: RefCell<BTreeMap<RentalKey, f64>>,
}

/// Usual expected boot time as a multiple of the nominal one; slightly more than the median of
/// the usual distribution.
const EXPECTED_RATIO: f64 = 1.1;
/// Lower bound on the remaining time of a machine that is not late yet, as a multiple of the
/// nominal boot time.
const MIN_REMAINING_RATIO: f64 = 0.2;
/// Maximum number of machines, rented at about the same time, from which an estimate is made.
const COHORT: usize = 16;
/// Machines that were rented longer ago than this multiple of the nominal boot time are not
/// used to estimate the boot time of machines that are rented now.
const STALE_RATIO: f64 = 6.0;
/// A late machine is replaced if its remaining time is more than this many times the expected
/// boot time of a new machine.
const REPLACE_FACTOR: f64 = 2.0;
/// Upper bound on the remaining time of a machine, as a multiple of the nominal boot time.
const MAX_REMAINING_RATIO: f64 = 20.0;
/// Lower bound on nominal boot times, in seconds.
const MIN_NOMINAL_S: f64 = 1.0;

/// Whether a machine that has not booted is late, and whether to replace it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootLateness {
    /// The machine is not late yet.
    OnTime,
    /// The machine is late, but a new one is not expected to boot much sooner, so replacing it
    /// is not worthwhile. Of many such machines the caller may replace some, to find out
    /// whether new ones boot faster.
    LateLikeOthers,
    /// The machine is late, and a new one is expected to boot much sooner.
    ReplaceNow,
}

impl BootTimeEstimator {
    /// An estimator without samples, for estimates at `now_s` (seconds since the Unix epoch).
    /// `observation_delay_s` is the number of seconds that may pass between the end of a boot
    /// and its observation.
    pub fn new(now_s: f64, observation_delay_s: f64) -> BootTimeEstimator {
        BootTimeEstimator {
            now_s,
            observation_delay_s,
            ..BootTimeEstimator::default()
        }
    }

    /// Adds the sample of a machine of a group whose nominal boot time is `nominal_s` seconds.
    /// Samples that are too old, and those of machines that still boot and are not late, are
    /// ignored.
    pub fn add_sample(&mut self, group: BootGroup, nominal_s: f64, mut sample: BootSample) {
        let nominal_s = nominal_s.max(MIN_NOMINAL_S);
        if !sample.booted {
            sample.elapsed_s -= self.observation_delay_s;
        }
        // A machine that still boots and is not late yet shows nothing about boot times.
        let is_evidence = sample.booted || sample.elapsed_s > MOST_BOOTED_BY * nominal_s;
        let max_age_s = (STALE_RATIO + MAX_REMAINING_RATIO) * nominal_s;
        let is_recent = self.now_s - sample.rented_s < max_age_s;
        if is_evidence && is_recent {
            let observed = self.groups.entry(group).or_default();
            observed.nominal_s = nominal_s;
            observed.samples.push(sample);
        }
    }

    /// Computes the estimates. Must be called after the last sample was added.
    pub fn finish_sampling(&mut self) {
        for observed in self.groups.values_mut() {
            let samples = &mut observed.samples;
            samples.sort_by(|a, b| a.rented_s.total_cmp(&b.rented_s));
            observed.expected_s = observed.estimate_s(self.now_s);
        }
    }

    /// Expected boot time, in seconds, of a machine that is rented now.
    pub fn expected_boot_s(&self, group: BootGroup, nominal_s: f64) -> f64 {
        match self.groups.get(&group) {
            Some(observed) => observed.expected_s,
            None => EXPECTED_RATIO * nominal_s.max(MIN_NOMINAL_S),
        }
    }

    /// Expected remaining boot time, in seconds, of a machine that was rented at `rented_s` and
    /// has not booted yet.
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

    /// Whether a machine that was rented at `rented_s` and has not booted yet is late, and
    /// whether a new machine should be rented in its place.
    pub fn lateness(&self, group: BootGroup, nominal_s: f64, rented_s: f64) -> BootLateness {
        let age_s = self.now_s - rented_s - self.observation_delay_s;
        if age_s < MOST_BOOTED_BY * nominal_s.max(MIN_NOMINAL_S) {
            return BootLateness::OnTime;
        }
        // Replacing a machine discards the boot time that has passed, so the gain must be
        // large. When a fifth of the machines took two and a half times as long as the others,
        // replacing them for a small gain left too few machines.
        let remaining_s = self.remaining_s(group, nominal_s, rented_s);
        if remaining_s > REPLACE_FACTOR * self.expected_boot_s(group, nominal_s) {
            BootLateness::ReplaceNow
        } else {
            BootLateness::LateLikeOthers
        }
    }
}

impl BootHistory {
    /// Expected boot time, in seconds, of a machine that is rented at `now_s`, from the latest
    /// samples that are not stale.
    fn estimate_s(&self, now_s: f64) -> f64 {
        let latest = self.samples.len().saturating_sub(COHORT);
        let oldest_s = now_s - STALE_RATIO * self.nominal_s;
        let recent: Vec<BootSample> = self.samples[latest..]
            .iter()
            .copied()
            .filter(|sample| sample.rented_s > oldest_s)
            .collect();
        let median = median_boot_ratio(&recent, self.nominal_s, 0.0);
        // Within the usual range the estimate is constant. If it followed each sample, the
        // plan would rent more machines in one round and fewer in the next.
        let is_usual = (USUAL_EARLIEST..=MOST_BOOTED_BY).contains(&median);
        let ratio = if is_usual { EXPECTED_RATIO } else { median };
        ratio * self.nominal_s
    }

    /// Up to [`COHORT`] samples of the machines that were rented closest to `rented_s`.
    fn rented_around(&self, rented_s: f64) -> &[BootSample] {
        let samples = &self.samples;
        let at = samples.partition_point(|sample| sample.rented_s < rented_s);
        let from = at.saturating_sub(COHORT / 2);
        let to = (from + COHORT).min(samples.len());
        &samples[to.saturating_sub(COHORT)..to]
    }
}
