//! What is learnt from finished tasks: run times, fetch rates, overhead.

use rushwalk_protocol::jobs::{JobSpec, Shape};
use std::collections::{HashMap, VecDeque};

/// Rolling average over the latest samples (the paper's Rolling-Average).
#[derive(Debug, Clone, Default)]
pub struct RollingMean {
    samples: VecDeque<f64>,
    /// Asked for far more often than a sample comes.
    mean: Option<f64>,
}

impl RollingMean {
    pub fn push(&mut self, sample: f64, window: usize) {
        self.samples.push_back(sample);
        while self.samples.len() > window.max(1) {
            self.samples.pop_front();
        }
        let n = self.samples.len() as f64;
        self.mean = Some(self.samples.iter().sum::<f64>() / n);
    }

    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// Jobs whose own averages are kept; the oldest are forgotten first.
const JOBS_KEPT: usize = 2_000;

#[derive(Debug, Clone)]
pub struct DurationEstimator {
    window: usize,
    /// Run time per job and group (machine type).
    jobs: HashMap<String, HashMap<String, RollingMean>>,
    order: VecDeque<String>,
    /// Run time over the owner's guess, per class and group.
    classes: HashMap<String, HashMap<String, RollingMean>>,
    /// Observed fetch rate in GB a second, per group.
    fetch: HashMap<String, RollingMean>,
    /// From a placement to the start where no image had to be fetched.
    overhead: RollingMean,
    default_overhead: f64,
}

impl DurationEstimator {
    pub fn new(window: usize, default_overhead: f64) -> Self {
        DurationEstimator {
            window,
            jobs: HashMap::new(),
            order: VecDeque::new(),
            classes: HashMap::new(),
            fetch: HashMap::new(),
            overhead: RollingMean::default(),
            default_overhead,
        }
    }

    pub fn record_run(&mut self, spec: &JobSpec, group: &str, seconds: f64) {
        if !self.jobs.contains_key(&spec.id) {
            self.order.push_back(spec.id.clone());
            if self.order.len() > JOBS_KEPT
                && let Some(oldest) = self.order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
        let groups = self.jobs.entry(spec.id.clone()).or_default();
        let rolling = groups.entry(group.to_string()).or_default();
        rolling.push(seconds, self.window);
        if spec.estimate_s > 0.0 {
            // One wild guess must not bend the class: a miss counts up to tenfold.
            let ratio = (seconds / spec.estimate_s).clamp(0.1, 10.0);
            let window = 4 * self.window;
            let groups = self.classes.entry(spec.class.clone()).or_default();
            let rolling = groups.entry(group.to_string()).or_default();
            rolling.push(ratio, window);
        }
    }

    pub fn record_start(&mut self, group: &str, image_gb: f64, fetched: bool, seconds: f64) {
        if !fetched {
            self.overhead.push(seconds, 4 * self.window);
        } else if seconds > 0.0 && image_gb > 0.0 {
            let rolling = self.fetch.entry(group.to_string()).or_default();
            rolling.push(image_gb / seconds, 4 * self.window);
        }
    }

    /// Predicted run time; a service runs until it is cancelled.
    pub fn run_time(&self, spec: &JobSpec, group: &str) -> f64 {
        if spec.shape == Shape::Service {
            return f64::INFINITY;
        }
        if let Some(mean) = self
            .jobs
            .get(&spec.id)
            .and_then(|groups| groups.get(group))
            .and_then(RollingMean::mean)
        {
            return mean;
        }
        let ratio = self
            .classes
            .get(&spec.class)
            .and_then(|groups| groups.get(group))
            .and_then(RollingMean::mean)
            .unwrap_or(1.0);
        (spec.estimate_s * ratio).max(1.0)
    }

    /// True once the job itself has been seen to finish on this group.
    pub fn has_run_time(&self, uid: &str, group: &str) -> bool {
        self.jobs.get(uid).is_some_and(|g| g.contains_key(group))
    }

    pub fn fetch_time(&self, image_gb: f64, group: &str, nominal: f64) -> f64 {
        let rate = self.fetch.get(group).and_then(RollingMean::mean);
        let rate = rate.unwrap_or(nominal);
        match rate > 0.0 {
            true => image_gb / rate,
            false => 0.0,
        }
    }

    pub fn overhead(&self) -> f64 {
        self.overhead.mean().unwrap_or(self.default_overhead)
    }
}
