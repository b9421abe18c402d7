//! Shards: who owns them, and what their owner does.

pub mod ownership;
