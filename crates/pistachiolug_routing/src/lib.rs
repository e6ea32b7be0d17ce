//! Pure decisions about calls: no I/O; time and randomness are arguments.

pub mod affinity;
pub mod choice;
pub mod retry;
pub mod subset;
