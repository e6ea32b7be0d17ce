//! Spread of one version to N members on loopback with rate-limited links, compared with two baselines.

pub mod cluster;
pub mod command;
pub mod member;
pub mod run;
pub mod shaping;
pub mod upstream;
