//! Amounts of a machine's resources.

use rushwalk_protocol::{cloud::MachineType, jobs::JobSpec};
use std::ops::{Add, Sub};

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimal amounts miss by a little; this much is forgiven.
const SLACK: f64 = 1e-6;

impl Resources {
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    pub fn of_type(kind: &MachineType) -> Resources {
        Resources {
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
        }
    }

    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + SLACK
            && self.gpus <= room.gpus + SLACK
            && self.memory_gb <= room.memory_gb + SLACK
    }

    /// The largest share that this takes of any resource of `whole`.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        [
            (self.cpus, whole.cpus),
            (self.gpus, whole.gpus),
            (self.memory_gb, whole.memory_gb),
        ]
        .into_iter()
        .filter(|(part, _)| *part > 0.0)
        .map(|(part, whole)| part / whole.max(SLACK))
        .fold(0.0, f64::max)
    }

    /// The least share that is left of any resource of `whole`.
    pub fn least_share_of(&self, whole: &Resources) -> f64 {
        [
            (self.cpus, whole.cpus),
            (self.gpus, whole.gpus),
            (self.memory_gb, whole.memory_gb),
        ]
        .into_iter()
        .filter(|(_, whole)| *whole > 0.0)
        .map(|(part, whole)| part / whole)
        .fold(1.0, f64::min)
    }

    /// How many of this fit into `room`, at most `most`.
    pub fn count_in(&self, room: &Resources, most: u32) -> u32 {
        let share = self.dominant_share_of(room);
        match share > 0.0 {
            true => ((1.0 / share + SLACK) as u32).min(most),
            false => most,
        }
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
