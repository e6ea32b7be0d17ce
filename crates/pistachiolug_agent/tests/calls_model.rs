//! Internal call interface of an agent for model generations, with faults of its engine and its peers.

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::memory::Memory;
use pistachiolug_lists::row::{Kind, Name, Row};
use pistachiolug_standin::engine::record::End;
use pistachiolug_wire::{
    call::{Id, Open, Work},
    fault::Code,
    outcome::Outcome,
    revoke::Verdict,
};
use support::{
    Agent, Size, as_trial, customer, expected_text, generation, join_from, lists, load_version,
    share_instance_list, wait_until,
};

async fn start_agent(size: Size) -> Agent<Memory> {
    Agent::start("a", size, Memory::default()).await
}

/// Returns a size whose engine is slow enough for a fault in the middle of an answer.
fn slow() -> Size {
    Size {
        gap: Duration::from_millis(30),
        ..Size::default()
    }
}

/// Guards against lost, repeated or reordered tokens between the engine and the entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_returns_all_tokens_and_its_version() {
    let agent = start_agent(Size::default()).await;
    let open = generation(1, 40);

    let answer = agent.run(&open).await;

    answer.assert_contiguous(0);
    assert_eq!(answer.version.as_deref(), Some("v1"));
    assert_eq!(answer.text(), expected_text(&open));
    assert_eq!(answer.finish().tokens, 40);
}

/// Guards against answered or refused calls that are missing in the metrics or counted under wrong labels.
#[tokio::test(flavor = "multi_thread")]
async fn ended_calls_are_counted_by_plan_outcome_and_code() {
    let agent = start_agent(Size::default()).await;
    agent.run(&generation(1, 4)).await;
    let mut refused = generation(2, 4);
    refused.crashes = 2;
    agent.run(&refused).await;

    let metrics = agent.metrics().await;

    for line in [
        "agent_calls_total{code=\"none\",outcome=\"answered\",plan=\"paid\"} 1",
        "agent_calls_total{code=\"crash_suspect\",outcome=\"not-run\",plan=\"paid\"} 1",
        "agent_tokens_total{plan=\"paid\"} 4",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}

/// Guards against an entry that takes a slow engine for a lost agent because the stream carries nothing.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_come_while_the_engine_is_silent() {
    let size = Size {
        first: Duration::from_millis(1_500),
        ..Size::default()
    };
    let agent = start_agent(size).await;

    let answer = agent.run(&generation(1, 1)).await;

    assert!(answer.heartbeats >= 3, "{}", answer.heartbeats);
}

/// Guards against a call that runs twice: its entry withdraws it and sends it elsewhere, then the delayed original
/// arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_withdrawn_before_it_arrives_never_runs() {
    let agent = start_agent(Size::default()).await;
    let open = generation(1, 5);
    tokio::time::sleep(Duration::from_millis(250)).await;

    let verdict = agent.revoke(open.id, Duration::ZERO).await;
    let late = agent.run(&open).await;

    assert_eq!(verdict, Verdict::Withdrawn);
    assert_eq!(late.fault().code, Code::Revoked);
    assert_eq!(late.fault().outcome, Outcome::NotRun);
    assert!(
        late.fault().retry_after_ms > 0,
        "a withdrawn call has a retry delay"
    );
    assert!(agent.runs_of(open.id).is_empty());
}

/// Guards against a false `withdrawn` after a restart: the earlier process may have run the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_process_answers_unknown_for_calls_older_than_itself() {
    let agent = start_agent(Size::default()).await;
    let open = generation(1, 5);

    let verdict = agent.revoke(open.id, Duration::from_secs(60)).await;
    let late = agent.run(&open).await;

    assert_eq!(verdict, Verdict::Unknown);
    assert_eq!(late.fault().code, Code::Revoked);
    assert!(agent.runs_of(open.id).is_empty());
}

/// Guards against a connection that stays open without a last event after its queued call was withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_call_is_withdrawn_and_its_connection_gets_the_fault() {
    let agent = start_agent(Size { slots: 1, ..slow() }).await;
    let mut first = agent.open(&generation(1, 200)).await;
    first.tokens(1).await;
    let waiting = generation(2, 5);
    let events = agent.open(&waiting).await;
    wait_until("second call waits", || agent.calls.load().queued == 1).await;

    let verdict = agent.revoke(waiting.id, Duration::ZERO).await;
    let answer = events.read_to_end().await;

    assert_eq!(verdict, Verdict::Withdrawn);
    assert_eq!(answer.fault().code, Code::Revoked);
    assert!(
        answer.fault().retry_after_ms > 0,
        "a withdrawn call has a retry delay"
    );
    assert!(agent.runs_of(waiting.id).is_empty());
}

