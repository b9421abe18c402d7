//! Survival curve of booting machines: the share that has not booted after a time.
//!
//! A machine that has not booted yet is evidence too: it takes longer than its age. So the
//! share is worked out step by step, from the machines that are at risk in each step (the
//! Kaplan-Meier estimator), and weighted with the usual curve. Times are ratios of the
//! nominal boot time.

use super::BootSample;

/// Usually no machine boots in less.
pub(super) const USUAL_EARLIEST: f64 = 0.6;
/// Usually nearly all machines have booted by then.
pub(super) const MOST_BOOTED_BY: f64 = 1.5;
/// The share that usually has not by then.
const LATE_SHARE: f64 = 0.04;
/// The late share falls by this power of the time, so that a machine that has not booted
/// for a while should take nearly as long again.
const LATE_EXPONENT: f64 = 1.1;
/// The usual curve counts for this many machines beside those that were observed.
const PRIOR_MACHINES: f64 = 2.0;
/// Steps of the curve: from 0.05 to some 45 boot times, each a seventh longer.
const STEPS: usize = 52;
const FIRST_STEP: f64 = 0.05;
const STEP_GROWTH: f64 = 8.0 / 7.0;

/// Where a step begins.
fn step_start(step: usize) -> f64 {
    match step {
        0 => 0.0,
        _ => FIRST_STEP * STEP_GROWTH.powi(step as i32 - 1),
    }
}

/// The share of machines that usually has not booted after `ratio` boot times.
fn usual_survival(ratio: f64) -> f64 {
    if ratio <= USUAL_EARLIEST {
        1.0
    } else if ratio <= MOST_BOOTED_BY {
        let part = (1.0 - LATE_SHARE) * (ratio - USUAL_EARLIEST);
        1.0 - part / (MOST_BOOTED_BY - USUAL_EARLIEST)
    } else {
        LATE_SHARE * (ratio / MOST_BOOTED_BY).powf(-LATE_EXPONENT)
    }
}

/// Observed boot times, as ratios of the nominal one.
struct BootRatios {
    /// Of machines that have booted.
    booted: Vec<f64>,
    /// For how long the others were waited for.
    waiting: Vec<f64>,
}

impl BootRatios {
    fn new(samples: &[BootSample], nominal_s: f64) -> BootRatios {
        let ratios = |booted: bool| {
            let matching = samples.iter().filter(|sample| sample.booted == booted);
            matching
                .map(|sample| sample.elapsed_s / nominal_s)
                .collect()
        };
        BootRatios {
            booted: ratios(true),
            waiting: ratios(false),
        }
    }

    /// The share of the machines not booted at `from` that boots before `to`.
    fn boot_rate(&self, from: f64, to: f64) -> f64 {
        let not_booted = self.booted.iter().filter(|ratio| **ratio >= from);
        let booted_here = not_booted.clone().filter(|ratio| **ratio < to).count();
        let waiting = self.waiting.iter().filter(|ratio| **ratio >= to);
        let at_risk = not_booted.count() + waiting.count();
        let usual_rate = 1.0 - usual_survival(to) / usual_survival(from);
        (booted_here as f64 + PRIOR_MACHINES * usual_rate) / (at_risk as f64 + PRIOR_MACHINES)
    }
}

/// The ratio by which half of the machines have booted that have not after `age`.
pub(super) fn median_boot_ratio(samples: &[BootSample], nominal_s: f64, age: f64) -> f64 {
    let ratios = BootRatios::new(samples, nominal_s);
    let mut survival = 1.0;
    for step in 0..STEPS {
        let (from, to) = (step_start(step).max(age), step_start(step + 1));
        if to <= age {
            continue;
        }
        let next = survival * (1.0 - ratios.boot_rate(from, to));
        if next <= 0.5 {
            let part = (survival - 0.5) / (survival - next).max(1e-9);
            return from + part * (to - from);
        }
        survival = next;
    }
    step_start(STEPS)
}
