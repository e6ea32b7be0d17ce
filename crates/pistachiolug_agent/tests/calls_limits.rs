//! Customers' limits over several agents.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use pistachiolug_ledger::memory::Memory;
use pistachiolug_lists::row::Row;
use pistachiolug_wire::{call::Body, fault::Code};
use support::{Agent, Size, customer, generation, introduce, lists};

/// Tokens a minute.
const RATE: u64 = 1_200;

/// Tokens of one call.
const TOKENS: u32 = 20;

/// Calls that a limit lets pass within a time: a sixth of the minute at once, the refill, and one in debt.
fn at_most(rate: u64, time: Duration) -> u32 {
    let refill = rate as f64 * time.as_secs_f64() / 60.0;
    let tokens = rate as f64 / 6.0 + refill;
    (tokens / f64::from(TOKENS)).ceil() as u32 + 1
}

async fn agents() -> Vec<Agent<Memory>> {
    let mut agents = Vec::new();
    for name in ["a", "b", "c"] {
        let agent = Agent::start(name, Size::default(), Memory::default()).await;
        let mut limited = lists(2);
        limited.insert(Row::Customer(customer("paid", RATE)));
        agent.current_lists.advance(Arc::new(limited));
        agents.push(agent);
    }
    introduce(&agents.iter().collect::<Vec<_>>());
    agents
}

/// Sends calls to the agents in turn and returns how many passed, and the code of the last that did not.
async fn spend(agents: &[Agent<Memory>], first: u128, calls: usize) -> (u32, Option<Code>) {
    let mut passed = 0;
    let mut code = None;
    for (id, agent) in (first..).zip(agents.iter().cycle()).take(calls) {
        match agent.run(&generation(id, TOKENS)).await.end {
            Body::Finished(_) => passed += 1,
            Body::Failed(fault) => code = Some(fault.code),
            end => panic!("unexpected end: {end:?}"),
        }
    }
    (passed, code)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_over_all_agents_together() {
    let agents = agents().await;

    let started = Instant::now();
    let (passed, code) = spend(&agents, 1, 60).await;
    let most = at_most(RATE, started.elapsed());

    assert!((10..=most).contains(&passed), "{passed} of {most} passed");
    assert_eq!(code, Some(Code::RateLimited));
    let kept: Vec<_> = agents
        .iter()
        .map(|agent| agent.calls.dump()["limited_customers"].as_u64())
        .collect();
    assert_eq!(
        kept.iter().flatten().sum::<u64>(),
        1,
        "one agent keeps the limit"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_that_can_not_reach_the_keeper_grant_their_part() {
    let mut agents = agents().await;
    spend(&agents, 1, 3).await;
    let keeper = agents
        .iter()
        .position(|agent| agent.calls.dump()["limited_customers"] == 1);
    let keeper = agents.remove(keeper.expect("one agent keeps the limit"));
    keeper.stop();

    let started = Instant::now();
    let (passed, code) = spend(&agents, 100, 40).await;
    let most = 2 * at_most(RATE / 3, started.elapsed());

    assert!((2..=most).contains(&passed), "{passed} of {most} passed");
    assert_eq!(code, Some(Code::RateLimited));
}
