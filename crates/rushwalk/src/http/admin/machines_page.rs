//! The body of `/admin/machines`: a page of machines.

use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, MachineState};
use serde::Serialize;
use std::ops::Bound;

/// Maximum number of machines on a page.
pub(super) const MACHINES_PER_PAGE: usize = 100;

/// A page of machines in the order of their names.
#[derive(Serialize)]
pub(super) struct MachinesPage<'a> {
    machines: Vec<MachineEntry<'a>>,
    /// Whether there are further machines after this page.
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
    /// Whether the machine accepts no new tasks, because it is draining or to be deleted.
    #[serde(rename = "leaving")]
    draining: bool,
    /// Whether the machine has sent a heartbeat.
    #[serde(rename = "up")]
    ready: bool,
    /// Whether the machine's heartbeats do not arrive at the owner of its shard.
    #[serde(rename = "silent")]
    unreachable: bool,
    /// Number of images in the machine's cache.
    images: usize,
    /// The tasks assigned to the machine, each as `job/index`.
    tasks: Vec<String>,
}

impl<'a> MachinesPage<'a> {
    /// The page of the machines whose names come after `after`, which need not be the name of a
    /// machine.
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
