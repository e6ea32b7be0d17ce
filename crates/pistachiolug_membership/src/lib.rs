//! Instances of the deployment as this process sees them.

pub mod exclusion;
pub mod follow;
pub mod probe;
pub mod view;
