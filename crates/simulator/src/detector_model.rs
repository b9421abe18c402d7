//! Simulates the failure detector alone, on a model of the network. It covers thousands of
//! controller-hours in the seconds in which simulations of whole controllers cover minutes.
//!
//! Controllers send each other heartbeats. Most messages take some milliseconds, a few take
//! hundreds, and some heartbeats are lost. Controllers pause occasionally, like processes that
//! get only a share of a processor. The model has no store: there are no log entries and no
//! lease expires, so the detectors have no evidence but heartbeats. A real cluster always
//! provides at least this evidence.

mod model;
#[cfg(test)]
mod tests;

use model::{FailedController, Model};
use rand::RngExt;
use rushwalk_failure_detector::DetectorConfig;
use statrs::distribution::{ContinuousCDF, Gamma};

/// Parameters of the network and of the controllers' pauses.
#[derive(Debug, Clone)]
pub struct Network {
    /// Number of controllers, each of which sends heartbeats to all others.
    pub controllers: usize,
    /// Share of heartbeats that are lost, 0 to 1.
    pub loss_share: f64,
    /// Share of messages whose latency is drawn from 0 to `slow_max_s`, 0 to 1; the others take 1
    /// to 20 ms.
    pub slow_share: f64,
    /// The highest latency of a message, in seconds.
    pub slow_max_s: f64,
    /// Mean time from the end of a controller's pause to its next one, in seconds.
    pub mean_time_between_pauses_s: f64,
    /// The longest pause, in seconds.
    pub pause_max_s: f64,
}

/// How a failed controller's host reacts to the heartbeats of other controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureMode {
    /// The host refuses connections, so that a heartbeat fails after one message latency.
    Refuses,
    /// The host does not respond, so that a heartbeat times out after a round.
    Silent,
}

/// Wrong decisions of the detectors while no controller fails.
#[derive(Debug, Clone, Default)]
pub struct ErrorCounts {
    /// Simulated hours times the number of controllers.
    pub controller_hours: f64,
    /// How many times a controller suspected another.
    pub suspicions: u64,
    /// How many times a controller declared another failed.
    pub false_positives: u64,
}

impl ErrorCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &ErrorCounts) {
        self.controller_hours += other.controller_hours;
        self.suspicions += other.suspicions;
        self.false_positives += other.false_positives;
    }

    /// Mean number of suspicions per controller-hour.
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
    /// Number of events divided by the observed hours.
    pub per_hour: f64,
    /// Lower bound of the interval, in events per hour.
    pub low: f64,
    /// Upper bound of the interval, in events per hour.
    pub high: f64,
}

impl RateEstimate {
    /// The rate of `count` events in `hours`. The interval is the exact one for Poisson counts
    /// (F. Garwood, "Fiducial limits for the Poisson distribution", Biometrika 28, 1936).
    pub fn new(count: u64, hours: f64) -> RateEstimate {
        let quantile =
            |shape: f64, p: f64| Gamma::new(shape, 1.0).map_or(0.0, |gamma| gamma.inverse_cdf(p));
        let events = count as f64;
        let low = if count == 0 {
            0.0
        } else {
            quantile(events, 0.025)
        };
        RateEstimate {
            per_hour: events / hours,
            low: low / hours,
            high: quantile(events + 1.0, 0.975) / hours,
        }
    }
}

/// Simulates controllers for `hours` without a failure, and counts the detectors' errors.
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

/// Seconds from a controller's failure until the first other controller declares it failed;
/// `None` if none does within 60 s. The failure happens 60 to 70 s after the start.
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
