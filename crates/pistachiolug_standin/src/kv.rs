//! Key-value service behind the etcd v3 JSON gateway's paths.

pub mod fault;
pub mod gateway;
