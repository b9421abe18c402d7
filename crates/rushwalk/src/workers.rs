//! Worker sessions: the state of workers as their heartbeats show it, and the commands sent to
//! them.

pub(crate) mod commands;
pub(crate) mod heartbeats;
pub(crate) mod registry;
pub(crate) mod session;

pub(crate) use registry::WorkerRegistry;
pub(crate) use session::WorkerSession;
