//! Tests of complete controllers on the simulated platform in virtual time, with crashes,
//! partitions, lost responses and delayed messages. The protocol's invariants must hold.

mod faults;
mod http;
mod restart;
mod scale;
mod scheduling;
mod snapshots;
