//! Load tool and experiments. They start the real daemons and the stand-ins as processes on loopback.

pub mod capacity;
pub mod chaos;
pub mod decision;
pub mod demo;
pub mod experiment;
pub mod load;
pub mod report;
pub mod rig;
pub mod spread;
pub mod standin;
