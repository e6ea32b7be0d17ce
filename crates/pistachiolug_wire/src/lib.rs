//! Messages between the processes of one deployment, and the identifiers they share.

pub mod call;
pub mod codec;
pub mod crash;
pub mod datagram;
pub mod digest;
pub mod fault;
pub mod instance;
pub mod limit;
pub mod load;
pub mod notice;
pub mod outcome;
pub mod position;
pub mod revoke;
pub mod weights;
