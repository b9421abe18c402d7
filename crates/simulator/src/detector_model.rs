//! The failure detector alone, against a model of the network: thousands of
//! controller-hours in seconds, where simulations of whole controllers play minutes.
//!
//! Controllers send each other heartbeats; messages take some milliseconds, now and then
//! hundreds, and some are lost; controllers pause at times, as processes with a share of a
//! processor do. Nobody writes to the log and no lease expires: all evidence here is from
//! heartbeats, which is the least there ever is.

mod model;
#[cfg(test)]
mod tests;

use model::{FailedController, Model};
use rand::RngExt;
use rushwalk_failure_detector::DetectorConfig;
use statrs::distribution::{ContinuousCDF, Gamma};

/// The network and the controllers' pauses.
#[derive(Debug, Clone)]
pub struct Network {
    /// Number of controllers.
    pub controllers: usize,
    /// Share of heartbeats that are lost.
    pub loss_share: f64,
    /// Share of messages that take up to `slow_max_s`.
    pub slow_share: f64,
    /// The longest that a message takes, in seconds.
    pub slow_max_s: f64,
    /// Mean time between a controller's pauses, in seconds.
    pub mean_time_between_pauses_s: f64,
    /// The longest pause, in seconds.
    pub pause_max_s: f64,
}

/// How a controller fails in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureMode {
    /// Its host refuses connections.
    Refuses,
    /// Its host does not respond.
    Silent,
}

/// Errors of the detectors over some time without any failure.
#[derive(Debug, Clone, Default)]
pub struct ErrorCounts {
    /// Hours times controllers.
    pub controller_hours: f64,
    /// How often one controller suspected another.
    pub suspicions: u64,
    /// How often one controller declared another failed.
    pub false_positives: u64,
}

impl ErrorCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &ErrorCounts) {
        self.controller_hours += other.controller_hours;
        self.suspicions += other.suspicions;
        self.false_positives += other.false_positives;
    }

    /// Suspicions per controller-hour.
    pub fn suspicions_per_hour(&self) -> f64 {
        self.suspicions as f64 / self.controller_hours
    }

    /// False positives per controller-hour.
    pub fn false_positive_rate(&self) -> RateEstimate {
        RateEstimate::new(self.false_positives, self.controller_hours)
    }
}

/// An event rate with its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateEstimate {
    /// Events per hour.
    pub per_hour: f64,
    /// Lower bound.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

impl RateEstimate {
    /// The rate of events over some hours. The interval is the exact one for Poisson counts
    /// (F. Garwood, "Fiducial limits for the Poisson distribution", Biometrika 28, 1936).
    pub fn new(count: u64, hours: f64) -> RateEstimate {
        let quantile =
            |shape: f64, p: f64| Gamma::new(shape, 1.0).map_or(0.0, |gamma| gamma.inverse_cdf(p));
        let n = count as f64;
        let low = if count == 0 { 0.0 } else { quantile(n, 0.025) };
        RateEstimate {
            per_hour: n / hours,
            low: low / hours,
            high: quantile(n + 1.0, 0.975) / hours,
        }
    }
}

/// Simulates controllers for some hours in which none fails.
pub fn simulate_healthy(
    network: &Network,
    config: &DetectorConfig,
    hours: f64,
    seed: u64,
) -> ErrorCounts {
    let mut model = Model::new(network.clone(), config.clone(), seed);
    model.run(hours * 3600.0);
    ErrorCounts {
        controller_hours: hours * network.controllers as f64,
        ..model.errors
    }
}

/// From a controller's failure until the first other declares it failed, in seconds; `None`
/// if none does within a minute.
pub fn time_to_detection(
    network: &Network,
    config: &DetectorConfig,
    mode: FailureMode,
    seed: u64,
) -> Option<f64> {
    let mut model = Model::new(network.clone(), config.clone(), seed);
    let at_s = 60.0 + model.random.random_range(0.0..10.0);
    let controller = model.random.random_range(0..network.controllers);
    model.failed = Some(FailedController {
        controller,
        at_s,
        mode,
    });
    model.run(at_s + 60.0);
    model.detected_after_s
}
