//! Open-loop load: requests are planned ahead and sent at their times, however slow the answers are.

pub mod arrival;
pub mod caller;
pub mod plan;
pub mod runner;
pub mod sample;
pub mod sse;
pub mod summary;
