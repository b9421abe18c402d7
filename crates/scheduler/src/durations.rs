//! Predicts run times, image fetch times and the start-up overhead from earlier tasks.

use rushwalk_protocol::jobs::{JobSpec, Shape};
use std::collections::{HashMap, VecDeque};

/// Mean of the latest samples (called Rolling-Average in the paper "Coding the Computing
/// Continuum").
#[derive(Debug, Clone, Default)]
pub struct RollingMean {
    samples: VecDeque<f64>,
    /// Mean of `samples`; `None` before the first sample. It is stored, because it is read far
    /// more often than samples are added.
    mean: Option<f64>,
}

impl RollingMean {
    /// Adds a sample and drops the oldest ones beyond `window`. At least one sample is kept.
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

/// Number of jobs for which run times are stored. The job stored first is evicted first.
const MAX_JOBS: usize = 2_000;
/// Means over the tasks of many jobs use a window this many times as long as means over the
/// tasks of one job.
const SHARED_WINDOW_FACTOR: usize = 4;
/// The ratio of a run time to its user's estimate is limited to the range between these
/// values, so that one grossly wrong estimate doesn't distort the mean of the job class.
const MIN_ESTIMATE_RATIO: f64 = 0.1;
const MAX_ESTIMATE_RATIO: f64 = 10.0;
/// Lower bound in seconds on a run time that is predicted from a user's estimate.
const MIN_RUN_S: f64 = 1.0;

/// Means per machine group, keyed by the name of the machine type.
type MeansPerGroup = HashMap<String, RollingMean>;

/// Predicts the durations of tasks from those of earlier tasks.
///
/// The parameter `group` of its methods is the name of a machine type.
#[derive(Debug, Clone)]
pub struct DurationEstimator {
    /// Number of samples in the mean of one job.
    window: usize,
    /// Mean run times in seconds, by the id of the job.
    run_times: HashMap<String, MeansPerGroup>,
    /// Ids of the jobs in `run_times`, in the order in which they were added.
    eviction_order: VecDeque<String>,
    /// Mean ratios of the run time to the user's estimate, by the name of the job class.
    estimate_ratios: HashMap<String, MeansPerGroup>,
    /// Mean fetch rates in gigabytes per second.
    fetch_rates: MeansPerGroup,
    /// Mean of the seconds from placement to start of tasks whose image was not fetched.
    overhead_s: RollingMean,
    /// Overhead in seconds that is predicted while `overhead_s` has no sample.
    default_overhead_s: f64,
}

impl DurationEstimator {
    /// An estimator without samples. `window` is the number of samples in the mean of one
    /// job; `default_overhead_s` is the predicted start-up overhead in seconds until one was
    /// observed.
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

    /// Records that a task of a job completed after a run time of `run_s` seconds.
    pub fn record_run(&mut self, spec: &JobSpec, group: &str, run_s: f64) {
        self.track_job(&spec.id);
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

    /// Adds a job to the eviction order if it is new, and evicts the oldest job if there are
    /// more than [`MAX_JOBS`].
    fn track_job(&mut self, job: &str) {
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

    /// Records that a task started `elapsed_s` seconds after its placement. `fetched` says
    /// whether its image of `image_gb` gigabytes was fetched during that time.
    pub fn record_start(&mut self, group: &str, image_gb: f64, fetched: bool, elapsed_s: f64) {
        let window = SHARED_WINDOW_FACTOR * self.window;
        if !fetched {
            self.overhead_s.push(elapsed_s, window);
        } else if elapsed_s > 0.0 && image_gb > 0.0 {
            let rate = self.fetch_rates.entry(group.to_string()).or_default();
            rate.push(image_gb / elapsed_s, window);
        }
    }

    /// Predicted run time in seconds: the mean of the job's own tasks or, without any, the
    /// user's estimate corrected by the mean ratio of the job class. Infinite for a service,
    /// which runs until it is cancelled.
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

    /// Whether a run time of at least one task of the job on this group is stored. Run times
    /// of old jobs are evicted.
    pub fn has_run_time(&self, job: &str, group: &str) -> bool {
        let groups = self.run_times.get(job);
        groups.is_some_and(|groups| groups.contains_key(group))
    }

    /// Predicted seconds to fetch an image of `image_gb` gigabytes. `nominal_rate`, in
    /// gigabytes per second, is used until a fetch was recorded for the group; a rate of 0
    /// predicts 0 seconds.
    pub fn fetch_time(&self, image_gb: f64, group: &str, nominal_rate: f64) -> f64 {
        let observed = self.fetch_rates.get(group).and_then(RollingMean::mean);
        let rate = observed.unwrap_or(nominal_rate);
        if rate > 0.0 { image_gb / rate } else { 0.0 }
    }

    /// Predicted seconds from the placement of a task to its start, without the image fetch.
    pub fn overhead(&self) -> f64 {
        self.overhead_s.mean().unwrap_or(self.default_overhead_s)
    }
}

/// The mean for a job id or class (`key`) and a machine group; `None` without samples.
fn mean_of(means: &HashMap<String, MeansPerGroup>, key: &str, group: &str) -> Option<f64> {
    means.get(key)?.get(group)?.mean()
}
