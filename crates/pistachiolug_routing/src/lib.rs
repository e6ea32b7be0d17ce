//! Pure decisions about calls: they take time and randomness as arguments and do no I/O.

pub mod limit;
pub mod pace;
pub mod schedule;
pub mod share;
pub mod suspect;
pub mod table;
pub mod wait;
