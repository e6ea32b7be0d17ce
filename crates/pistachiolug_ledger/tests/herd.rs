//! Many processes that start at once stay within the key-value service's write rate.

use std::time::Duration;

use pistachiolug_ledger::incarnation;
use pistachiolug_platform::kv::{
    budget::Budget,
    memory::{Faults, Memory},
    pace::Settings,
};
use tokio::time::sleep;

const AGENTS: usize = 690;

/// Writes a second that the whole deployment may spend on this.
const WRITES_PER_SECOND: u64 = 400;

#[tokio::test(start_paused = true)]
async fn restarting_agents_stay_within_a_few_hundred_writes_a_second() {
    // Time for which the service refuses every call at first.
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
        let agents: Vec<_> = (0..AGENTS)
            .map(|number| {
                let store = Budget::new(store.clone(), Settings::default());
                tokio::spawn(async move {
                    incarnation::acquire(&store, &format!("assistant-{number}")).await
                })
            })
            .collect();
        let heal = store.clone();
        tokio::spawn(async move {
            sleep(outage).await;
            heal.set_faults(healthy);
        });

        let mut before = store.counts().writes;
        while agents.iter().any(|agent| !agent.is_finished()) {
            sleep(Duration::from_secs(1)).await;
            let writes = store.counts().writes;
            assert!(
                writes - before <= WRITES_PER_SECOND,
                "{} writes in a second",
                writes - before
            );
            before = writes;
        }
    }
}
