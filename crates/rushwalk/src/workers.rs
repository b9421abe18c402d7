//! What is known of workers, and what they are told.

pub mod registry;
