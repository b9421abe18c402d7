//! A value that tasks can wait on.
//!
//! Waiting tasks are woken in the order in which they began to wait. `tokio::sync::watch`
//! wakes them in an unspecified order, so that two simulations with the same seed would differ.

use parking_lot::Mutex;
use std::pin::pin;
use tokio::sync::Notify;

/// A shared value whose changes can be awaited.
#[derive(Default)]
pub struct Observable<T> {
    value: Mutex<T>,
    changed: Notify,
}

impl<T: Copy> Observable<T> {
    /// A copy of the current value, without waiting.
    pub fn get(&self) -> T {
        *self.value.lock()
    }

    /// Changes the value and wakes all waiting tasks.
    pub fn update(&self, change: impl FnOnce(&mut T)) {
        change(&mut self.value.lock());
        self.changed.notify_waiters();
    }

    /// Waits until `condition` holds for the value, and returns that value.
    pub async fn wait_for(&self, condition: impl Fn(T) -> bool) -> T {
        loop {
            let mut changed = pin!(self.changed.notified());
            // Registers for the notification before the value is read, so that a change in
            // between is not missed.
            changed.as_mut().enable();
            let value = self.get();
            if condition(value) {
                return value;
            }
            changed.await;
        }
    }
}
