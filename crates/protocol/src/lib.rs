//! The message formats and the settings format that rushwalk reads or writes.
//!
//! The platform's protocols have their own field names. Serde renames in this crate map them to
//! the Rust names that the other crates use. All types are plain data, so clients of rushwalk can
//! use this crate too.

#![deny(missing_docs)]

pub mod cloud;
pub mod ids;
pub mod jobs;
pub mod peers;
pub mod settings;
pub mod store;
pub mod worker;

/// Largest accepted request body, in bytes. Only requests forwarded between controllers
/// may be larger, as their CBOR encoding expands the user's body.
pub const MAX_BODY: usize = 64 * 1024;
