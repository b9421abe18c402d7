//! Helpers shared by several test files.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster};

/// A warmed-up cluster whose team may use fifteen machines. The controllers' settings limit
/// writes to the store to `write_rps` per second. The number of log entries after which a
/// snapshot is due is proportional to `write_rps`, so a lower value makes snapshots more frequent.
pub async fn small_cluster(seed: u64, write_rps: f64) -> SimulatedCluster {
    let config = ClusterConfig {
        write_rps,
        ..ClusterConfig::with_gpus(60.0)
    };
    SimulatedCluster::warmed_up(config, seed).await
}
