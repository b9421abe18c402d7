//! The body of `/admin/machines`: a page of machines.

use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, MachineState};
use serde::Serialize;
use std::ops::Bound;

/// Machines on one page.
pub(super) const MACHINES_PER_PAGE: usize = 100;

/// A page of machines in the order of their names.
#[derive(Serialize)]
pub(super) struct MachinesPage<'a> {
    machines: Vec<MachineEntry<'a>>,
    /// Whether there are machines after the last one.
    more: bool,
}

#[derive(Serialize)]
struct MachineEntry<'a> {
    name: &'a str,
    #[serde(rename = "type")]
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    #[serde(rename = "block")]
    shard: &'a str,
    /// It takes no new tasks, or is being deleted.
    #[serde(rename = "leaving")]
    draining: bool,
    /// It has sent a heartbeat.
    #[serde(rename = "up")]
    ready: bool,
    #[serde(rename = "silent")]
    unreachable: bool,
    /// How many images are on it.
    images: usize,
    /// Its tasks as `job/index`.
    tasks: Vec<String>,
}

impl<'a> MachinesPage<'a> {
    /// The page that begins after the machine `after`, whether that exists or not.
    pub(super) fn after(state: &'a ClusterState, after: &str) -> MachinesPage<'a> {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        let mut rest = state.machines.range::<str, _>(range);
        let page = rest.by_ref().take(MACHINES_PER_PAGE);
        MachinesPage {
            machines: page.map(|(name, m)| MachineEntry::new(name, m)).collect(),
            more: rest.next().is_some(),
        }
    }
}

impl<'a> MachineEntry<'a> {
    fn new(name: &'a str, machine: &'a MachineState) -> MachineEntry<'a> {
        let record = &machine.record;
        let tasks = machine.tasks.iter();
        MachineEntry {
            name,
            machine_type: &record.machine_type,
            zone: &record.zone,
            spot: record.spot,
            shard: &record.shard,
            draining: record.lifecycle != MachineLifecycle::Active,
            ready: record.ready_ms.is_some(),
            unreachable: record.unreachable_since_ms.is_some(),
            images: record.images.len(),
            tasks: tasks.map(|task| task.to_string()).collect(),
        }
    }
}
