//! Instances of the deployment as this process sees them.

pub mod follow;
pub mod view;
