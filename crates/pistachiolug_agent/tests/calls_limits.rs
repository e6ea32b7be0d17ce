//! Rate limits of customers across several agents.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use pistachiolug_ledger::memory::Memory;
use pistachiolug_lists::row::Row;
use pistachiolug_wire::{call::Body, fault::Code};
use support::{Agent, Size, customer, generation, lists, share_instance_list};

/// Limit of the customer, in tokens per minute.
const TOKENS_PER_MINUTE: u64 = 1_200;

/// Number of tokens that one call generates.
const CALL_TOKENS: u32 = 20;

/// Returns the largest number of calls that a limit lets pass within `time`.
///
/// These are a sixth of the limit per minute as the burst, the refill, and one call that takes the bucket below zero.
fn max_passed(rate: u64, time: Duration) -> u32 {
    let refill = rate as f64 * time.as_secs_f64() / 60.0;
    let tokens = rate as f64 / 6.0 + refill;
    (tokens / f64::from(CALL_TOKENS)).ceil() as u32 + 1
}

async fn start_agents() -> Vec<Agent<Memory>> {
    let mut agents = Vec::new();
    for name in ["a", "b", "c"] {
        let agent = Agent::start(name, Size::default(), Memory::default()).await;
        let mut limited = lists(2);
        limited.insert(Row::Customer(customer("paid", TOKENS_PER_MINUTE)));
        agent.active_lists.advance(Arc::new(limited));
        agents.push(agent);
    }
    share_instance_list(&agents.iter().collect::<Vec<_>>());
    agents
}

/// Sends calls to the agents in turn; returns how many passed, and the fault code of the last one that did not.
async fn spend(agents: &[Agent<Memory>], first: u128, calls: usize) -> (u32, Option<Code>) {
    let mut passed = 0;
    let mut code = None;
    for (id, agent) in (first..).zip(agents.iter().cycle()).take(calls) {
        match agent.run(&generation(id, CALL_TOKENS)).await.end {
            Body::Finished(_) => passed += 1,
            Body::Failed(fault) => code = Some(fault.code),
            end => panic!("unexpected end: {end:?}"),
        }
    }
    (passed, code)
}

/// Guards against agents that count a customer's calls separately, so that the customer gets the limit once per agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_over_all_agents_together() {
    let agents = start_agents().await;

    let started = Instant::now();
    let (passed, code) = spend(&agents, 1, 60).await;
    let most = max_passed(TOKENS_PER_MINUTE, started.elapsed());

    assert!((10..=most).contains(&passed), "{passed} of {most} passed");
    assert_eq!(code, Some(Code::RateLimited));
    let owned: Vec<_> = agents
        .iter()
        .map(|agent| agent.calls.dump()["limited_customers"].as_u64())
        .collect();
    assert_eq!(
        owned.iter().flatten().sum::<u64>(),
        1,
        "one agent owns the limit"
    );
}

/// Guards against calls that are all refused, or all let pass, while the agent that owns the limit is down.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_cannot_reach_the_owner_grant_their_share() {
    let mut agents = start_agents().await;
    spend(&agents, 1, 3).await;
    let owner = agents
        .iter()
        .position(|agent| agent.calls.dump()["limited_customers"] == 1);
    let owner = agents.remove(owner.expect("one agent owns the limit"));
    owner.stop();

    let started = Instant::now();
    let (passed, code) = spend(&agents, 100, 40).await;
    let most = 2 * max_passed(TOKENS_PER_MINUTE / 3, started.elapsed());

    assert!((2..=most).contains(&passed), "{passed} of {most} passed");
    assert_eq!(code, Some(Code::RateLimited));
}
