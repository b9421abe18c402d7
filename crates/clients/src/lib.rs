//! Clients of the services around rushwalk: state, cloud, workers, mesh.

pub mod cloud;
pub mod http;
mod idle_connections;
pub mod peers;
pub mod rate_limiter;
pub mod store;
pub mod workers;

pub use http::{Error, HttpClient};

pub use hyper::Method;
