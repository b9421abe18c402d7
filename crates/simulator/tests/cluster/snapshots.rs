//! Restarts of controllers from a snapshot after a machine has run tasks with many images. The
//! machine's record exceeded the size limit of a value of the store, and the snapshot lacked it.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster, inspect};
use rushwalk_state::records::LogEntry;
use rushwalk_state::{Mutation, codec};
use serde_json::json;
use serde_json::value::RawValue;

/// The number of images that one machine's cache holds. Their names have 200 bytes each, so that
/// all of them together exceed the size limit of a value.
const IMAGES: u32 = 240;

/// The number of the service that keeps the machine in use.
const SERVICE: u32 = 1;

/// The simulated cluster, whose store has values of 16 KB and whose snapshots are due after few
/// log entries.
fn cluster(seed: u64) -> SimulatedCluster {
    cluster_with_values_of(16.0, seed)
}

/// A cluster whose store has values of `value_kb` KB.
fn cluster_with_values_of(value_kb: f64, seed: u64) -> SimulatedCluster {
    let config = ClusterConfig {
        write_rps: 10.0,
        value_kb,
        ..ClusterConfig::default()
    };
    SimulatedCluster::with_config(config, seed)
}

fn snapshot_generation(cluster: &SimulatedCluster) -> u64 {
    inspect::snapshot_generation(cluster.first_controller())
}

/// Runs jobs with an image each beside a service, then waits until a snapshot is written that
/// covers them. Returns the service.
async fn fill_the_cache_of_a_machine(cluster: &mut SimulatedCluster) -> String {
    let service = cluster.submit(SERVICE, "standing", 1, 1.0, 0.0).await;
    cluster.run_for(30).await;
    let mut jobs = Vec::new();
    for number in 1000..1000 + IMAGES {
        let image = format!("{number:0>200}");
        let fields = json!({"cpus": 0.05, "memoryGb": 0.1, "kit": image, "sizeGb": 0.02});
        let job = cluster.submit_with(number, "sweep", 1, 0.0, 1.0, fields);
        jobs.push(job.await);
    }
    cluster.wait_until_done(&jobs, 300).await;
    let jobs = SmallJobs {
        first: 10_000,
        per_s: 1,
        max_s: 400,
    };
    write_snapshot(cluster, jobs).await;
    service
}

/// The small jobs that make a snapshot due.
struct SmallJobs {
    /// The number of the first job.
    first: u32,
    /// The number of jobs that are submitted each second.
    per_s: u32,
    /// The snapshot must be written in less than this time, in seconds.
    max_s: u32,
}

/// Submits small jobs until a snapshot is written that covers the present state. A snapshot may
/// have been begun before, so the second one counts.
async fn write_snapshot(cluster: &mut SimulatedCluster, jobs: SmallJobs) {
    write_snapshots(cluster, jobs, 2).await;
}

/// Submits small jobs until `count` snapshots are written.
async fn write_snapshots(cluster: &mut SimulatedCluster, jobs: SmallJobs, count: u64) {
    let generation = snapshot_generation(cluster);
    let mut waited_s = 0;
    while snapshot_generation(cluster) < generation + count {
        let first = jobs.first + waited_s * jobs.per_s;
        waited_s += 1;
        assert!(
            waited_s < jobs.max_s,
            "fewer than {count} snapshots were written"
        );
        for number in first..first + jobs.per_s {
            cluster.submit(number, "sweep", 1, 0.0, 1.0).await;
        }
        cluster.run_for(1).await;
    }
}

/// Crashes all controllers and starts them again. Fails unless the service runs afterwards.
async fn assert_outlives_a_crash_of_all(cluster: &mut SimulatedCluster, service: &str) {
    cluster.crash_all();
    cluster.run_for(3).await;
    cluster.start_all();
    cluster.run_for(90).await;
    assert_eq!(cluster.job_status(service).await.running, 1);
    let machines = cluster.platform.checker().machines_of(service);
    assert_eq!(machines.len(), 1, "the service is on no machine");
    cluster.assert_invariants();
}

