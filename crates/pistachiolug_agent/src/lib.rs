//! Agent: the process beside one backend server that admits its calls and keeps its weights in line.

pub mod calls;
pub mod crash;
pub mod incarnation;
pub mod metrics;
pub mod monitor;
pub mod peers;
pub mod process;
pub mod router;
pub mod weights;
