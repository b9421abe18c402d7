//! Places the tasks that are assigned to a shard on machines of this shard.

use super::trial::PlanScope;
use super::{PendingJob, SchedulingRound};
use std::sync::Arc;

/// A task and the machine on which it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskAssignment {
    /// Index of the task in the job.
    pub task: u32,
    /// Index of the machine in the round.
    pub machine: usize,
}

impl SchedulingRound<'_> {
    /// Places the tasks of a job that can start now, on the machines of one shard.
    ///
    /// `hints` holds for each task the name of a machine, or `None`. The machine was selected
    /// by the same rule in the preceding scheduling round, which covers all shards. A task that
    /// has no hint, or can't start on the machine of its hint now, goes to the best machine on
    /// which it can.
    pub fn start_now(
        &mut self,
        job: &PendingJob,
        hints: &[Option<Arc<str>>],
    ) -> Vec<TaskAssignment> {
        let mut started = Vec::new();
        let mut remaining = job.clone();
        remaining.tasks.clear();
        for (&task, hint) in job.tasks.iter().zip(hints) {
            match hint.as_ref().and_then(|name| self.place_on(job, name)) {
                Some(machine) => started.push(TaskAssignment { task, machine }),
                None => remaining.tasks.push(task),
            }
        }
        if !remaining.tasks.is_empty() {
            let scope = PlanScope {
                zone: None,
                free_now: true,
            };
            let choices = self.plan(&remaining, remaining.tasks.len(), scope);
            let machines = choices.into_iter().map(|choice| choice.machine);
            let placed = remaining.tasks.iter().zip(machines);
            started.extend(placed.map(|(&task, machine)| TaskAssignment { task, machine }));
        }
        started
    }

    /// Places a task on the machine with this name and returns the machine's index; `None` if
    /// the task can't start there now.
    fn place_on(&mut self, job: &PendingJob, name: &Arc<str>) -> Option<usize> {
        // The machines of a shard are sorted by name.
        let found = self.machines.binary_search_by(|m| m.name.cmp(name));
        let index = found.ok()?;
        let machine = &self.machines[index];
        let in_zone = job.requests_zone(&self.zones[machine.zone]);
        let avoided = job.avoided_machines.contains(name);
        if !in_zone || avoided || !job.allows_machine(machine) {
            return None;
        }
        let finish = self.evaluate(index, job, true)?.choice.finish;
        self.machines.place(index, job, &finish);
        Some(index)
    }
}
