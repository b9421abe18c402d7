//! Starting the tasks that were assigned to a shard on its machines.

use super::trial::PlanScope;
use super::{PendingJob, SchedulingRound};
use std::sync::Arc;

/// A task that starts on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskAssignment {
    /// Index of the task.
    pub task: u32,
    /// Index of the machine in the round.
    pub machine: usize,
}

impl SchedulingRound<'_> {
    /// Places the tasks of a job that can start now. `hints` holds for each task the machine
    /// that was best a moment ago, by the same rule over all shards, if one was found; the
    /// other tasks' machines are searched for.
    pub fn start_now(
        &mut self,
        job: &PendingJob,
        hints: &[Option<Arc<str>>],
    ) -> Vec<TaskAssignment> {
        let mut started = Vec::new();
        let mut rest = job.clone();
        rest.tasks.clear();
        for (&task, hint) in job.tasks.iter().zip(hints) {
            match hint.as_ref().and_then(|name| self.place_on(job, name)) {
                Some(machine) => started.push(TaskAssignment { task, machine }),
                None => rest.tasks.push(task),
            }
        }
        if !rest.tasks.is_empty() {
            let scope = PlanScope {
                zone: None,
                free_now: true,
            };
            let choices = self.plan(&rest, rest.tasks.len(), scope);
            let machines = choices.into_iter().map(|choice| choice.machine);
            let placed = rest.tasks.iter().zip(machines);
            started.extend(placed.map(|(&task, machine)| TaskAssignment { task, machine }));
        }
        started
    }

    /// Places a task on the machine of a name, if it can start there now; returns the
    /// machine's index.
    fn place_on(&mut self, job: &PendingJob, name: &Arc<str>) -> Option<usize> {
        // A shard's machines are in the order of their names.
        let found = self.machines.binary_search_by(|m| m.name.cmp(name));
        let index = found.ok()?;
        let machine = &self.machines[index];
        let in_zone = job.requests_zone(&self.zones[machine.zone]);
        let avoided = job.avoided_machines.contains(name);
        if !in_zone || avoided || !job.allows_machine(machine) {
            return None;
        }
        let finish = self.candidate(index, job, true)?.choice.finish;
        self.machines.place(index, job, &finish);
        Some(index)
    }
}
