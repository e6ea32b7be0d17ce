//! Load tool and experiments: starts the real daemons and the stand-ins as processes on loopback.

pub mod rig;
pub mod spread;
pub mod standin;
