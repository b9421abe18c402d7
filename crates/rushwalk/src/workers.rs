//! Worker sessions: what is known of workers from their heartbeats, and their commands.

pub(crate) mod commands;
pub(crate) mod heartbeats;
pub(crate) mod registry;
pub(crate) mod session;

pub(crate) use registry::WorkerRegistry;
pub(crate) use session::WorkerSession;
