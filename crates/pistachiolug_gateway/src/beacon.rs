//! Ages of what other entries say.

use std::time::Duration;

/// Age at which a peer's load says nothing any more; several missed beacons.
pub const LOAD_AGE: Duration = Duration::from_millis(400);

/// Age at which a peer that follows the key-value service for others is replaced.
pub const FOLLOWER_AGE: Duration = Duration::from_millis(600);

/// Age at which a peer counts as gone.
pub const PEER_AGE: Duration = Duration::from_secs(2);
