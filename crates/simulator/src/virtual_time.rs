//! A runtime whose clock is simulated: it advances at once when all tasks wait.

use crate::error::SimulatorError;

/// Runs a future on a single-threaded runtime of its own with simulated time.
///
/// # Errors
/// If the runtime can't be created.
pub fn run_on_virtual_time<T>(future: impl Future<Output = T>) -> Result<T, SimulatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    Ok(runtime.block_on(future))
}
