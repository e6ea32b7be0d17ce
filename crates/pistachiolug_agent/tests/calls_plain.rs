//! Internal call interface of an agent for plain services, some of whose calls must not run twice.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use pistachiolug_ledger::{
    claim::{Claim, Claims, Decision, Error, Key},
    memory::Memory,
};
use pistachiolug_standin::plain::Fault as Failure;
use pistachiolug_wire::{
    call::{Body, Id, Open, Response, Work},
    fault::Code,
    outcome::Outcome,
    revoke,
};
use support::{Agent, Answer, Size, booking, join_from, wait_until};

/// Pause of the process that is longer than the time from a claim to the start of its call may be.
const PAUSE: Duration = Duration::from_millis(4_500);

fn size() -> Size {
    Size {
        model: false,
        ..Size::default()
    }
}

fn slow() -> Size {
    Size {
        first: Duration::from_millis(300),
        ..size()
    }
}

async fn start_agent(size: Size) -> Agent<Memory> {
    Agent::start("a", size, Memory::default()).await
}

fn response(answer: &Answer) -> &Response {
    match &answer.end {
        Body::Response(response) => response,
        end => panic!("no answer: {end:?}"),
    }
}

/// Returns the number of runs with a key at the backend server.
fn runs<C>(agent: &Agent<C>, key: &str) -> usize {
    let runs = agent.plain.runs();
    let own = runs.iter().filter(|run| run.key.as_deref() == Some(key));
    own.count()
}

/// Ledger that fails on request, before or after its write takes effect.
#[derive(Debug, Clone, Default)]
struct FaultyLedger {
    memory: Memory,
    /// Every request fails without an effect.
    is_down: Arc<AtomicBool>,
    /// Claims take effect, but their answers are lost.
    loses_answers: Arc<AtomicBool>,
    /// No request is ever answered.
    never_answers: Arc<AtomicBool>,
    /// The next claim blocks the thread after it took effect, as a pause of the process does.
    pauses_once: Arc<AtomicBool>,
}

impl FaultyLedger {
    async fn fail_if_set(&self, switch: &AtomicBool) -> Result<(), Error> {
        if self.never_answers.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        if switch.load(Ordering::Acquire) {
            let reason = "ordered".to_owned();
            return Err(Error { reason });
        }
        Ok(())
    }
}

impl Claims for FaultyLedger {
    async fn claim(&self, claim: &Claim) -> Result<Decision, Error> {
        self.fail_if_set(&self.is_down).await?;
        let verdict = self.memory.claim(claim).await?;
        self.fail_if_set(&self.loses_answers).await?;
        if self.pauses_once.swap(false, Ordering::AcqRel) {
            std::thread::sleep(PAUSE);
        }
        Ok(verdict)
    }

    async fn finish(&self, claim: &Claim, answer: &Response) -> Result<(), Error> {
        self.fail_if_set(&self.is_down).await?;
        self.memory.finish(claim, answer).await
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        self.fail_if_set(&self.is_down).await?;
        self.memory.release(claim).await
    }
}

/// Guards against a booking without an idempotency key that is refused or runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_runs_once() {
    let agent = start_agent(size()).await;

    let answer = agent.run(&booking(1, None, "{}")).await;

    assert_eq!(response(&answer).status, 200);
    assert_eq!(agent.plain.runs().len(), 1);
}

