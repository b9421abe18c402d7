//! Logs how the fleet is used.

use rushwalk_scheduler::round::SchedulingRound;
use rushwalk_state::records::MachineTypes;
use std::collections::BTreeMap;

/// How machines of one type are used.
#[derive(Default)]
struct Usage {
    machines: usize,
    ready: usize,
    idle: usize,
    /// The sum of their used shares.
    used: f64,
}

/// Logs how the fleet is used.
pub(super) fn log_usage(round: &SchedulingRound, types: &MachineTypes) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let mut by_kind: BTreeMap<(usize, bool), Usage> = BTreeMap::new();
    for machine in round.machines.iter() {
        let usage = by_kind.entry((machine.group, machine.spot)).or_default();
        usage.machines += 1;
        usage.ready += usize::from(machine.up);
        usage.idle += usize::from(machine.tasks == 0);
        let free = machine.free_at(round.planned_time_s);
        usage.used += 1.0 - free.least_share_of(&machine.capacity);
    }
    for ((group, spot), usage) in by_kind {
        let kind = &types.types[group].name;
        let Usage {
            machines,
            ready,
            idle,
            used,
        } = usage;
        tracing::debug!(kind, spot, machines, ready, idle, used, "capacity");
    }
}
