//! Machine types that the simulated cloud rents out.

/// A machine type and its price.
#[derive(Debug, Clone, Copy)]
pub struct MachineType {
    /// Name of the type in rental requests, in the machine list and in workers' heartbeats.
    pub label: &'static str,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine in GB.
    pub memory_gb: f64,
    /// On-demand price per hour.
    pub hourly: f64,
    /// Spot price per hour; `None` if the type is not offered as a spot instance.
    pub spot_hourly: Option<f64>,
}

/// The type that every simulated cloud offers. Also stands in for a rented type that the
/// cloud doesn't offer.
pub(crate) const DEFAULT_MACHINE_TYPE: MachineType = MachineType {
    label: "box",
    cpus: 16.0,
    gpus: 4.0,
    memory_gb: 64.0,
    hourly: 4.0,
    spot_hourly: None,
};
