//! Stand-in of the key-value service, with the HTTP paths of etcd's v3 JSON gateway.

pub mod fault;
pub mod gateway;
