//! Micro-kernel of the daemons: services by name, timer, logs, metrics, state dump and ordered shutdown.

pub mod admin;
pub mod clock;
pub mod dump;
pub mod inbox;
pub mod kernel;
pub mod logs;
pub mod metric;
pub mod phase;
pub mod process;
pub mod registry;
pub mod signal;
pub mod supervisor;
pub mod suspension;
pub mod timer;