/// Guards against repeated or missing tokens when an entry reconnects to a running call after a lost connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_started_call_is_joined_at_the_token_reached() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 30);
    let mut events = agent.open(&open).await;
    let seen = events.tokens(5).await;
    drop(events);

    let verdict = agent.revoke(open.id, Duration::from_millis(1)).await;
    let answer = agent.run(&join_from(&open, seen.len() as u32)).await;

    assert_eq!(verdict, Verdict::Started);
    answer.assert_contiguous(seen.len() as u32);
    let head: String = seen.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &answer.text(), expected_text(&open));
    assert_eq!(agent.runs_of(open.id).len(), 1);
}

/// Guards against a second run when an entry loses the connection shortly before the end and reconnects after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_finished_call_is_joined_from_its_stored_answer() {
    let agent = start_agent(Size::default()).await;
    let open = generation(1, 30);
    agent.run(&open).await;

    let verdict = agent.revoke(open.id, Duration::from_millis(1)).await;
    let answer = agent.run(&join_from(&open, 12)).await;

    assert_eq!(verdict, Verdict::Finished);
    answer.assert_contiguous(12);
    assert_eq!(answer.finish().tokens, 30);
    assert_eq!(agent.runs_of(open.id).len(), 1);
}

/// Guards against two runs of one call when its message arrives twice.
#[tokio::test(flavor = "multi_thread")]
async fn two_opens_with_one_id_read_one_run() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 20);

    let (one, two) = tokio::join!(agent.run(&open), agent.run(&open));

    assert_eq!(one.text(), expected_text(&open));
    assert_eq!(two.text(), expected_text(&open));
    assert_eq!(agent.runs_of(open.id).len(), 1);
}

/// Guards against an answer that reaches another customer's call because both use the same id.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_never_shows_another_calls_answer() {
    let agent = start_agent(Size::default()).await;
    agent.run(&generation(1, 10)).await;
    let mut other = generation(2, 10);
    other.id = Id(1);

    let opened = agent.run(&other).await;
    let joined = agent.run(&join_from(&other, 0)).await;

    assert_eq!(opened.fault().code, Code::InvalidRequest);
    assert_eq!(joined.fault().code, Code::InvalidRequest);
    assert!(opened.tokens.is_empty() && joined.tokens.is_empty());
}

/// Guards against a false `not-run`: an agent that has restarted can't know whether the call ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_join_of_an_unknown_call_has_an_unknown_outcome() {
    let agent = start_agent(Size::default()).await;

    let answer = agent.run(&join_from(&generation(1, 5), 3)).await;

    assert_eq!(answer.fault().outcome, Outcome::Unknown);
    assert!(agent.runs_of(Id(1)).is_empty());
}

/// Guards against an engine that goes on generating for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_call_frees_the_engine_at_once() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 10_000);
    let mut events = agent.open(&open).await;
    events.tokens(2).await;

    let verdict = agent.cancel(open.id).await;
    let answer = events.read_to_end().await;

    assert_eq!(verdict, Verdict::Started);
    assert_eq!(answer.fault().code, Code::Revoked);
    wait_until("engine cancels", || {
        agent.runs_of(open.id)[0].end == End::Cancelled
    })
    .await;
    wait_until("the slot is free", || agent.calls.load().running == 0).await;
}

/// Guards against a generation that runs to its end for nobody after its entry has crashed without cancelling it.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_nobody_rejoins_is_cancelled() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 10_000);
    let mut events = agent.open(&open).await;
    events.tokens(2).await;

    drop(events);

    wait_until("engine cancels", || {
        agent.runs_of(open.id)[0].end == End::Cancelled
    })
    .await;
}