/// A chunk of a snapshot without the records of machines.
fn without_machines(chunk: &RawValue) -> Box<RawValue> {
    let LogEntry {
        previous_version,
        mut mutations,
    } = codec::unframe(chunk).unwrap();
    mutations.retain(|mutation| !matches!(mutation, Mutation::MachineAdopted(_)));
    let packed = codec::pack(&mutations, usize::MAX).unwrap();
    codec::frame(previous_version, &packed.concat()).unwrap()
}

/// The copy arrives two snapshots later, which reuses the keys, while the same controller leads.
#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_snapshot_chunk_does_not_corrupt_a_later_snapshot() {
    let mut cluster = cluster(36);
    let service = format!("j-{SERVICE:06}");
    cluster.submit(SERVICE, "standing", 1, 1.0, 0.0).await;
    cluster.run_for(20).await;
    cluster.platform.keep_next_commit("\"w/s/");
    let jobs = SmallJobs {
        first: 1_000,
        per_s: 1,
        max_s: 400,
    };
    write_snapshots(&mut cluster, jobs, 3).await;
    assert!(cluster.platform.replay_kept_commit());
    assert_outlives_a_crash_of_all(&mut cluster, &service).await;
}

/// A controller that started from the snapshot did not know the machine, so placements there had
/// no effect on its state. Once it owned the machine's shard, it started the tasks again on
/// another machine while they ran.
#[tokio::test(start_paused = true)]
async fn a_controller_restarted_from_a_snapshot_starts_no_running_task_again() {
    let mut cluster = cluster(31);
    fill_the_cache_of_a_machine(&mut cluster).await;
    for victim in 0..cluster.processes.len() {
        cluster.crash(victim);
        let first = 20_000 + 10 * victim as u32;
        let mut jobs = Vec::new();
        for number in first..first + 4 {
            jobs.push(cluster.submit(number, "sweep", 1, 0.0, 40.0).await);
        }
        cluster.run_for(3).await;
        cluster.start(victim);
        cluster.wait_until_done(&jobs, 150).await;
    }
    cluster.assert_invariants();
}

/// After a crash of all controllers, the machine was deleted as unexpected. The service on it was
/// never started again, though all controllers answered that it ran.
#[tokio::test(start_paused = true)]
async fn a_service_outlives_a_crash_of_all_controllers_after_a_snapshot() {
    let mut cluster = cluster(32);
    let service = fill_the_cache_of_a_machine(&mut cluster).await;
    assert_outlives_a_crash_of_all(&mut cluster, &service).await;
}

/// An earlier version wrote a snapshot without the machine. Its tasks were neither ended nor
/// started again. They must run on, or run again once the machine is surely gone.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_machine_that_a_stored_snapshot_lacks_are_not_lost() {
    let mut cluster = cluster(33);
    let service = fill_the_cache_of_a_machine(&mut cluster).await;
    let batch = cluster.submit(2, "sweep", 2, 1.0, 100.0).await;
    // The batch job must still run when the snapshot is written.
    let jobs = SmallJobs {
        first: 30_000,
        per_s: 3,
        max_s: 90,
    };
    write_snapshot(&mut cluster, jobs).await;
    let machines = cluster.platform.checker().machines_of(&service);
    cluster.crash_all();
    cluster
        .platform
        .rewrite_store("w/s/", |chunk| without_machines(chunk));
    cluster.run_for(3).await;
    cluster.start_all();
    cluster.wait_until_done(&[batch], 300).await;
    cluster.run_for(120).await;
    // The service was moved, since no task can be planned on a machine of unknown type.
    let machines_after = cluster.platform.checker().machines_of(&service);
    assert_eq!(machines_after.len(), 1, "the service is on no machine");
    assert_ne!(machines_after, machines);
    cluster.assert_invariants();
}

/// With small values, the chunks that one transaction wrote exceeded its limit on puts. The store
/// refused it each time, so no snapshot was ever finished and the log grew.
#[tokio::test(start_paused = true)]
async fn a_snapshot_of_many_small_chunks_is_written() {
    let mut cluster = cluster_with_values_of(1.0, 34);
    let service = fill_the_cache_of_a_machine(&mut cluster).await;
    assert_outlives_a_crash_of_all(&mut cluster, &service).await;
}
