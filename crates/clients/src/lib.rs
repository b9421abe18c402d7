//! HTTP clients with which a controller calls the store, the cloud, workers and its peers.

#![deny(missing_docs)]

pub mod cloud;
pub mod http;
mod idle_connections;
pub mod peers;
pub mod rate_limiter;
pub mod store;
pub mod workers;

pub use http::{Error, HttpClient};

pub use hyper::Method;
