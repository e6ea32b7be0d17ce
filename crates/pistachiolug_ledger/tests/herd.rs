//! Write rate of the key-value service while many processes start at once.

use std::time::Duration;

use pistachiolug_ledger::incarnation;
use pistachiolug_platform::kv::{
    memory::{Faults, Memory},
    rate_limit::Settings,
    rate_limited::RateLimitedStore,
};
use tokio::time::sleep;

const AGENT_COUNT: usize = 690;

/// Maximum number of writes per second of the whole deployment for fencing tokens.
const MAX_WRITES_PER_SECOND: u64 = 400;

/// Guards against a thundering herd: all agents restart together and acquire fencing tokens, with and without an outage
/// of the key-value service at the start.
#[tokio::test(start_paused = true)]
async fn agents_restarting_at_once_stay_within_the_write_rate() {
    // Duration of the outage at the start, in which the service fails every call.
    let rows = [Duration::ZERO, Duration::from_secs(60)];
    for outage in rows {
        let store = Memory::new(1);
        let healthy = Faults {
            latency: Duration::from_millis(4),
            ..Faults::default()
        };
        store.set_faults(Faults {
            unavailable: 1.0,
            ..healthy
        });
        let agents: Vec<_> = (0..AGENT_COUNT)
            .map(|number| {
                let store = RateLimitedStore::new(store.clone(), Settings::default());
                tokio::spawn(async move {
                    incarnation::acquire(&store, &format!("assistant-{number}")).await
                })
            })
            .collect();
        let healing_store = store.clone();
        tokio::spawn(async move {
            sleep(outage).await;
            healing_store.set_faults(healthy);
        });

        let mut before = store.counts().writes;
        while agents.iter().any(|agent| !agent.is_finished()) {
            sleep(Duration::from_secs(1)).await;
            let writes = store.counts().writes;
            assert!(
                writes - before <= MAX_WRITES_PER_SECOND,
                "{} writes in a second",
                writes - before
            );
            before = writes;
        }
    }
}
