//! Instances of the deployment as this process sees them.

pub mod follow;
pub mod probe;
pub mod sign;
pub mod view;
