//! Commands of the `pistachiolug` program: the daemons and the operators' commands.

pub mod args;
pub mod command;
pub mod daemon;
pub mod exit;
pub mod fleet;
pub mod operator;
pub mod output;
