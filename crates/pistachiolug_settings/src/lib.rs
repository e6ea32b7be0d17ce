//! Settings of the daemons and of operators, as JSON with comments. A check reports all findings at once.

mod check;
pub mod daemon;
pub mod fields;
pub mod finding;
pub mod load;
pub mod operator;
pub mod ports;
mod role;
pub mod schema;
pub mod secret;
pub mod source;
pub mod suggestion;
mod value;
