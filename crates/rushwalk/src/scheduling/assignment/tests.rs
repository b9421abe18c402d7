use super::*;

/// The smallest known size limit of a value in a store (16 KiB), less the frame of the value.
const MIN_VALUE_BYTES: usize = (16 << 10) - 64;

fn tasks_by_shard(tasks_per_shard: u32) -> TasksByShard {
    let shard = |shard: u32| {
        let first = shard * tasks_per_shard;
        let tasks = (first..first + tasks_per_shard).map(|index| TaskOnMachine {
            task: 98_000 + index,
            machine: "i-000123".into(),
        });
        (format!("a-zone#{shard}").into(), tasks.collect())
    };
    (0..3).map(shard).collect()
}

fn count_tasks(mutation: &Mutation) -> usize {
    match mutation {
        Mutation::Assign(assign) => assign.shards.iter().map(|shard| shard.tasks.len()).sum(),
        _ => 0,
    }
}

#[test]
fn every_assignment_fits_into_a_value_of_the_store() {
    let id: JobId = "j-000001".into();
    for (shape, tasks_per_shard) in [
        (Shape::Array, 700),
        (Shape::Service, 266),
        (Shape::Gang, 266),
        (Shape::Gang, 400),
    ] {
        let context = AssignmentContext {
            assigned_ms: 1_700_000_000_000,
            max_bytes: MIN_VALUE_BYTES,
        };
        let by_shard = tasks_by_shard(tasks_per_shard);
        let mutations = context.assignments(&id, shape, by_shard);
        let tasks: usize = mutations.iter().map(count_tasks).sum();
        assert_eq!(tasks, 3 * tasks_per_shard as usize, "{shape:?}");
        for mutation in &mutations {
            let bytes = serde_json::to_string(mutation).unwrap().len();
            assert!(bytes < MIN_VALUE_BYTES, "{shape:?}: {bytes} bytes");
        }
        assert_eq!(mutations.len() == 1, shape == Shape::Gang);
    }
}

/// The number of tasks with placement hints was limited, not their size: with values of 1 KB, or
/// with long names of machines, tasks were never assigned although machines had room.
#[test]
fn an_assignment_fits_into_values_of_any_size() {
    let id: JobId = "j-000001".into();
    for (shape, tasks_per_shard) in [(Shape::Array, 700), (Shape::Gang, 20)] {
        for max_bytes in [960, 4_000, MIN_VALUE_BYTES] {
            let context = AssignmentContext {
                assigned_ms: 1_700_000_000_000,
                max_bytes,
            };
            let mut by_shard = tasks_by_shard(tasks_per_shard);
            for task in by_shard.values_mut().flatten() {
                task.machine = "i".repeat(60).as_str().into();
            }
            let mutations = context.assignments(&id, shape, by_shard);
            let tasks: usize = mutations.iter().map(count_tasks).sum();
            assert_eq!(tasks, 3 * tasks_per_shard as usize, "{shape:?}");
            for mutation in &mutations {
                assert!(packed_size(mutation) <= max_bytes, "{shape:?}: {max_bytes}");
            }
        }
    }
}
