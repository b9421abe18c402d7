//! What a controller holds at full size, by counted allocations.

use crate::store::log_writer;
use crate::view::{ClusterState, Name};
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::records::{
    self as rec, JobPhase, MachineLifecycle, MachineRecord, Mutation, SnapshotManifest,
};
use rushwalk_protocol::store::KeyValue;
use rushwalk_scheduler::durations::DurationEstimator;
use std::sync::Arc;

const MACHINES: usize = 2100;
const JOBS: usize = 1000;
const TASKS: usize = 8;

fn spec(n: usize) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"j-{n:06}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":{TASKS},"cpus":1,"gpus":1,"memoryGb":1,"kit":"img-{:02}","sizeGb":1,
        "together":false,"spread":false,"loaners":true,"guessS":60,"waypointS":0,
        "stashS":0}}"#,
        n % 12
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

/// A full fleet under a thousand jobs, and twenty thousand that are over.
fn full() -> ClusterState {
    let mut view = ClusterState::new(DurationEstimator::new(10, 1.0));
    let name = |i: usize| Name::from(format!("i-{i:06}"));
    for i in 0..MACHINES {
        let machine = MachineRecord {
            machine_type: "wheatbox".into(),
            zone: "east".into(),
            spot: false,
            shard: format!("east#{}", i / 256).into(),
            lifecycle: MachineLifecycle::Active,
            rented_ms: 5,
            ready_ms: Some(7),
            address: format!("10.1.{}.{}:9000", i / 250, i % 250).into(),
            images: (0..4)
                .map(|k| (format!("img-{k:02}").into(), 6.0))
                .collect(),
            reclaim_ms: None,
            unreachable_since_ms: None,
        };
        view.apply(Mutation::MachineAdopted(name(i), machine), 1, 10);
    }
    for n in 0..JOBS {
        let uid = Name::from(format!("j-{n:06}"));
        let on: Vec<_> = (0..TASKS)
            .map(|t| (t as u32, name((n * TASKS + t) % MACHINES)))
            .collect();
        view.apply(Mutation::Submit(spec(n), 10), 2, 20);
        for (task, machine) in &on {
            let block = view.machines[machine].record.shard.clone();
            let to = vec![(block, vec![(*task, machine.clone())])];
            view.apply(Mutation::Assign(uid.clone(), 20, to), 3, 20);
        }
        view.apply(Mutation::Place(uid, 3, 30, on), 4, 30);
    }
    let over = (0..20_000).map(|n| (Name::from(format!("j-9{n:05}")), 4));
    view.apply(
        Mutation::RestoreFinished(JobPhase::Done, over.collect()),
        5,
        30,
    );
    view
}

/// The same records as the state service would list them.
fn listing(view: &ClusterState) -> Vec<KeyValue> {
    let packed = log_writer::pack(&view.to_mutations(), 16_000);
    let base = SnapshotManifest {
        revision: 9,
        generation: 1,
        chunks: packed.len(),
    };
    let head = KeyValue {
        key: rec::BASE.into(),
        value: serde_json::value::to_raw_value(&base).unwrap(),
        version: 10,
    };
    let chunks = packed.iter().enumerate().map(|(i, text)| KeyValue {
        key: rec::chunk_key(1, i),
        value: log_writer::value(9, text).unwrap(),
        version: 10,
    });
    std::iter::once(head).chain(chunks).collect()
}

/// The smallest controllers have 142 MB for everything, connections included:
/// the view, a snapshot of it, and a listing beside the old view must leave most.
#[test]
fn a_full_fleet_leaves_most_of_the_memory() {
    const MB: u64 = 1 << 20;
    let mut view = None;
    let made = allocation_counter::measure(|| view = Some(full()));
    let view = view.unwrap();
    let held = view.machines.values().map(|m| m.tasks.len()).sum::<usize>();
    assert_eq!(held, JOBS * TASKS, "each task has its machine");
    assert!(made.bytes_current < 9 * MB as i64, "{made:?}");
    let mut items = None;
    let dumped = allocation_counter::measure(|| items = Some(listing(&view)));
    assert!(dumped.bytes_max < 14 * MB, "{dumped:?}");
    let mut again = None;
    let items = items.unwrap();
    let listed = allocation_counter::measure(|| again = ClusterState::from_listing(items, 10, 40));
    assert!(listed.bytes_max < 16 * MB, "{listed:?}");
    assert_eq!(again.unwrap().machines.len(), MACHINES);
}
