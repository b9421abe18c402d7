//! Errors of the simulator.

use std::path::PathBuf;

/// Why a simulation could not run, or its result could not be written.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// The asynchronous runtime could not be created.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// A result could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("{path}: {source}", path = path.display())]
    Plot {
        /// The file that was to be written.
        path: PathBuf,
        /// The error of the drawing library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
