//! Combinations of faults that occurred on real machines or that operators asked to test. They
//! run here on the simulated platform, with complete controllers in virtual time.
//! `docs/FAULT_COMBINATIONS.md` says which failure each test guards against.

mod cancellation;
#[path = "../common/mod.rs"]
mod common;
mod consistency;
mod failover;
mod machines;
mod validation;

use std::time::Duration;
use tokio::time::sleep;

async fn sleep_ms(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
}
