//! Amounts of CPU, GPU and memory that tasks request and machines have.

use rushwalk_protocol::{cloud::MachineType, jobs::JobSpec};
use std::ops::{Add, Sub};

/// An amount of each kind of resource.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPU cores; fractions are allowed.
    pub cpus: f64,
    /// GPUs; fractions are allowed.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Difference that comparisons of amounts tolerate, because sums of decimal fractions have
/// rounding errors.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// The resources that one task of a job requests.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// The resources of a machine of this type without tasks.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether this amount fits into `available`.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + ROUNDING_TOLERANCE
            && self.gpus <= available.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= available.memory_gb + ROUNDING_TOLERANCE
    }

    /// The largest of the shares that this amount takes of each resource of `whole`; 0 for an
    /// empty amount.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        self.paired_with(whole)
            .into_iter()
            .filter(|(part, _)| *part > 0.0)
            .map(|(part, whole)| part / whole.max(ROUNDING_TOLERANCE))
            .fold(0.0, f64::max)
    }

    /// The smallest of the shares that this amount takes of each resource that `whole` has; at
    /// most 1.
    pub fn least_share_of(&self, whole: &Resources) -> f64 {
        self.paired_with(whole)
            .into_iter()
            .filter(|(_, whole)| *whole > 0.0)
            .map(|(part, whole)| part / whole)
            .fold(1.0, f64::min)
    }

    /// How many times this amount fits into `available`, at most `limit`.
    pub fn count_in(&self, available: &Resources, limit: u32) -> u32 {
        let share = self.dominant_share_of(available);
        if share > 0.0 {
            ((1.0 / share + ROUNDING_TOLERANCE) as u32).min(limit)
        } else {
            limit
        }
    }

    /// Pairs each resource of this amount with the same resource of `whole`.
    fn paired_with(&self, whole: &Resources) -> [(f64, f64); 3] {
        [
            (self.cpus, whole.cpus),
            (self.gpus, whole.gpus),
            (self.memory_gb, whole.memory_gb),
        ]
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}
