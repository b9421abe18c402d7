//! The cloud's interface: machine types, rentals, deletions and the list.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypesResponse {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u32,
}

/// Machine names: the answer to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

pub const MAX_RENT: u32 = 50;
pub const MAX_DELETE: usize = 100;
/// Machines in a page of the list.
pub const MAX_LIST: usize = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "uid")]
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "stance")]
    pub state: ListedState,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "rigs")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
