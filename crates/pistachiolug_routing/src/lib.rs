//! Pure decisions about calls: they take time and randomness as arguments and do no I/O.

pub mod affinity;
pub mod choice;
pub mod limit;
pub mod pace;
pub mod retry;
pub mod schedule;
pub mod share;
pub mod subset;
pub mod suspect;
pub mod table;
pub mod wait;
