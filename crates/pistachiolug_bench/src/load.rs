//! Open-loop load: arrivals are planned ahead and sent on time, however slow the answers are.

pub mod arrival;
pub mod caller;
pub mod plan;
pub mod runner;
pub mod sample;
pub mod sse;
pub mod summary;
