//! Durations predicted from finished tasks: run time, image fetch, start-up overhead.

use rushwalk_protocol::jobs::{JobSpec, Shape};
use std::collections::{HashMap, VecDeque};

/// Mean of the latest samples (Rolling-Average in the paper that the design follows).
#[derive(Debug, Clone, Default)]
pub struct RollingMean {
    samples: VecDeque<f64>,
    /// Kept, since it is read far more often than a sample is added.
    mean: Option<f64>,
}

impl RollingMean {
    /// Adds a sample and keeps the latest `window` samples, at least one.
    pub fn push(&mut self, sample: f64, window: usize) {
        self.samples.push_back(sample);
        while self.samples.len() > window.max(1) {
            self.samples.pop_front();
        }
        let count = self.samples.len() as f64;
        self.mean = Some(self.samples.iter().sum::<f64>() / count);
    }

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// Jobs whose own run times are kept; the oldest are evicted first.
const MAX_JOBS: usize = 2_000;
/// Means over many jobs are taken over this many times the window of a single job's.
const SHARED_WINDOW_FACTOR: usize = 4;
/// A run time over its owner's estimate counts at most tenfold in either direction: one
/// wild estimate must not distort the class.
const MIN_ESTIMATE_RATIO: f64 = 0.1;
const MAX_ESTIMATE_RATIO: f64 = 10.0;
/// No run time is predicted shorter, in seconds.
const MIN_RUN_S: f64 = 1.0;

/// Means per machine group, that is, per name of a machine type.
type MeansPerGroup = HashMap<String, RollingMean>;

/// Predicts how long tasks take, from how long earlier ones took.
///
/// A machine group in its methods is the name of a machine type.
#[derive(Debug, Clone)]
pub struct DurationEstimator {
    window: usize,
    /// Run time in seconds, per job.
    run_times: HashMap<String, MeansPerGroup>,
    /// Jobs in `run_times`, the oldest first.
    eviction_order: VecDeque<String>,
    /// Run time over the owner's estimate, per class.
    estimate_ratios: HashMap<String, MeansPerGroup>,
    /// Observed fetch rate in gigabytes per second.
    fetch_rates: MeansPerGroup,
    /// Seconds from placement to start where no image had to be fetched.
    overhead_s: RollingMean,
    default_overhead_s: f64,
}

impl DurationEstimator {
    /// An estimator without samples. `window` is the number of samples in a job's mean;
    /// `default_overhead_s` is the start-up overhead until one was observed.
    pub fn new(window: usize, default_overhead_s: f64) -> Self {
        DurationEstimator {
            window,
            run_times: HashMap::new(),
            eviction_order: VecDeque::new(),
            estimate_ratios: HashMap::new(),
            fetch_rates: HashMap::new(),
            overhead_s: RollingMean::default(),
            default_overhead_s,
        }
    }

    /// Records that a task of a job ran for `run_s` seconds.
    pub fn record_run(&mut self, spec: &JobSpec, group: &str, run_s: f64) {
        self.evict_for(&spec.id);
        let groups = self.run_times.entry(spec.id.clone()).or_default();
        let mean = groups.entry(group.to_string()).or_default();
        mean.push(run_s, self.window);
        if spec.estimate_s > 0.0 {
            let ratio = run_s / spec.estimate_s;
            let ratio = ratio.clamp(MIN_ESTIMATE_RATIO, MAX_ESTIMATE_RATIO);
            let groups = self.estimate_ratios.entry(spec.class.clone()).or_default();
            let mean = groups.entry(group.to_string()).or_default();
            mean.push(ratio, SHARED_WINDOW_FACTOR * self.window);
        }
    }

    /// Makes room for a job, if it is new.
    fn evict_for(&mut self, job: &str) {
        if self.run_times.contains_key(job) {
            return;
        }
        self.eviction_order.push_back(job.to_string());
        if self.eviction_order.len() > MAX_JOBS
            && let Some(oldest) = self.eviction_order.pop_front()
        {
            self.run_times.remove(&oldest);
        }
    }

    /// Records that a task started `elapsed_s` seconds after its placement, and whether its
    /// image of `image_gb` gigabytes was fetched in that time.
    pub fn record_start(&mut self, group: &str, image_gb: f64, fetched: bool, elapsed_s: f64) {
        let window = SHARED_WINDOW_FACTOR * self.window;
        if !fetched {
            self.overhead_s.push(elapsed_s, window);
        } else if elapsed_s > 0.0 && image_gb > 0.0 {
            let rate = self.fetch_rates.entry(group.to_string()).or_default();
            rate.push(image_gb / elapsed_s, window);
        }
    }

    /// Predicted run time in seconds: infinite for a service, which runs until cancelled.
    pub fn run_time(&self, spec: &JobSpec, group: &str) -> f64 {
        if spec.shape == Shape::Service {
            return f64::INFINITY;
        }
        if let Some(mean) = mean_of(&self.run_times, &spec.id, group) {
            return mean;
        }
        let ratio = mean_of(&self.estimate_ratios, &spec.class, group).unwrap_or(1.0);
        (spec.estimate_s * ratio).max(MIN_RUN_S)
    }

    /// Whether a task of the job itself was seen to finish on this group.
    pub fn has_run_time(&self, job: &str, group: &str) -> bool {
        let groups = self.run_times.get(job);
        groups.is_some_and(|groups| groups.contains_key(group))
    }

    /// Predicted seconds to fetch an image of `image_gb` gigabytes. `nominal_rate`, in
    /// gigabytes per second, counts until a rate was observed; a rate of 0 means that
    /// fetching takes no time.
    pub fn fetch_time(&self, image_gb: f64, group: &str, nominal_rate: f64) -> f64 {
        let observed = self.fetch_rates.get(group).and_then(RollingMean::mean);
        let rate = observed.unwrap_or(nominal_rate);
        if rate > 0.0 { image_gb / rate } else { 0.0 }
    }

    /// Predicted seconds from placement to start, without the fetch of an image.
    pub fn overhead(&self) -> f64 {
        self.overhead_s.mean().unwrap_or(self.default_overhead_s)
    }
}

/// The mean under a key (a job or class) for a machine group.
fn mean_of(means: &HashMap<String, MeansPerGroup>, key: &str, group: &str) -> Option<f64> {
    means.get(key)?.get(group)?.mean()
}
