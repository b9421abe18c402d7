//! A runtime with a simulated clock: when all tasks are waiting, the clock jumps to the next
//! timer that is due.

use crate::error::SimulatorError;

/// Runs a future on a new single-threaded runtime with simulated time.
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
