//! What several test files need.

use rushwalk_simulator::{ClusterConfig, SimulatedCluster};

/// A warmed-up cluster whose team may use fifteen machines, with so many writes per second:
/// the fewer there are, the earlier are snapshots made.
pub async fn small_cluster(seed: u64, write_rps: f64) -> SimulatedCluster {
    let config = ClusterConfig {
        write_rps,
        ..ClusterConfig::with_gpus(60.0)
    };
    SimulatedCluster::warmed_up(config, seed).await
}
