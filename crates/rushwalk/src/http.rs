//! The HTTP interfaces: users and workers on the public address, other controllers and
//! operators on the peer address.

mod admin;
pub mod admission;
pub mod connections;
pub mod peers;
pub mod users;
