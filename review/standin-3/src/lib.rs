//! Stand-ins for the scripts of the third review: the platform's store, backend servers, clients, and the start of the
//! project's own programs. Only the standard library is used.

pub mod client;
pub mod daemon;
pub mod deployment;
pub mod engine;
pub mod http;
pub mod json;
pub mod record;
pub mod server;
pub mod sha256;
pub mod store;
pub mod weights;
