//! Settings of the daemons: JSON with comments, checked as a whole.

pub mod daemon;
pub mod finding;
pub mod load;
pub mod secret;
