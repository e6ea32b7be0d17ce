//! Contract of the internal call interface for plain services, some of whose calls may not be repeated.

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
use support::{Agent, Answer, Size, booking, joined, until};

/// Pause that is longer than a claim may take to its start.
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

async fn agent(size: Size) -> Agent<Memory> {
    Agent::start("a", size, Memory::default()).await
}

fn response(answer: &Answer) -> &Response {
    match &answer.end {
        Body::Response(response) => response,
        end => panic!("no answer: {end:?}"),
    }
}

/// Runs of the backend server with a key.
fn runs<C>(agent: &Agent<C>, key: &str) -> usize {
    let runs = agent.plain.runs();
    let own = runs.iter().filter(|run| run.key.as_deref() == Some(key));
    own.count()
}

/// Ledger that can be made to fail, before or after its write takes effect.
#[derive(Debug, Clone, Default)]
struct Shaky {
    memory: Memory,
    /// Fails without effect.
    down: Arc<AtomicBool>,
    /// Takes effect, but the answer is lost.
    deaf: Arc<AtomicBool>,
    /// Never answers.
    stuck: Arc<AtomicBool>,
    /// Stops the claimant's thread after the claim took effect, as a pause of the process does.
    pause: Arc<AtomicBool>,
}

impl Shaky {
    async fn fail(&self, switch: &AtomicBool) -> Result<(), Error> {
        if self.stuck.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        if switch.load(Ordering::Acquire) {
            let reason = "ordered".to_owned();
            return Err(Error { reason });
        }
        Ok(())
    }
}

impl Claims for Shaky {
    async fn claim(&self, claim: &Claim) -> Result<Decision, Error> {
        self.fail(&self.down).await?;
        let verdict = self.memory.claim(claim).await?;
        self.fail(&self.deaf).await?;
        if self.pause.swap(false, Ordering::AcqRel) {
            std::thread::sleep(PAUSE);
        }
        Ok(verdict)
    }

