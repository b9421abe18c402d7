//! Clients of the services around rushwalk: state, cloud, workers, mesh.

pub mod budget;
pub mod cloud;
pub mod http;
mod idle;
pub mod mesh;
pub mod state;
pub mod worker;

pub use http::{Error, Http};

pub use hyper::Method;
