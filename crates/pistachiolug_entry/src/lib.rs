//! Entry: the process that takes calls from callers and hands them to agents.

pub mod call;
pub mod caller;
pub mod door;
pub mod error;
pub mod internal;
pub mod openai;
pub mod process;
pub mod remote;
