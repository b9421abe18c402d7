//! A value that others wait for. Who waits goes on in the order of arrival: a library's
//! channel wakes in an order of its own, and two plays of one seed would differ.

use crate::lock::lock;
use std::sync::Mutex;
use tokio::sync::Notify;

#[derive(Default)]
pub struct Observable<T> {
    value: Mutex<T>,
    moved: Notify,
}

impl<T: Copy> Observable<T> {
    pub fn get(&self) -> T {
        *lock(&self.value)
    }

    pub fn update(&self, change: impl FnOnce(&mut T)) {
        change(&mut lock(&self.value));
        self.moved.notify_waiters();
    }

    /// Waits until the value is as wanted, and returns it.
    pub async fn wait_for(&self, wanted: impl Fn(T) -> bool) -> T {
        loop {
            let mut moved = std::pin::pin!(self.moved.notified());
            moved.as_mut().enable();
            let value = self.get();
            if wanted(value) {
                return value;
            }
            moved.await;
        }
    }
}
