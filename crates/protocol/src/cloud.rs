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
    /// How fast images are fetched, in GB a second, give or take a third.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine for an hour, charged by the second.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// The present price of a spot machine for an hour; none if there are none.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: Option<f64>,
    /// The nominal boot time in seconds; usually 0.6 to 1.5 times as long.
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
    /// The idempotency key: a request repeated by this name rents nothing more.
    #[serde(rename = "ask")]
    pub request: String,
    /// The machine type's name.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machines rather than ordinary ones.
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
    /// Not up yet; some never come up.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
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
