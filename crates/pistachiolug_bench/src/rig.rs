//! Test rig: a deployment of processes on loopback, which are killed by their ids when the deployment is dropped.

pub mod client;
pub mod deployment;
mod launch;
pub mod operator;
pub mod port;
pub mod process;
pub mod watch;
