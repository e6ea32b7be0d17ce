//! Routing and scheduling decisions about calls.
//!
//! All functions are pure: they get the time and the randomness as arguments and do no I/O.

pub mod affinity;
pub mod allocation;
pub mod attribution;
pub mod bucket;
pub mod choice;
pub mod fair_queue;
pub mod limit;
pub mod rate_limit;
pub mod retry;
pub mod schedule;
pub mod subset;
pub mod suspect;
pub mod table;
pub mod throughput;
pub mod wait;
