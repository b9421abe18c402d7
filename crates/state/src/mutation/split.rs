//! Splitting of mutations that exceed the size limit of a value of the store.

use super::{
    MachineAdopted, MachinesReady, MachinesUnreachable, Mutation, PlaceTasks, RestoreCompleted,
    RestoreFinished, RestoreTasks, SetLifecycle, StopTasks, TasksEnded, TasksStarted,
    UnassignTasks,
};
use crate::records::{CachedImage, MachineRecord};

/// The number of tasks that two hexadecimal digits of a bitmap describe.
const TASKS_PER_DIGIT_PAIR: u32 = 8;

/// Two mutations that have the effect of one when they are applied in this order.
pub(crate) type Halves = [Mutation; 2];

impl Mutation {
    /// Splits a mutation into two with half of its list each. `None` if it has no list, if the
    /// list has fewer than two items, or if the items only take effect together: the tasks of
    /// an assignment may be those of a gang, and a rental is fulfilled only once.
    pub(crate) fn split(&self) -> Option<Halves> {
        match self {
            Mutation::Place(place) => halves(&place.tasks, |tasks| {
                Mutation::Place(PlaceTasks {
                    tasks,
                    ..place.clone()
                })
            }),
            Mutation::Started(started) => halves(&started.tasks, |tasks| {
                Mutation::Started(TasksStarted {
                    tasks,
                    ..started.clone()
                })
            }),
            Mutation::Ended(ended) => halves(&ended.tasks, |tasks| {
                Mutation::Ended(TasksEnded {
                    tasks,
                    ..ended.clone()
                })
            }),
            Mutation::Stop(stop) => halves(&stop.tasks, |tasks| {
                Mutation::Stop(StopTasks {
                    tasks,
                    ..stop.clone()
                })
            }),
            Mutation::Unassign(unassign) => halves(&unassign.tasks, |tasks| {
                Mutation::Unassign(UnassignTasks {
                    tasks,
                    ..unassign.clone()
                })
            }),
            _ => self.split_machines().or_else(|| self.split_restored()),
        }
    }

    /// Splits a mutation of the log that contains a list of machines.
    fn split_machines(&self) -> Option<Halves> {
        match self {
            Mutation::SetLifecycle(change) => halves(&change.machines, |machines| {
                Mutation::SetLifecycle(SetLifecycle {
                    machines,
                    ..change.clone()
                })
            }),
            Mutation::MachinesDeleted(machines) => halves(machines, Mutation::MachinesDeleted),
            Mutation::MachinesReady(ready) => halves(&ready.machines, |machines| {
                Mutation::MachinesReady(MachinesReady {
                    machines,
                    ..ready.clone()
                })
            }),
            Mutation::MachinesUnreachable(unreachable) => halves(&unreachable.machines, |list| {
                Mutation::MachinesUnreachable(MachinesUnreachable {
                    machines: list,
                    ..unreachable.clone()
                })
            }),
            Mutation::MachinesReachable(machines) => halves(machines, Mutation::MachinesReachable),
            _ => None,
        }
    }

    /// Splits a mutation of a snapshot.
    fn split_restored(&self) -> Option<Halves> {
        match self {
            Mutation::MachineAdopted(adopted) => split_images(adopted),
            Mutation::RestoreFinished(restore) => halves(&restore.jobs, |jobs| {
                Mutation::RestoreFinished(RestoreFinished {
                    jobs,
                    ..restore.clone()
                })
            }),
            Mutation::RestoreCompleted(restore) => split_bitmap(restore),
            Mutation::RestoreTasks(restore) => halves(&restore.tasks, |tasks| {
                Mutation::RestoreTasks(RestoreTasks {
                    tasks,
                    ..restore.clone()
                })
            }),
            _ => None,
        }
    }
}

fn halves<T: Clone>(items: &[T], mutation: impl Fn(Vec<T>) -> Mutation) -> Option<Halves> {
    if items.len() < 2 {
        return None;
    }
    let (first, second) = items.split_at(items.len() / 2);
    Some([mutation(first.to_vec()), mutation(second.to_vec())])
}

/// Splits the images of a machine's record. The first mutation adds the machine with its most
/// recently used images, the second one its other images. A version of rushwalk that does not
/// know split records ignores the second one.
fn split_images(adopted: &MachineAdopted) -> Option<Halves> {
    let with_images = |images: Vec<CachedImage>| {
        Mutation::MachineAdopted(MachineAdopted {
            machine: adopted.machine.clone(),
            record: MachineRecord {
                images,
                ..adopted.record.clone()
            },
        })
    };
    let [older, newer] = halves(&adopted.record.images, with_images)?;
    Some([newer, older])
}

fn split_bitmap(restore: &RestoreCompleted) -> Option<Halves> {
    let pairs = restore.bitmap_hex.len() / 2;
    if pairs < 2 {
        return None;
    }
    let (first, second) = restore.bitmap_hex.split_at_checked(pairs / 2 * 2)?;
    let part = |first_task: u32, digits: &str| {
        Mutation::RestoreCompleted(RestoreCompleted {
            job: restore.job.clone(),
            first_task,
            bitmap_hex: digits.to_string(),
        })
    };
    let tasks_in_first = (pairs / 2) as u32 * TASKS_PER_DIGIT_PAIR;
    Some([
        part(restore.first_task, first),
        part(restore.first_task + tasks_in_first, second),
    ])
}
