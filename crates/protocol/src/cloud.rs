//! The cloud's API: machine types, rentals, deletions and the list of machines.

use serde::{Deserialize, Serialize};

/// Machines that one request may rent.
pub const MAX_RENT: u32 = 50;

/// Machines that one request may delete.
pub const MAX_DELETE: usize = 100;

/// Machines in a page of the list.
pub const MAX_LIST: usize = 500;

/// A kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Space for cached images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched, in GB a second, give or take a third. Concurrent fetches
    /// may share it.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine for an hour, charged by the second and for at least
    /// 60 s.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// The current price of a spot machine for an hour, whenever it was rented; none if the
    /// type has no spot machines.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: Option<f64>,
    /// The nominal boot time in seconds. Most machines take 0.6 to 1.5 times as long, some
    /// several times, and a few never boot.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// The zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypesResponse {
    /// In the cloud's order.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A rental of machines of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    /// The idempotency key: a request that was fulfilled under this name rents nothing more
    /// when it is repeated.
    #[serde(rename = "ask")]
    pub request: String,
    /// The machine type's name.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machines rather than on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most [`MAX_RENT`].
    pub count: u32,
}

/// Machine names: the response to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names; at most [`MAX_DELETE`] in a deletion.
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

/// A machine's state, as the cloud lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Not booted yet, as of the time that the list describes; some never boot.
    #[serde(rename = "starting")]
    Booting,
    /// Booted. Includes machines that died less than about 30 s ago.
    Running,
    /// Stopped on its own. Listed, at no charge, until it is deleted.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A rented machine, as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "uid")]
    pub name: String,
    /// Its worker's `IP:port`.
    #[serde(default)]
    pub address: String,
    /// The machine type's name.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "stance")]
    pub state: ListedState,
    /// Seconds from the rental request to the time that the list describes.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the list, which may describe a time some seconds ago.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    /// In the order of their names, which is the order of their creation.
    #[serde(rename = "rigs")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
