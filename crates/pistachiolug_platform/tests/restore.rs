//! Store in memory that is replaced by an earlier copy.

use std::time::{Duration, Instant};

use pistachiolug_platform::kv::{Error, Store, memory::Memory};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against tests that pass because the stand-in keeps writes or leases that the copy lacks.
#[tokio::test]
async fn writes_and_leases_after_the_copy_are_lost() {
    let store = Memory::new(1);
    store.put("kept", b"1");
    let copy = store.copy();
    let lost_revision = store.put("lost", b"2");
    let lease = store.grant(SECOND).await;

    store.restore(copy);

    assert_eq!(store.era(), 1);
    assert!(store.peek("kept").is_some() && store.peek("lost").is_none());
    assert_eq!(store.put("other", b"3"), lost_revision);
    let renewed = store.keep_alive(lease.expect("granted")).await;
    assert_eq!(renewed, Err(Error::LeaseEnded));
}

/// Guards against leases of the copy that never end.
#[tokio::test]
async fn leases_of_the_copy_expire() {
    let store = Memory::new(1);
    let lease = store.grant(SECOND).await.expect("granted");
    let copy = store.copy();

    store.restore(copy);
    store.expire(Instant::now() + 2 * SECOND);

    assert_eq!(store.keep_alive(lease).await, Err(Error::LeaseEnded));
}