    async fn finish(&self, claim: &Claim, answer: &Response) -> Result<(), Error> {
        self.fail(&self.down).await?;
        self.memory.finish(claim, answer).await
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        self.fail(&self.down).await?;
        self.memory.release(claim).await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_runs_once() {
    let agent = agent(size()).await;

    let answer = agent.run(&booking(1, None, "{}")).await;

    assert_eq!(response(&answer).status, 200);
    assert_eq!(agent.plain.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_sends_with_one_key_share_one_run() {
    let agent = agent(slow()).await;
    let (one, two) = (booking(1, Some("k"), "{}"), booking(2, Some("k"), "{}"));

    let (first, second) = tokio::join!(agent.run(&one), agent.run(&two));
    let third = agent.run(&booking(3, Some("k"), "{}")).await;

    let bodies = [&first, &second, &third].map(|answer| response(answer).body.clone());
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(bodies[0], bodies[2]);
    assert!(response(&third).replayed);
    assert_eq!(runs(&agent, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_send_through_another_agent_is_pointed_to_the_run() {
    let ledger = Memory::default();
    let first = Agent::start("a", slow(), ledger.clone()).await;
    let second = Agent::start("b", slow(), ledger).await;
    let original = booking(1, Some("k"), "{}");
    let running = first.open(&original).await;
    until("the first send runs", || runs(&first, "k") == 1).await;

    let pointed = second.run(&booking(2, Some("k"), "{}")).await;
    let Body::Elsewhere(elsewhere) = &pointed.end else {
        panic!("not pointed: {pointed:?}");
    };
    let followed = first.run(&joined(&original, 0)).await;
    let answer = running.rest().await;
    until("the answer is kept", || {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_join_by_another_customer_sees_nothing() {
    let agent = agent(slow()).await;
    let original = booking(1, Some("k"), "{}");
    let running = agent.open(&original).await;
    let mut stranger = joined(&original, 0);
    "trial".clone_into(&mut stranger.customer);

    let answer = agent.run(&stranger).await;

    assert_eq!(answer.fault().code, Code::InvalidRequest);
    drop(running);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_does_not_run() {
    let agent = agent(size()).await;
    agent.run(&booking(1, Some("k"), "{\"table\":1}")).await;

    let answer = agent.run(&booking(2, Some("k"), "{\"table\":2}")).await;

    assert_eq!(answer.fault().code, Code::KeyReused);
    assert_eq!(answer.fault().outcome, Outcome::NotRun);
    assert_eq!(runs(&agent, "k"), 1);
}

/// Fault of the ledger, and whether the key's earlier run is known to nobody afterwards.
type Shake = (&'static str, fn(&Shaky) -> &AtomicBool);

const SHAKES: [Shake; 3] = [
    ("ledger is down", |ledger| &ledger.down),
    ("write took effect, answer lost", |ledger| &ledger.deaf),
    ("ledger never answers", |ledger| &ledger.stuck),
];

#[tokio::test(flavor = "multi_thread")]
async fn an_uncertain_claim_does_not_run_and_a_later_send_does() {
    for (what, switch) in SHAKES {
        let ledger = Shaky::default();
        let agent = Agent::start("a", size(), ledger.clone()).await;
        switch(&ledger).store(true, Ordering::Release);

        let refused = agent.run(&booking(1, Some("k"), "{}")).await;
        let runs_before = runs(&agent, "k");
        switch(&ledger).store(false, Ordering::Release);
        if what != "ledger never answers" {
            until("the claim is given back", || {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_process_paused_after_its_claim_does_not_start_the_call() {
    let ledger = Shaky::default();
    let agent = Agent::start("a", size(), ledger.clone()).await;
    ledger.pause.store(true, Ordering::Release);

    let paused = agent.run(&booking(1, Some("k"), "{}")).await;
    let runs_before = runs(&agent, "k");
    until("the claim is given back", || {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_look_up_whose_caller_is_gone_frees_its_slot() {
    let agent = agent(Size {
        first: Duration::from_secs(20),
        ..size()
    })
    .await;
    let mut open = booking(1, None, "{}");
    if let Work::Plain(plain) = &mut open.work {
        plain.idempotent = true;
    }
    let events = agent.open(&open).await;
    until("the look-up runs", || agent.plain.runs().len() == 1).await;

    agent.cancel(open.id).await;
    let answer = events.rest().await;

    assert_eq!(answer.fault().code, Code::Revoked);
    until("the slot is free", || agent.calls.load().running == 0).await;
}

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

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_never_run_again() {
    let agent = agent(size()).await;
    agent.plain.fail_next(Failure::LoseAnswer, 1);
    let mut call = booking(1, Some("k"), "{}");
    call.deadline_ms = 400;

    let first = agent.run(&call).await;
    let again = agent.run(&booking(2, Some("k"), "{}")).await;

    assert_eq!(first.fault().outcome, Outcome::Unknown);
    assert_eq!(again.fault().outcome, Outcome::Unknown);
    assert_eq!(runs(&agent, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cuts_no_booking() {
    for key in [None, Some("k")] {
        let agent = agent(slow()).await;
        let call = booking(1, key, "{}");
        let events = agent.open(&call).await;
        until("the booking runs", || !agent.plain.runs().is_empty()).await;

        let verdict = agent.cancel(call.id).await;
        drop(events);
        let answer = agent.run(&joined(&call, 0)).await;

        assert_eq!(verdict, revoke::Verdict::Started);
        assert_eq!(response(&answer).status, 200);
        assert_eq!(agent.plain.runs().len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_booking_gives_its_key_back() {
    let agent = agent(Size { slots: 1, ..slow() }).await;
    let blocking = agent.open(&booking(1, None, "{}")).await;
    until("the first call runs", || agent.plain.runs().len() == 1).await;
    let waiting = booking(2, Some("k"), "{}");
    let events = agent.open(&waiting).await;
    until("the second call waits", || agent.calls.load().queued == 1).await;

    let verdict = agent.revoke(waiting.id, Duration::ZERO).await;
    let withdrawn = events.rest().await;
    blocking.rest().await;
    let answer = agent.run(&booking(3, Some("k"), "{}")).await;

    assert_eq!(verdict, revoke::Verdict::Withdrawn);
    assert_eq!(withdrawn.fault().outcome, Outcome::NotRun);
    assert_eq!(response(&answer).status, 200);
    assert_eq!(runs(&agent, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_keeps_its_bookings_answers() {
    let agent = agent(slow()).await;
    let events = agent.open(&booking(1, Some("k"), "{}")).await;
    until("the booking runs", || runs(&agent, "k") == 1).await;

    agent.calls.leave();
    agent.calls.drain(Duration::from_millis(10)).await;
    let answer = events.rest().await;

    assert_eq!(response(&answer).status, 200);
    assert_eq!(agent.calls.dump()["claims_open"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_look_up_may_run_again_and_needs_no_claim() {
    let ledger = Shaky::default();
    ledger.down.store(true, Ordering::Release);
    let agent = Agent::start("a", size(), ledger).await;
    let look_up = |id| {
        let mut open: Open = booking(id, Some("k"), "{}");
        if let Work::Plain(plain) = &mut open.work {
            plain.idempotent = true;
        }
        open
    };

    let answers = [agent.run(&look_up(1)).await, agent.run(&look_up(2)).await];

    assert!(answers.iter().all(|answer| response(answer).status == 200));
    assert_eq!(runs(&agent, "k"), 2);
}
