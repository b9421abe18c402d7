//! The cloud's API: machine types, rentals, deletions and the list of rented machines.

use serde::{Deserialize, Serialize};

/// Maximum number of machines in a rental request.
pub const MAX_RENT: u32 = 50;

/// Maximum number of machines in a deletion request.
pub const MAX_DELETE: usize = 100;

/// Maximum number of machines in a page of the machine list.
pub const MAX_LIST: usize = 500;

/// A type of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name, by which requests and listed machines refer to it.
    #[serde(rename = "label")]
    pub name: String,
    /// The number of CPU cores.
    pub cpus: f64,
    /// The number of GPUs.
    pub gpus: f64,
    /// The memory of a machine, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Space for cached images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB per second. The actual rate differs by up
    /// to a third, and concurrent fetches may share it.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand machine, charged by the second and for at least 60 s.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current hourly price of a spot machine, which also applies to machines rented before at
    /// another price; `None` if the type has no spot machines.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds. Most machines take 0.6 to 1.5 times as long, some take
    /// several times as long, and a few never boot.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// The zones that offer the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The response to a request for the machine types.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypesResponse {
    /// All machine types, in the cloud's order.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines of one type in one zone, all of them either spot or on-demand.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// The idempotency key: repeating a fulfilled request with the same key rents no further
    /// machines.
    #[serde(rename = "ask")]
    pub request: String,
    /// The name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone in which to rent the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines rather than on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The number of machines, at most [`MAX_RENT`].
    pub count: u32,
}

/// A list of machine names: the response to a rental request, and the body of a deletion
/// request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names; at most [`MAX_DELETE`] in a deletion request.
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The machine had not booted yet at the time that the list describes. Some machines never
    /// boot.
    #[serde(rename = "starting")]
    Booting,
    /// The machine has booted. Machines that failed less than about 30 s ago are also listed in
    /// this state.
    Running,
    /// The machine stopped without a deletion request. It stays listed, at no charge, until it
    /// is deleted.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A rented machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name, as in the response to the rental request.
    #[serde(rename = "uid")]
    pub name: String,
    /// The `IP:port` of the machine's worker.
    #[serde(default)]
    pub address: String,
    /// The name of the machine's type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The name of the machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The machine's state at the time that the list describes.
    #[serde(rename = "stance")]
    pub state: ListedState,
    /// The machine's age in seconds: the time from the rental request to the time that the
    /// list describes.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the machine list. The list lags: it may describe the state of some seconds ago,
/// see [`CloudLimits::list_lag_s`](crate::settings::CloudLimits::list_lag_s).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines in the order of their names, which is also the order of their creation.
    #[serde(rename = "rigs")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
