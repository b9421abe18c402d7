//! Quotas of teams.

/// A team's quota. The checker also uses this type for the CPUs and GPUs that a team uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimit {
    /// Maximum number of CPUs that the team's running tasks may use together; 0 means no limit.
    pub cpus: f64,
    /// Maximum number of GPUs that the team's running tasks may use together; 0 means no limit.
    pub gpus: f64,
}

/// Tolerance for rounding errors in sums of CPUs, GPUs and memory.
pub(super) const ROUNDING: f64 = 1e-6;

impl TeamLimit {
    /// Whether a team's usage exceeds the limit in CPUs or in GPUs.
    pub(super) fn is_exceeded_by(&self, usage: TeamLimit) -> bool {
        let exceeded = |used: f64, max: f64| max > 0.0 && used > max + ROUNDING;
        exceeded(usage.cpus, self.cpus) || exceeded(usage.gpus, self.gpus)
    }
}