/// Guards against a double booking when a caller sends its request again while the first one runs or after it.
#[tokio::test(flavor = "multi_thread")]
async fn two_sends_with_one_key_share_one_run() {
    let agent = start_agent(slow()).await;
    let (one, two) = (booking(1, Some("k"), "{}"), booking(2, Some("k"), "{}"));

    let (first, second) = tokio::join!(agent.run(&one), agent.run(&two));
    let third = agent.run(&booking(3, Some("k"), "{}")).await;

    let bodies = [&first, &second, &third].map(|answer| response(answer).body.clone());
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(bodies[0], bodies[2]);
    assert!(response(&third).replayed);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Guards against a double booking when the repeated request reaches another agent than the first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_send_to_another_agent_is_redirected_to_the_run() {
    let ledger = Memory::default();
    let first = Agent::start("a", slow(), ledger.clone()).await;
    let second = Agent::start("b", slow(), ledger).await;
    let original = booking(1, Some("k"), "{}");
    let running = first.open(&original).await;
    wait_until("the first send runs", || runs(&first, "k") == 1).await;

    let redirected = second.run(&booking(2, Some("k"), "{}")).await;
    let Body::Elsewhere(elsewhere) = &redirected.end else {
        panic!("not redirected: {redirected:?}");
    };
    let followed = first.run(&join_from(&original, 0)).await;
    let answer = running.read_to_end().await;
    wait_until("the answer is stored", || {
        first.calls.dump()["claims_open"] == 0
    })
    .await;
    let replayed = second.run(&booking(3, Some("k"), "{}")).await;

    assert_eq!((elsewhere.instance.as_str(), elsewhere.call), ("a", Id(1)));
    assert_eq!(response(&followed).body, response(&answer).body);
    assert_eq!(response(&replayed).body, response(&answer).body);
    assert!(response(&replayed).replayed);
    assert_eq!((runs(&first, "k"), runs(&second, "k")), (1, 0));
}

/// Guards against an answer that another customer reads by joining the call with a guessed id.
#[tokio::test(flavor = "multi_thread")]
async fn a_join_by_another_customer_is_refused() {
    let agent = start_agent(slow()).await;
    let original = booking(1, Some("k"), "{}");
    let running = agent.open(&original).await;
    let mut foreign_join = join_from(&original, 0);
    "trial".clone_into(&mut foreign_join.customer);

    let answer = agent.run(&foreign_join).await;

    assert_eq!(answer.fault().code, Code::InvalidRequest);
    drop(running);
}

/// Guards against a caller that gets the answer to an old request because it uses its key for a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_does_not_run() {
    let agent = start_agent(size()).await;
    agent.run(&booking(1, Some("k"), "{\"table\":1}")).await;

    let answer = agent.run(&booking(2, Some("k"), "{\"table\":2}")).await;

    assert_eq!(answer.fault().code, Code::KeyReused);
    assert_eq!(answer.fault().outcome, Outcome::NotRun);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Description of a fault of the ledger, and its switch.
type LedgerFault = (&'static str, fn(&FaultyLedger) -> &AtomicBool);

const LEDGER_FAULTS: [LedgerFault; 3] = [
    ("ledger is down", |ledger| &ledger.is_down),
    ("write took effect, answer lost", |ledger| {
        &ledger.loses_answers
    }),
    ("ledger never answers", |ledger| &ledger.never_answers),
];

/// Guards against a booking that runs although its claim may be missing, and against a key that such a claim blocks.
#[tokio::test(flavor = "multi_thread")]
async fn an_uncertain_claim_does_not_run_and_a_later_send_does() {
    for (what, switch) in LEDGER_FAULTS {
        let ledger = FaultyLedger::default();
        let agent = Agent::start("a", size(), ledger.clone()).await;
        switch(&ledger).store(true, Ordering::Release);

        let refused = agent.run(&booking(1, Some("k"), "{}")).await;
        let runs_before = runs(&agent, "k");
        switch(&ledger).store(false, Ordering::Release);
        if what != "ledger never answers" {
            wait_until("the claim is released", || {
                agent.calls.dump()["claims_open"] == 0
            })
            .await;
        }
        let answer = agent.run(&booking(2, Some("k"), "{}")).await;

        assert_eq!(refused.fault().code, Code::ClaimUnavailable, "{what}");
        assert_eq!(refused.fault().outcome, Outcome::NotRun, "{what}");
        assert!(refused.fault().retry_after_ms > 0, "{what}");
        assert_eq!(runs_before, 0, "{what}");
        assert_eq!(response(&answer).status, 200, "{what}");
        assert_eq!(runs(&agent, "k"), 1, "{what}");
    }
}

/// Guards against a double booking by a process that resumes long after its claim, when another may have taken the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_paused_after_its_claim_does_not_start_the_call() {
    let ledger = FaultyLedger::default();
    let agent = Agent::start("a", size(), ledger.clone()).await;
    ledger.pauses_once.store(true, Ordering::Release);

    let paused = agent.run(&booking(1, Some("k"), "{}")).await;
    let runs_before = runs(&agent, "k");
    wait_until("the claim is released", || {
        agent.calls.dump()["claims_open"] == 0
    })
    .await;
    let answer = agent.run(&booking(2, Some("k"), "{}")).await;

    assert_eq!(paused.fault().code, Code::ClaimUnavailable);
    assert_eq!(paused.fault().outcome, Outcome::NotRun);
    assert_eq!(runs_before, 0);
    assert_eq!(response(&answer).status, 200);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Guards against slots that slow idempotent calls keep although nobody reads their answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_whose_caller_disconnected_frees_its_slot() {
    let agent = start_agent(Size {
        first: Duration::from_secs(20),
        ..size()
    })
    .await;
    let mut open = booking(1, None, "{}");
    if let Work::Plain(plain) = &mut open.work {
        plain.idempotent = true;
    }
    let events = agent.open(&open).await;
    wait_until("the lookup runs", || agent.plain.runs().len() == 1).await;

    agent.cancel(open.id).await;
    let answer = events.read_to_end().await;

    assert_eq!(answer.fault().code, Code::Revoked);
    wait_until("the slot is free", || agent.calls.load().running == 0).await;
}

/// Guards against a double booking after a restart: the process that held the claim may have run the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_an_earlier_process_stays_unknown_for_each_send() {
    let ledger = Memory::default();
    let call = booking(1, Some("k"), "{}");
    let claim = Claim {
        key: Key {
            customer: "paid".to_owned(),
            service: "booking".to_owned(),
            key: "k".to_owned(),
        },
        content: call.content,
        call: Id(99),
        holder: 6,
        instance: "a".to_owned(),
    };
    ledger.claim(&claim).await.expect("memory answers");
    let agent = Agent::start("a", size(), ledger).await;

    for id in 1..4 {
        let answer = agent.run(&booking(id, Some("k"), "{}")).await;

        assert_eq!(answer.fault().outcome, Outcome::Unknown, "send {id}");
    }
    assert_eq!(runs(&agent, "k"), 0);
}

/// Guards against a double booking after the service ran the call but its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_never_run_again() {
    let agent = start_agent(size()).await;
    agent.plain.fail_next(Failure::LoseAnswer, 1);
    let mut call = booking(1, Some("k"), "{}");
    call.deadline_ms = 400;

    let first = agent.run(&call).await;
    let again = agent.run(&booking(2, Some("k"), "{}")).await;

    assert_eq!(first.fault().outcome, Outcome::Unknown);
    assert_eq!(again.fault().outcome, Outcome::Unknown);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Guards against a booking that is cut off in the middle, so that nobody knows whether it took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_does_not_stop_a_booking() {
    for key in [None, Some("k")] {
        let agent = start_agent(slow()).await;
        let call = booking(1, key, "{}");
        let events = agent.open(&call).await;
        wait_until("the booking runs", || !agent.plain.runs().is_empty()).await;

        let verdict = agent.cancel(call.id).await;
        drop(events);
        let answer = agent.run(&join_from(&call, 0)).await;

        assert_eq!(verdict, revoke::Verdict::Started);
        assert_eq!(response(&answer).status, 200);
        assert_eq!(agent.plain.runs().len(), 1);
    }
}

/// Guards against a key that stays claimed by a withdrawn call, so that no later send can run.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_booking_releases_its_key() {
    let agent = start_agent(Size { slots: 1, ..slow() }).await;
    let blocking = agent.open(&booking(1, None, "{}")).await;
    wait_until("the first call runs", || agent.plain.runs().len() == 1).await;
    let waiting = booking(2, Some("k"), "{}");
    let events = agent.open(&waiting).await;
    wait_until("the second call waits", || agent.calls.load().queued == 1).await;

    let verdict = agent.revoke(waiting.id, Duration::ZERO).await;
    let withdrawn = events.read_to_end().await;
    blocking.read_to_end().await;
    let answer = agent.run(&booking(3, Some("k"), "{}")).await;

    assert_eq!(verdict, revoke::Verdict::Withdrawn);
    assert_eq!(withdrawn.fault().outcome, Outcome::NotRun);
    assert_eq!(response(&answer).status, 200);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Guards against a process that exits before the ledger holds the answer, which makes a later send unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_stores_the_answers_of_its_bookings() {
    let agent = start_agent(slow()).await;
    let events = agent.open(&booking(1, Some("k"), "{}")).await;
    wait_until("the booking runs", || runs(&agent, "k") == 1).await;

    agent.calls.leave();
    agent.calls.drain(Duration::from_millis(10)).await;
    let answer = events.read_to_end().await;

    assert_eq!(response(&answer).status, 200);
    assert_eq!(agent.calls.dump()["claims_open"], 0);
}

/// Guards against idempotent calls that fail because the ledger is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_may_run_twice_and_needs_no_claim() {
    let ledger = FaultyLedger::default();
    ledger.is_down.store(true, Ordering::Release);
    let agent = Agent::start("a", size(), ledger).await;
    let lookup = |id| {
        let mut open: Open = booking(id, Some("k"), "{}");
        if let Work::Plain(plain) = &mut open.work {
            plain.idempotent = true;
        }
        open
    };

    let answers = [agent.run(&lookup(1)).await, agent.run(&lookup(2)).await];

    assert!(answers.iter().all(|answer| response(answer).status == 200));
    assert_eq!(runs(&agent, "k"), 2);
}
