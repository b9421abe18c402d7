//! Survival curve of booting machines: the share of machines that have not booted after a
//! given time.
//!
//! A machine that has not booted yet is a censored sample: it shows that its boot takes longer
//! than its age. The curve is therefore computed step by step from the machines that are still
//! at risk in each step (the Kaplan-Meier estimator), and combined with the usual curve as a
//! prior. Times are multiples of the nominal boot time.

use super::BootSample;

/// Usually no machine boots in less than this multiple of the nominal boot time.
pub(super) const USUAL_EARLIEST: f64 = 0.6;
/// Usually nearly all machines have booted after this multiple of the nominal boot time.
pub(super) const MOST_BOOTED_BY: f64 = 1.5;
/// Share of machines that usually have not booted at [`MOST_BOOTED_BY`].
const LATE_SHARE: f64 = 0.04;
/// After [`MOST_BOOTED_BY`] the usual curve is inversely proportional to this power of the
/// time, so that a late machine is expected to take nearly as long again as it has taken so
/// far.
const LATE_EXPONENT: f64 = 1.1;
/// Weight of the usual curve, as a number of machines that is added to the observed ones.
const PRIOR_MACHINES: f64 = 2.0;
/// Number of steps of the curve, the last of which ends at about 45 boot times.
const STEPS: usize = 52;
/// End of the first step.
const FIRST_STEP_END: f64 = 0.05;
/// Ratio of the end of a step to its beginning, from the second step on.
const STEP_GROWTH: f64 = 8.0 / 7.0;

/// The time at which a step begins.
fn step_start(step: usize) -> f64 {
    match step {
        0 => 0.0,
        _ => FIRST_STEP_END * STEP_GROWTH.powi(step as i32 - 1),
    }
}

/// Usual share of the machines that have not booted after `ratio` nominal boot times.
fn usual_survival(ratio: f64) -> f64 {
    if ratio <= USUAL_EARLIEST {
        1.0
    } else if ratio <= MOST_BOOTED_BY {
        let weighted_time = (1.0 - LATE_SHARE) * (ratio - USUAL_EARLIEST);
        1.0 - weighted_time / (MOST_BOOTED_BY - USUAL_EARLIEST)
    } else {
        LATE_SHARE * (ratio / MOST_BOOTED_BY).powf(-LATE_EXPONENT)
    }
}

/// Observed boot times as multiples of the nominal one.
struct BootRatios {
    /// Boot times of the machines that have booted.
    booted: Vec<f64>,
    /// Ages of the machines that have not booted.
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

    /// The share of the machines not booted at `from` that boot before `to`.
    fn boot_rate(&self, from: f64, to: f64) -> f64 {
        let not_booted = self.booted.iter().filter(|ratio| **ratio >= from);
        let booted_here = not_booted.clone().filter(|ratio| **ratio < to).count();
        let waiting = self.waiting.iter().filter(|ratio| **ratio >= to);
        let at_risk = not_booted.count() + waiting.count();
        let usual_rate = 1.0 - usual_survival(to) / usual_survival(from);
        (booted_here as f64 + PRIOR_MACHINES * usual_rate) / (at_risk as f64 + PRIOR_MACHINES)
    }
}

/// The median boot time of machines that have not booted at `age`. Both are multiples of the
/// nominal boot time.
pub(super) fn median_boot_ratio(samples: &[BootSample], nominal_s: f64, age: f64) -> f64 {
    let ratios = BootRatios::new(samples, nominal_s);
    let mut survival = 1.0;
    for step in 0..STEPS {
        let (from, to) = (step_start(step).max(age), step_start(step + 1));
        if to <= age {
            continue;
        }
        let next_survival = survival * (1.0 - ratios.boot_rate(from, to));
        if next_survival <= 0.5 {
            let step_fraction = (survival - 0.5) / (survival - next_survival).max(1e-9);
            return from + step_fraction * (to - from);
        }
        survival = next_survival;
    }
    step_start(STEPS)
}
