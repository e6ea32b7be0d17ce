//! Forwards callers' HTTP requests unchanged to the backend servers of configured routes.
//!
//! Decisions ([`admission`], [`board`], [`place`]) are pure: they take time and randomness as arguments and do no I/O.

pub mod admission;
pub mod board;
pub mod call;
pub mod catalog;
pub mod entrance;
pub mod event;
pub mod fact;
pub mod forward;
pub mod gossip;
pub mod head;
pub mod intake;
pub mod line;
pub mod link;
pub mod metrics;
pub mod names;
pub mod peers;
pub mod place;
pub mod process;
pub mod rate;
pub mod relay;
pub mod reply;
pub mod send;
pub mod server;
pub mod state;
pub mod stop;
pub mod ticket;
pub mod turn;
pub mod upstream;
pub mod versions;
