//! Combinations of faults that were observed on real machines or that operators asked for,
//! with whole controllers on virtual time. `docs/FAULT_COMBINATIONS.md` says what each guards against.

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
