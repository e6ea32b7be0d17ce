//! HTTP plumbing shared by every process: a bounded server on `xitca-web`, a pooled client on `hyper-util`.

pub mod body;
pub mod client;
pub mod limit;
pub mod local_server;
pub mod pace;
pub mod secret;
pub mod server;
pub mod traffic;
