//! Instances of the deployment as this process sees them.
//!
//! The platform's instance list proposes instances. Those that are seen to leave or to be unreachable are excluded
//! until a probe shows that they take calls again.

pub mod exclusion;
pub mod follow;
pub mod probe;
pub mod view;
