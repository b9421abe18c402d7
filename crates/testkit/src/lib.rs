//! Simulated platform for tests that run on virtual time: a consensus-backed key-value
//! store, a cloud, workers and the network between them, all of which follow the platform's
//! protocol. A checker reports violations of the protocol's invariants.
#![deny(missing_docs)]

pub mod fault;
pub mod invariants;
pub mod machine_type;
pub mod platform;
pub mod store;
pub mod worker;

pub use fault::Fault;
pub use invariants::{InvariantChecker, Request, TeamLimit};
pub use machine_type::MachineType;
pub use platform::{SimulatedPlatform, ZONES};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if another test thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
