//! Store in memory that is replaced by an earlier copy.

use std::time::{Duration, Instant};

use pistachiolug_platform::kv::{
    Error, Precondition, Store, held_lease::HeldLease, memory::Memory,
};

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

/// Guards against a row that is bound to the lease of another process, which has got the id of a lost one.
#[tokio::test]
async fn a_held_lease_of_an_earlier_era_has_ended() {
    let store = Memory::new(1);
    let copy = store.copy();
    let mut lost = HeldLease::grant(&store, 10 * SECOND)
        .await
        .expect("granted");
    store.restore(copy);
    let current = HeldLease::grant(&store, 10 * SECOND)
        .await
        .expect("granted");

    let by_lost = lost.swap(&store, "k", Precondition::Absent, b"v").await;
    let renewed = lost.renew(&store).await;
    let by_current = current.swap(&store, "k", Precondition::Absent, b"v").await;

    assert_eq!(by_lost, Err(Error::LeaseEnded));
    assert_eq!(renewed, Err(Error::LeaseEnded));
    assert!(by_current.is_ok());
}