/// Guards against paid calls that wait behind long trial runs, and against tokens lost when a paused run resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_run_pauses_for_a_paid_call_and_resumes_without_a_gap() {
    let agent = start_agent(Size { slots: 1, ..slow() }).await;
    let long = as_trial(generation(1, 40));
    let mut events = agent.open(&long).await;
    let head = events.tokens(3).await;
    let paid = generation(2, 5);

    let answer = agent.run(&paid).await;
    let rest = events.read_to_end().await;

    assert_eq!(answer.text(), expected_text(&paid));
    let head: String = head.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &rest.text(), expected_text(&long));
    let runs = agent.runs_of(long.id);
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_eq!(runs[0].end, End::Cancelled);
    assert!(runs[1].from > 0 && runs[1].version == "v1");
    assert_eq!(
        (runs[0].priority, agent.runs_of(paid.id)[0].priority),
        (0, 1)
    );
}

/// Description, change of the lists or the call, and the code with which the call is then refused.
type RefusedCall = (&'static str, fn(&Agent<Memory>, &mut Open), Code);

const REFUSED_CALLS: [RefusedCall; 7] = [
    (
        "customer was removed",
        |agent, _| remove_row(agent, Kind::Customers, "paid"),
        Code::InvalidKey,
    ),
    (
        "plan was removed",
        |agent, _| remove_row(agent, Kind::Plans, "paid"),
        Code::NotInPlan,
    ),
    (
        "plan changed",
        |_, open| "trial".clone_into(&mut open.plan),
        Code::NotInPlan,
    ),
    (
        "version is not served",
        |_, open| pin_version(open, "v9"),
        Code::Unavailable,
    ),
    (
        "model is not in the plan",
        |_, open| set_model(open, "pizza"),
        Code::NotInPlan,
    ),
    (
        "no time is left",
        |_, open| open.deadline_ms = 0,
        Code::DeadlineExceeded,
    ),
    (
        "crashed two servers",
        |_, open| open.crashes = 2,
        Code::CrashSuspect,
    ),
];

fn remove_row(agent: &Agent<Memory>, kind: Kind, name: &str) {
    let mut lists = lists(2);
    let name = name.to_owned();
    lists.remove(&Name { kind, name });
    agent.active_lists.advance(Arc::new(lists));
}

fn pin_version(open: &mut Open, version: &str) {
    if let Work::Model(generation) = &mut open.work {
        version.clone_into(&mut generation.version);
    }
}

fn set_model(open: &mut Open, model: &str) {
    if let Work::Model(generation) = &mut open.work {
        model.clone_into(&mut generation.model);
    }
}

/// Guards against calls that reach the engine although the lists, the deadline or earlier crashes rule them out.
#[tokio::test(flavor = "multi_thread")]
async fn refused_calls_do_not_run() {
    for (what, change, code) in REFUSED_CALLS {
        let agent = start_agent(Size::default()).await;
        let mut open = generation(1, 5);
        change(&agent, &mut open);

        let answer = agent.run(&open).await;

        assert_eq!(answer.fault().code, code, "{what}");
        assert_eq!(answer.fault().outcome, Outcome::NotRun, "{what}");
        assert!(agent.runs_of(open.id).is_empty(), "{what}");
    }
}

/// Guards against refusals of a new customer whose entry has received the lists earlier than the agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_customer_newer_than_the_agents_lists_is_served() {
    let agent = start_agent(Size::default()).await;
    let mut open = generation(1, 5);
    "newcomer".clone_into(&mut open.customer);
    open.lists_revision = 2;

    let answer = agent.run(&open).await;

    assert_eq!(answer.text(), expected_text(&open));
}

/// Guards against a refusal without a retry delay, after which the caller would retry at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_over_the_limit_gets_a_retry_delay() {
    let agent = start_agent(Size::default()).await;
    let mut limited = lists(2);
    limited.insert(Row::Customer(customer("paid", 60)));
    agent.active_lists.advance(Arc::new(limited));

    let first = agent.run(&generation(1, 30)).await;
    let second = agent.run(&generation(2, 30)).await;

    assert_eq!(first.finish().tokens, 30);
    assert_eq!(second.fault().code, Code::RateLimited);
    assert!(second.fault().retry_after_ms > 1_000);
    assert!(agent.runs_of(Id(2)).is_empty());
}

/// Guards against a call that waits in a long queue until its deadline instead of going to another instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let agent = start_agent(Size { slots: 1, ..slow() }).await;
    let mut first = agent.open(&generation(1, 5_000)).await;
    first.tokens(1).await;
    let mut urgent = generation(2, 5);
    urgent.deadline_ms = 1_000;

    let answer = agent.run(&urgent).await;

    assert_eq!(answer.fault().code, Code::Overloaded);
    assert_eq!(answer.fault().outcome, Outcome::NotRun);
    assert!(answer.fault().retry_after_ms >= 1_000);
    assert_eq!(answer.heartbeats, 0, "the answer is not held back");
}

