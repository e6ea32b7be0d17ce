//! Streams through real processes that die, freeze, leave or fall silent.

mod routing_rig;

use std::net::SocketAddr;

use pistachiolug_bench::rig::watch::wait_ended;
use pistachiolug_standin::relay::Relay;
use pistachiolug_wire::outcome;
use routing_rig::{assert_exact, body, book, deployment, stream};

const TOKENS: u32 = 60;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_leaves_its_stream_whole() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment.wait_running().await.expect("the stream starts");
    deployment.agents[agent]
        .process
        .kill()
        .expect("the agent is killed");

    let seen = answer.await.expect("the caller reads");
    assert_exact(&seen, &deployment.expected("v1", &body));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_leaves_its_stream_whole_and_comes_back() {
    let deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let internal = deployment.entries[0].internal;
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment.wait_running().await.expect("the stream starts");
    let process = &deployment.agents[agent].process;
    process.signal("STOP").expect("the agent freezes");
    let seen = answer.await.expect("the caller reads");
    let barred =
        |count: u64| move |state: &serde_json::Value| state["instances"]["barred"] == count;
    let lost = deployment
        .wait_for(internal, "/debug/state", barred(1))
        .await;
    process.signal("CONT").expect("the agent wakes");
    let back = deployment
        .wait_for(internal, "/debug/state", barred(0))
        .await;

    assert_exact(&seen, &deployment.expected("v1", &body));
    lost.expect("the frozen agent gets no calls");
    back.expect("the woken agent gets calls again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_ends_its_stream_whole() {
    let mut deployment = deployment(1, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    deployment.wait_running().await.expect("the stream starts");
    let process = &mut deployment.entries[0].process;
    process.signal("TERM").expect("the entry is told to stop");
    let seen = answer.await.expect("the caller reads");
    let late = stream(&deployment.http, entry, &body).await;
    let ended = wait_ended(&mut deployment.entries[0].process).await;

    assert_exact(&seen, &deployment.expected("v1", &body));
    assert!(ended.expect("the entry ends"), "the entry ends well");
    // A call in the time that the balancer needs is whole too; after it, the port is closed.
    if let Ok(late) = late {
        assert_exact(&late, &deployment.expected("v1", &body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_agent_ends_its_stream_whole() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment.wait_running().await.expect("the stream starts");
    let process = &mut deployment.agents[agent].process;
    process.signal("TERM").expect("the agent is told to stop");
    let ended = wait_ended(process).await;
    let seen = answer.await.expect("the caller reads");

    assert_exact(&seen, &deployment.expected("v1", &body));
    assert!(ended.expect("the agent ends"), "the agent ends well");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_leaves_streams_whole_and_bookings_single() {
    let mut deployment = deployment(1, 1, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let mut relays = Vec::new();
    for agent in &mut deployment.agents {
        let relay = Relay::start(loopback(), agent.internal)
            .await
            .expect("relay listens");
        agent.internal = relay.address();
        relays.push(relay);
    }
    deployment
        .publish_instances()
        .await
        .expect("the list takes the relays");
    let version = |state: &serde_json::Value| state["instances"]["version"] == 2;
    let internal = deployment.entries[0].internal;
    let known = deployment.wait_for(internal, "/debug/state", version).await;
    known.expect("the entry knows the relays");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);
    deployment.wait_running().await.expect("the stream starts");
    let booking = book(&deployment.http, entry);

    for relay in &relays {
        relay.silence();
    }

    let seen = answer.await.expect("the caller reads");
    assert_exact(&seen, &deployment.expected("v1", &body));
    let booking = booking.await.expect("the caller reads");
    let runs = deployment
        .runs(&deployment.agents[1])
        .await
        .expect("record is read");
    match booking.headers()[outcome::HEADER].as_bytes() {
        b"answered" => assert_eq!(runs.len(), 1),
        b"not-run" => assert_eq!(runs.len(), 0),
        _ => assert!(runs.len() <= 1),
    }
}
