//! Whole controllers against the simulated platform on virtual time, with crashes,
//! partitions, lost responses and delayed messages. The protocol's invariants must hold.

mod faults;
mod http;
mod restart;
mod scale;
mod scheduling;
