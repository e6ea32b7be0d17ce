//! Request path of an entry: forwards callers' HTTP requests to the backend servers of configured routes.
//!
//! The modules that decide ([`admission`], [`pool`], [`selection`]) are pure: they take time and randomness as
//! arguments and do no I/O.

pub mod acquire;
pub mod admission;
pub mod allowance;
pub mod answer;
pub mod attempts;
pub mod backoff;
pub mod call;
pub mod cold;
pub mod config;
pub mod contact;
pub mod coordination;
pub mod deadline;
pub mod decoder;
pub mod event;
pub mod explain;
pub mod fingerprint;
pub mod forward;
pub mod gossip;
pub mod head_limit;
pub mod headers;
pub mod hedge;
pub mod limit_gossip;
pub mod link;
pub mod losses;
pub mod metrics;
pub mod names;
pub mod outage;
pub mod peers;
pub mod permit;
pub mod placement;
pub mod pool;
pub mod prefix;
pub mod prefix_cache;
pub mod prober;
pub mod process;
pub mod queue;
pub mod rate;
pub mod reachability;
pub mod receive;
pub mod relay;
pub mod reply;
pub mod selection;
pub mod send;
pub mod server;
pub mod silence;
pub mod source;
pub mod state;
pub(crate) mod statement;
pub mod stop;
pub mod unknown_headers;
pub mod updater;
pub mod upstream;
pub mod versions;
