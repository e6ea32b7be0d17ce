//! Processes of one deployment on loopback, ended by id when the rig is dropped.

pub mod client;
pub mod deployment;
mod launch;
pub mod operator;
pub mod port;
pub mod process;
pub mod watch;
