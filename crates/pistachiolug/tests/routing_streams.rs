//! Streams through real processes that die, freeze, leave or fall silent.

mod routing_rig;

use std::{net::SocketAddr, time::Duration};

use http::Method;
use pistachiolug_bench::rig::{deployment::Deployment, watch::wait_for_exit};
use pistachiolug_standin::relay::Relay;
use pistachiolug_wire::outcome;
use tokio::time::sleep;

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

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    deployment.agents[agent]
        .process
        .kill()
        .expect("the agent is killed");

    let seen = answer.await.expect("the caller reads");
    assert_exact(&seen, &deployment.expected_text("v1", &body));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_leaves_its_stream_whole_and_comes_back() {
    let deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let internal = deployment.entries[0].internal;
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
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

    assert_exact(&seen, &deployment.expected_text("v1", &body));
    lost.expect("the frozen agent gets no calls");
    back.expect("the woken agent gets calls again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_ends_its_stream_whole() {
    let mut deployment = deployment(1, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let process = &mut deployment.entries[0].process;
    process.signal("TERM").expect("the entry is told to stop");
    let seen = answer.await.expect("the caller reads");
    let late = stream(&deployment.http, entry, &body).await;
    let ended = wait_for_exit(&mut deployment.entries[0].process).await;

    assert_exact(&seen, &deployment.expected_text("v1", &body));
    assert!(ended.expect("the entry ends"), "the entry ends well");
    // A call in the time that the balancer needs is whole too; after it, the port is closed.
    if let Ok(late) = late {
        assert_exact(&late, &deployment.expected_text("v1", &body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_agent_ends_its_stream_whole() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let process = &mut deployment.agents[agent].process;
    process.signal("TERM").expect("the agent is told to stop");
    let ended = wait_for_exit(process).await;
    let seen = answer.await.expect("the caller reads");

    assert_exact(&seen, &deployment.expected_text("v1", &body));
    assert!(ended.expect("the agent ends"), "the agent ends well");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_and_an_agent_that_leave_together_end_their_stream_whole() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let stopping = [
        &deployment.agents[agent].process,
        &deployment.entries[0].process,
    ];
    for process in stopping {
        process.signal("TERM").expect("both are told to stop");
    }
    let seen = answer.await.expect("the caller reads");

    assert_exact(&seen, &deployment.expected_text("v1", &body));
    let stopping = [
        &mut deployment.agents[agent].process,
        &mut deployment.entries[0].process,
    ];
    for process in stopping {
        let ended = wait_for_exit(process).await;
        assert!(ended.expect("the process ends"), "the process ends well");
    }
}

/// Puts a relay in front of each agent and waits until the entry knows.
async fn relays(deployment: &mut Deployment) -> Vec<Relay> {
    let mut relays = Vec::new();
    for agent in &mut deployment.agents {
        let relay = Relay::start(loopback(), agent.internal).await;
        let relay = relay.expect("relay listens");
        agent.internal = relay.address();
        relays.push(relay);
    }
    let published = deployment.publish_instances().await;
    published.expect("the list takes the relays");
    let version = |state: &serde_json::Value| state["instances"]["version"] == 2;
    let internal = deployment.entries[0].internal;
    let known = deployment.wait_for(internal, "/debug/state", version).await;
    known.expect("the entry knows the relays");
    relays
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_leaves_streams_whole() {
    let mut deployment = deployment(1, 0, 1).await;
    let relays = relays(&mut deployment).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);
    deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");

    relays[0].stall_connections();

    let seen = answer.await.expect("the caller reads");
    assert_exact(&seen, &deployment.expected_text("v1", &body));
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_run_no_booking_twice() {
    let mut deployment = deployment(0, 2, 1).await;
    let relays = relays(&mut deployment).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    for relay in &relays {
        relay.set_delay(Duration::from_millis(20));
    }
    let mut bookings = Vec::new();

    for number in 0..24 {
        bookings.push(book(&deployment.http, entry, &format!("orders/{number}")));
        sleep(Duration::from_millis(5)).await;
    }
    for relay in &relays {
        relay.stall_connections();
    }

    let mut runs = Vec::new();
    let mut answers = Vec::new();
    for booking in bookings {
        answers.push(booking.await.expect("the caller reads"));
    }
    for agent in &deployment.agents {
        runs.extend(
            deployment
                .recorded_runs(agent)
                .await
                .expect("record is read"),
        );
    }
    for (number, answer) in answers.iter().enumerate() {
        let path = format!("/orders/{number}");
        let count = runs.iter().filter(|run| run.path == path).count();
        match answer.headers()[outcome::HEADER].as_bytes() {
            b"answered" => assert_eq!(count, 1, "{path}: {answer:?}"),
            b"not-run" => assert_eq!(count, 0, "{path}: {answer:?}"),
            _ => assert!(count <= 1, "{path}: {answer:?}"),
        }
    }
    assert!(
        moves(&deployment).await > 0,
        "no booking was lost on its way"
    );
}

/// Returns the number of calls that the entry settled over a new connection.
async fn moves(deployment: &Deployment) -> u64 {
    let entry = deployment.entries[0].internal;
    let page = deployment
        .http
        .send(Method::GET, entry, "/metrics", None, "")
        .await;
    let page = page.expect("the entry shows its metrics");
    let page = String::from_utf8_lossy(page.body()).into_owned();
    let settled = ["reason=\"joined\"} ", "reason=\"withdrawn\"} "];
    page.lines()
        .filter_map(|line| settled.iter().find_map(|reason| line.split_once(reason)))
        .filter_map(|(_, count)| count.parse::<u64>().ok())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_agent_gets_no_calls_though_the_list_still_shows_it() {
    let deployment = deployment(0, 2, 1).await;
    let entry = deployment.entries[0].callers.expect("entries take callers");
    let internal = deployment.entries[0].internal;
    let leaver = deployment
        .agents
        .iter()
        .find(|agent| agent.name == "booking-0");
    let leaver = leaver.expect("the rig names its agents");
    for number in 0..8 {
        let booking = book(&deployment.http, entry, &format!("before/{number}"));
        booking.await.expect("the caller reads");
    }
    leaver
        .process
        .signal("TERM")
        .expect("the agent is told to stop");

    let barred = |state: &serde_json::Value| state["instances"]["barred"] == 1;
    let known = deployment.wait_for(internal, "/debug/state", barred).await;
    known.expect("the entry learns it without the list");
    let before = deployment
        .recorded_runs(leaver)
        .await
        .expect("record is read")
        .len();
    for number in 0..20 {
        let answer = book(&deployment.http, entry, &format!("after/{number}"));
        let answer = answer.await.expect("the caller reads");
        assert_eq!(answer.headers()[outcome::HEADER], "answered", "{answer:?}");
    }

    let after = deployment
        .recorded_runs(leaver)
        .await
        .expect("record is read")
        .len();
    assert!(before > 0, "the leaver had calls before");
    assert_eq!(after, before);
}