/// Guards against an outage during a roll-out, between the edit of the lists and the load of the new version.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_version_serves_until_the_wanted_one_is_loaded() {
    let agent = start_agent(Size::default()).await;
    let mut wanted = lists(2);
    let mut model = (**wanted.model("pasta").expect("model is listed")).clone();
    model.version = "v2".to_owned();
    wanted.insert(Row::Model(model));
    agent.active_lists.advance(Arc::new(wanted));

    let before = agent.run(&generation(1, 3)).await;
    load_version(&agent.engine, "v2", b"weights of the second version");
    let mut after = before.version.clone();
    for id in 2..200 {
        after = agent.run(&generation(id, 1)).await.version;
        if after.as_deref() == Some("v2") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(before.version.as_deref(), Some("v1"));
    assert_eq!(after.as_deref(), Some("v2"));
}

/// Guards against a request that crashes engine after engine because it is resent without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_engine_makes_its_calls_suspects() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 1_000);
    let mut events = agent.open(&open).await;
    events.tokens(3).await;

    agent.engine.crash();
    let answer = events.read_to_end().await;
    load_version(&agent.engine, "v1", support::WEIGHTS);
    let mut again = generation(2, 1_000);
    again.content = open.content;
    again.crashes = 2;
    let refused = agent.run(&again).await;

    assert_eq!(answer.fault().code, Code::CrashSuspect);
    assert_eq!(answer.fault().outcome, Outcome::Unknown);
    assert_eq!(refused.fault().code, Code::CrashSuspect);
    assert_eq!(refused.fault().outcome, Outcome::NotRun);
}

/// Guards against a suspect that takes other calls down with it, and against a third attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_runs_alone_and_is_refused_after_the_second_crash() {
    let agent = start_agent(slow()).await;
    let mut neighbour = agent.open(&generation(1, 40)).await;
    neighbour.tokens(1).await;
    let mut suspect = crashing_call(2);
    suspect.crashes = 1;

    let events = agent.open(&suspect).await;
    let neighbour = neighbour.read_to_end().await;
    let crashed = events.read_to_end().await;
    load_version(&agent.engine, "v1", support::WEIGHTS);
    suspect.id = Id(3);
    suspect.crashes = 0;
    let refused = agent.run(&suspect).await;

    assert_eq!(
        neighbour.finish().tokens,
        40,
        "the neighbour got its answer"
    );
    assert_eq!(crashed.fault().code, Code::CrashSuspect);
    assert_eq!(crashed.fault().outcome, Outcome::Unknown);
    assert_eq!(refused.fault().outcome, Outcome::NotRun);
    assert!(agent.runs_of(Id(3)).is_empty());
}

/// Returns a call that crashes each engine that runs it.
fn crashing_call(id: u128) -> Open {
    let mut open = generation(id, 5);
    if let Work::Model(generation) = &mut open.work {
        generation.body = b"{\"prompt\":\"crash-the-server\"}".to_vec().into();
    }
    open.content = open.work.content_digest("assistant");
    open
}

/// Guards against a resend that reaches an agent before the crash report and so runs next to other calls.
#[tokio::test(flavor = "multi_thread")]
async fn agents_learn_of_a_crash_before_its_caller_does() {
    let agents = [
        Agent::start("a", slow(), Memory::default()).await,
        Agent::start("b", slow(), Memory::default()).await,
        Agent::start("c", slow(), Memory::default()).await,
    ];
    share_instance_list(&agents.iter().collect::<Vec<_>>());

    let first = agents[0].run(&crashing_call(1)).await;
    let second = agents[1].run(&crashing_call(2)).await;
    let third = agents[2].run(&crashing_call(3)).await;

    assert_eq!(first.fault().outcome, Outcome::Unknown);
    assert_eq!(second.fault().outcome, Outcome::Unknown);
    assert_eq!(third.fault().code, Code::CrashSuspect);
    assert_eq!(third.fault().outcome, Outcome::NotRun);
    assert!(agents[2].runs_of(Id(3)).is_empty());
}

