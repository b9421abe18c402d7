//! Dispatch of mutations to the methods that apply them. The replicated state changes
//! nowhere else, except for the records that are stored under keys of their own.

use super::ClusterState;
use crate::mutation::Mutation;
use crate::{Revision, UnixMillis};

impl ClusterState {
    /// Applies a mutation of the log entry that was committed at `revision`. A mutation
    /// whose preconditions no longer hold has no effect; of a list of tasks or machines,
    /// those whose preconditions no longer hold are skipped. A gang, however, is assigned
    /// only if all tasks of the mutation can be assigned.
    ///
    /// `now_ms` affects only statistics that are local to this process.
    pub fn apply(&mut self, mutation: Mutation, revision: Revision, now_ms: UnixMillis) {
        match mutation {
            Mutation::Submit(submit) => self.submit(submit, now_ms),
            Mutation::Cancel(job) => self.cancel(&job),
            Mutation::Assign(assign) => self.assign(assign, revision),
            Mutation::Place(place) => self.place(place),
            Mutation::Started(started) => self.mark_tasks_started(&started),
            Mutation::Ended(ended) => self.end_tasks(&ended),
            Mutation::Stop(stop) => self.stop_tasks(&stop),
            Mutation::Unassign(unassign) => self.unassign(&unassign),
            Mutation::RequestRental(rental) => {
                self.rentals.entry(rental.rental).or_insert(rental.request);
            }
            Mutation::RentalRefused(rental) => {
                self.rentals.remove(&rental);
            }
            Mutation::RentalFulfilled(fulfilled) => self.add_rented_machines(fulfilled),
            Mutation::MachineAdopted(adopted) => self.add_machine(adopted.machine, adopted.record),
            Mutation::SetLifecycle(change) => self.set_lifecycle(&change),
            Mutation::MachinesDeleted(machines) => {
                machines.iter().for_each(|id| self.remove_machine(id));
            }
            Mutation::MachinesReady(ready) => self.mark_ready(ready),
            Mutation::ReclaimNotice(notice) => self.record_reclaim_notice(&notice),
            Mutation::MachinesUnreachable(unreachable) => self.mark_unreachable(&unreachable),
            Mutation::MachinesReachable(machines) => self.mark_reachable(&machines),
            Mutation::RestoreFinished(finished) => self.restore_finished(finished),
            Mutation::RestoreTerminating(job) => self.restore_terminating(job),
            Mutation::RestoreCompleted(completed) => self.restore_completed(&completed),
            Mutation::RestoreTasks(tasks) => self.restore_tasks(tasks),
            Mutation::RestoreFailures(failures) => self.restore_failures(failures),
        }
    }
}
