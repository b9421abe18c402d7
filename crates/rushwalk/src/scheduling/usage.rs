//! Logs the usage of the machines.

use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_state::records::MachineTypes;
use std::collections::BTreeMap;

/// Machines of one type, either spot or on-demand, in all zones. The log lines are sorted by these
/// fields, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UsageGroup {
    /// The index of the machine type among the types that the cloud offers.
    type_index: usize,
    spot: bool,
}

/// The usage of all machines of one group.
#[derive(Default)]
struct Usage {
    machines: usize,
    ready: usize,
    idle: usize,
    /// The sum of the used shares of the machines, from 0 to 1 each. The used share of a machine is
    /// that of its most used resource.
    used: f64,
}

/// Logs the usage of the machines by group, at debug level.
pub(super) fn log_usage(round: &SchedulingRound, types: &MachineTypes) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut by_group: BTreeMap<UsageGroup, Usage> = BTreeMap::new();
    for machine in round.machines.iter() {
        let group = UsageGroup {
            type_index: machine.type_index,
            spot: machine.spot,
        };
        let usage = by_group.entry(group).or_default();
        usage.machines += 1;
        usage.ready += usize::from(machine.up);
        usage.idle += usize::from(machine.tasks == 0);
        let free = machine.free_at(round.planned_time_s);
        usage.used += 1.0 - free.least_share_of(&machine.capacity);
    }
    for (UsageGroup { type_index, spot }, usage) in by_group {
        let kind = &types.types[type_index].name;
        let Usage {
            machines,
            ready,
            idle,
            used,
        } = usage;
        tracing::debug!(kind, spot, machines, ready, idle, used, "capacity");
    }
}