/// Guards against a content that runs on several servers and crashes each of them with all its other calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_content_crashed_another_server_continues_alone() {
    let dying = Agent::start("a", slow(), Memory::default()).await;
    let other = Agent::start("b", slow(), Memory::default()).await;
    share_instance_list(&[&dying, &other]);
    let open = generation(1, 60);
    let mut same = generation(2, 60);
    same.work = open.work.clone();
    same.content = open.content;
    let mut neighbour = other.open(&generation(3, 30)).await;
    neighbour.tokens(1).await;
    let mut events = other.open(&same).await;
    let head = events.tokens(2).await;
    let mut crashed = dying.open(&open).await;
    crashed.tokens(1).await;

    dying.engine.crash();
    crashed.read_to_end().await;
    let rest = events.read_to_end().await;
    let neighbour = neighbour.read_to_end().await;

    assert_eq!(neighbour.finish().tokens, 30);
    let head: String = head.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &rest.text(), expected_text(&same));
    assert_eq!(other.runs_of(same.id).len(), 2, "stopped and resumed alone");
}

/// Guards against a failed call, or repeated tokens, after a broken connection to an engine that still runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_engine_connection_resumes_at_the_token_reached() {
    let agent = start_agent(slow()).await;
    let open = generation(1, 40);
    let mut events = agent.open(&open).await;
    let head = events.tokens(3).await;

    agent.engine.abort_streams();
    let rest = events.read_to_end().await;

    rest.assert_contiguous(head.len() as u32);
    let head: String = head.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &rest.text(), expected_text(&open));
    let runs = agent.runs_of(open.id);
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert_eq!(runs[1].from, runs[0].sent);
}

/// Guards against a false `not-run` or a crash report for an engine that only stopped answering.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_ends_its_calls_with_an_unknown_outcome() {
    let agent = start_agent(Size {
        silence: Duration::from_millis(400),
        ..slow()
    })
    .await;
    let mut events = agent.open(&generation(1, 1_000)).await;
    events.tokens(3).await;

    agent.engine.set_frozen(true);
    let answer = events.read_to_end().await;
    agent.engine.set_frozen(false);

    assert_eq!(answer.fault().code, Code::BackendFailed);
    assert_eq!(answer.fault().outcome, Outcome::Unknown);
}

/// Guards against calls that a graceful shutdown cuts off or keeps in the queue.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_agent_returns_queued_calls_and_finishes_running_ones() {
    let agent = start_agent(Size { slots: 1, ..slow() }).await;
    let running = generation(1, 40);
    let mut events = agent.open(&running).await;
    let head = events.tokens(2).await;
    let waiting = agent.open(&generation(2, 5)).await;
    wait_until("second call waits", || agent.calls.load().queued == 1).await;

    agent.calls.leave();
    let waiting = waiting.read_to_end().await;
    let refused = agent.run(&generation(3, 5)).await;
    let rest = events.read_to_end().await;
    agent.calls.drain(Duration::from_secs(60)).await;

    assert_eq!(waiting.fault().code, Code::Leaving);
    assert_eq!(waiting.fault().outcome, Outcome::NotRun);
    assert_eq!(refused.fault().code, Code::Leaving);
    assert!(agent.runs_of(Id(2)).is_empty() && agent.runs_of(Id(3)).is_empty());
    let head: String = head.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &rest.text(), expected_text(&running));
}

/// Guards against a long generation that the end of the drain cuts off, or that another engine computes from scratch.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_stream_moves_with_its_cache_when_the_drain_deadline_nears() {
    let old = start_agent(slow()).await;
    let new = start_agent(slow()).await;
    let open = generation(1, 60);
    let mut events = old.open(&open).await;
    let mut seen = events.tokens(3).await;

    old.calls.leave();
    let drained = old.calls.clone();
    let drain = tokio::spawn(async move { drained.drain(Duration::from_millis(400)).await });
    let moved = events.read_to_end().await;
    seen.extend(moved.tokens.iter().cloned());
    let mut resumed = open.clone();
    if let Work::Model(generation) = &mut resumed.work {
        generation.reached = seen.len() as u32;
        generation.version = "v1".to_owned();
        generation.cache = Some(old.address);
    }
    let rest = new.run(&resumed).await;
    drain.await.expect("drain ends");

    assert_eq!(moved.fault().code, Code::Leaving);
    assert_eq!(moved.fault().outcome, Outcome::NotRun);
    rest.assert_contiguous(seen.len() as u32);
    let head: String = seen.into_iter().map(|(_, text)| text).collect();
    assert_eq!(head + &rest.text(), expected_text(&open));
    assert!(new.runs_of(open.id)[0].cached);
}
