//! Every format that rushwalk reads or writes.
//!
//! The platform's protocols use names of their own; they appear in this crate
//! only, as serde renames. Everything here is plain data that a client of the
//! service can use as well.

#![deny(missing_docs)]

pub mod cloud;
pub mod ids;
pub mod jobs;
pub mod peers;
pub mod settings;
pub mod store;
pub mod worker;

/// Largest request body that any interface accepts, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
