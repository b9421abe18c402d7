//! What is known of workers from their heartbeats, and what they are told.

pub mod commands;
pub mod heartbeats;
pub mod registry;
pub mod session;

pub use registry::WorkerRegistry;
pub use session::WorkerSession;
