//! Spread of one version to N members on loopback with shaped links, against two baselines.

pub mod cluster;
pub mod command;
pub mod member;
pub mod run;
pub mod shaping;
pub mod upstream;
