//! HTTP servers and client of every process.
//!
//! [`server`] reads whole requests within limits on `xitca-web`, [`local_server`] runs on one thread on `hyper`, and
//! [`client`] pools connections on `hyper-util`.

pub mod body;
pub mod client;
pub mod connections;
pub mod limit;
pub mod local_server;
pub mod memory;
pub mod pace;
pub mod secret;
pub mod server;
pub mod traffic;
