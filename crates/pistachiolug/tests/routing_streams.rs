//! Streams and bookings through real processes that are killed, frozen or stopped, and through silent connections.

mod routing_rig;

use std::{net::SocketAddr, time::Duration};

use http::Method;
use pistachiolug_bench::rig::{deployment::Deployment, watch::wait_for_exit};
use pistachiolug_standin::relay::Relay;
use pistachiolug_wire::outcome;
use tokio::time::sleep;

use routing_rig::{assert_complete, body, book, deployment, stream};

/// Number of tokens of a stream; at 50 ms per token it lasts three seconds.
const TOKENS: u32 = 60;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A stream whose agent is killed must continue at another agent, without missing, repeated or different tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_agent_is_killed_is_complete() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
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

    let received = answer.await.expect("the caller reads");
    assert_complete(&received, &deployment.expected_text("v1", &body));
}

/// A frozen agent keeps its connections open but sends nothing. The entry must move the stream, send no calls to the
/// agent while it is frozen, and use it again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_agent_freezes_is_complete_and_the_agent_is_used_again() {
    let deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
    let internal = deployment.entries[0].internal;
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let process = &deployment.agents[agent].process;
    process.signal("STOP").expect("the agent freezes");
    let received = answer.await.expect("the caller reads");
    let barred =
        |count: u64| move |state: &serde_json::Value| state["instances"]["barred"] == count;
    let barred_result = deployment
        .wait_for(internal, "/debug/state", barred(1))
        .await;
    process.signal("CONT").expect("the agent continues");
    let unbarred_result = deployment
        .wait_for(internal, "/debug/state", barred(0))
        .await;

    assert_complete(&received, &deployment.expected_text("v1", &body));
    barred_result.expect("the frozen agent gets no calls");
    unbarred_result.expect("the continued agent gets calls again");
}

/// An entry that is stopped must finish its streams before it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_completes_its_stream() {
    let mut deployment = deployment(1, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let process = &mut deployment.entries[0].process;
    process.signal("TERM").expect("the entry gets the signal");
    let received = answer.await.expect("the caller reads");
    let late = stream(&deployment.http, entry, &body).await;
    let ended = wait_for_exit(&mut deployment.entries[0].process).await;

    assert_complete(&received, &deployment.expected_text("v1", &body));
    assert!(ended.expect("the entry ends"), "the entry ends well");
    // The entry still accepts calls until the load balancer has noticed the stop, and must finish these too. Later the
    // port is closed.
    if let Ok(late) = late {
        assert_complete(&late, &deployment.expected_text("v1", &body));
    }
}

/// An agent that is stopped must finish its streams or hand them over before it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_agent_stops_is_complete() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);

    let agent = deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");
    let process = &mut deployment.agents[agent].process;
    process.signal("TERM").expect("the agent gets the signal");
    let ended = wait_for_exit(process).await;
    let received = answer.await.expect("the caller reads");

    assert_complete(&received, &deployment.expected_text("v1", &body));
    assert!(ended.expect("the agent ends"), "the agent ends well");
}

/// If the entry and the agent of a stream stop at the same time, they must still complete it together.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_entry_and_agent_stop_together_is_complete() {
    let mut deployment = deployment(2, 0, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
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
        process.signal("TERM").expect("both get the signal");
    }
    let received = answer.await.expect("the caller reads");

    assert_complete(&received, &deployment.expected_text("v1", &body));
    let stopping = [
        &mut deployment.agents[agent].process,
        &mut deployment.entries[0].process,
    ];
    for process in stopping {
        let ended = wait_for_exit(process).await;
        assert!(ended.expect("the process ends"), "the process ends well");
    }
}

/// Puts a relay in front of each agent and waits until the entry uses the relays.
async fn start_relays(deployment: &mut Deployment) -> Vec<Relay> {
    let mut relays = Vec::new();
    for agent in &mut deployment.agents {
        let relay = Relay::start(loopback(), agent.internal).await;
        let relay = relay.expect("relay listens");
        agent.internal = relay.address();
        relays.push(relay);
    }
    let published = deployment.publish_instances().await;
    published.expect("the instance list is published");
    let version = |state: &serde_json::Value| state["instances"]["version"] == 2;
    let internal = deployment.entries[0].internal;
    let known = deployment.wait_for(internal, "/debug/state", version).await;
    known.expect("the entry knows the relays");
    relays
}

/// A connection that stays open without passing any data must not stall a stream, although the agent itself is healthy.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_over_a_silent_connection_is_complete() {
    let mut deployment = deployment(1, 0, 1).await;
    let relays = start_relays(&mut deployment).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
    let body = body(TOKENS);
    let answer = stream(&deployment.http, entry, &body);
    deployment
        .wait_for_generation()
        .await
        .expect("the stream starts");

    relays[0].stall_connections();

    let received = answer.await.expect("the caller reads");
    assert_complete(&received, &deployment.expected_text("v1", &body));
}

/// Requests and answers get lost on silent connections. The outcome that the caller gets must match the service's
/// record: `answered` means one run, `not-run` means none, and no booking runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_over_silent_connections_do_not_run_twice() {
    let mut deployment = deployment(0, 2, 1).await;
    let relays = start_relays(&mut deployment).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
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
        count_settled_calls(&deployment).await > 0,
        "no booking was affected by a silent connection"
    );
}

/// Returns the number of calls that the entry rejoined or withdrew over a new connection.
async fn count_settled_calls(deployment: &Deployment) -> u64 {
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

/// The instance list changes late. A stopped agent must tell the entries itself, or they would send it calls that it
/// refuses.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_gets_no_calls_while_the_list_still_shows_it() {
    let deployment = deployment(0, 2, 1).await;
    let entry = deployment.entries[0].callers.expect("entry serves callers");
    let internal = deployment.entries[0].internal;
    let leaving_agent = deployment
        .agents
        .iter()
        .find(|agent| agent.name == "booking-0");
    let leaving_agent = leaving_agent.expect("the rig names its agents");
    for number in 0..8 {
        let booking = book(&deployment.http, entry, &format!("before/{number}"));
        booking.await.expect("the caller reads");
    }
    leaving_agent
        .process
        .signal("TERM")
        .expect("the agent gets the signal");

    let barred = |state: &serde_json::Value| state["instances"]["barred"] == 1;
    let known = deployment.wait_for(internal, "/debug/state", barred).await;
    known.expect("the entry learns it without the list");
    let before = deployment
        .recorded_runs(leaving_agent)
        .await
        .expect("record is read")
        .len();
    for number in 0..20 {
        let answer = book(&deployment.http, entry, &format!("after/{number}"));
        let answer = answer.await.expect("the caller reads");
        assert_eq!(answer.headers()[outcome::HEADER], "answered", "{answer:?}");
    }

    let after = deployment
        .recorded_runs(leaving_agent)
        .await
        .expect("record is read")
        .len();
    assert!(before > 0, "the leaving agent had no calls before");
    assert_eq!(after, before);
}
