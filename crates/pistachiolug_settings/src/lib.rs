//! Settings of the daemons and of operators: JSON with comments, checked as a whole.

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
pub mod suggestion;
mod value;
