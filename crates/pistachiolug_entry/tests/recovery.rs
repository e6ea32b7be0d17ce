//! Tests of the recovery of calls whose agents refuse, disconnect, freeze, send events of other calls or crash.

mod fake;

use fake::{
    Agent, Step, finished, generation, not_run, open, plain, response, runner, started, text,
    unknown, unused_address,
};
use pistachiolug_entry::call::{Call, DeadlineScope, Part};
use pistachiolug_membership::exclusion::Cause;
use pistachiolug_wire::{
    call::{Body, Elsewhere, Id, Work},
    fault::{Code, Fault},
    outcome::Outcome::{self, NotRun, Unknown},
    revoke::Verdict,
};

/// Behavior of the two agents in one call, and the result that the caller has to get.
struct Case {
    name: &'static str,
    /// Scripts of the preferred agent, one for each open or join.
    near: Vec<Vec<Step>>,
    /// Verdicts of the preferred agent, one for each revoke; then it answers with an error.
    verdicts: Vec<Verdict>,
    /// Scripts of the other agent.
    far: Vec<Vec<Step>>,
    expected: Result<&'static str, (Code, Outcome)>,
    /// Number of opens and joins at the preferred and at the other agent.
    opens: (usize, usize),
}

/// Returns a case in which the caller gets the answer `abc` after one open at each agent.
fn case(name: &'static str, near: Vec<Vec<Step>>, verdicts: &[Verdict]) -> Case {
    Case {
        name,
        near,
        verdicts: verdicts.to_vec(),
        far: Vec::new(),
        expected: Ok("abc"),
        opens: (1, 1),
    }
}

impl Case {
    /// Adds a script of the other agent.
    fn far(mut self, script: Vec<Step>) -> Self {
        self.far.push(script);
        self
    }

    fn expect(mut self, expected: Result<&'static str, (Code, Outcome)>) -> Self {
        self.expected = expected;
        self
    }

    fn opens(mut self, near: usize, far: usize) -> Self {
        self.opens = (near, far);
        self
    }
}

fn complete_answer() -> Vec<Step> {
    answer_from(0, &["a", "b", "c"])
}

/// Returns a script that starts an answer and closes the connection unless `more` goes on.
fn started_answer(texts: &[&str], more: &[Step]) -> Vec<Step> {
    [&[started("v1"), text(0, texts)], more].concat()
}

/// Returns a script that gives an answer of three tokens from the token `at` on.
fn answer_from(at: u32, texts: &[&str]) -> Vec<Step> {
    vec![started("v1"), text(at, texts), finished(3)]
}

fn booking_answer() -> Vec<Step> {
    vec![started(""), response("booked")]
}

fn refused_generations() -> Vec<Case> {
    let overloaded = || vec![not_run(Code::Overloaded)];
    let leaving = || vec![not_run(Code::Leaving)];
    let leaving_later = started_answer(&["a"], &leaving());
    let suspect = || vec![started("v1"), unknown(Code::CrashSuspect)];
    vec![
        case("complete answer", vec![complete_answer()], &[]).opens(1, 0),
        case("overloaded", vec![overloaded()], &[]).far(complete_answer()),
        case("leaving", vec![leaving()], &[]).far(complete_answer()),
        case("both overloaded", vec![overloaded()], &[])
            .far(overloaded())
            .expect(Err((Code::Overloaded, NotRun))),
        case("leaving during a stream", vec![leaving_later.clone()], &[])
            .far(answer_from(1, &["b", "c"])),
        case("no other agent after tokens", vec![leaving_later], &[])
            .far(overloaded())
            .expect(Err((Code::Overloaded, Unknown))),
        case("two engines crash", vec![suspect(), complete_answer()], &[])
            .far(suspect())
            .expect(Err((Code::CrashSuspect, Unknown))),
        case(
            "suspect refused",
            vec![vec![not_run(Code::CrashSuspect)]],
            &[],
        )
        .expect(Err((Code::CrashSuspect, NotRun)))
        .opens(1, 0),
    ]
}

fn broken_generations() -> Vec<Case> {
    let cut = || started_answer(&["a", "b"], &[]);
    let joined = |broken, verdict, join| case("", vec![broken, join], &[verdict]).opens(2, 0);
    let named = |name, case: Case| Case { name, ..case };
    let gap = started_answer(&["a"], &[text(2, &["c"]), finished(3)]);
    let early = started_answer(&["a"], &[finished(3)]);
    let crossed = started_answer(&["a"], &[Step::WrongCall]);
    let late = || vec![text(1, &["b", "c"]), finished(3)];
    vec![
        case(
            "connection lost before the start",
            vec![vec![]],
            &[Verdict::Withdrawn],
        )
        .far(complete_answer()),
        named(
            "connection lost and call joined",
            joined(cut(), Verdict::Started, answer_from(2, &["c"])),
        ),
        named(
            "join repeats tokens",
            joined(cut(), Verdict::Finished, late()),
        ),
        named("tokens missing", joined(gap, Verdict::Started, late())),
        named(
            "end before the last token",
            joined(early, Verdict::Finished, late()),
        ),
        named(
            "event of another call",
            joined(crossed, Verdict::Started, late()),
        ),
        case("connection lost and no verdict", vec![cut()], &[]).far(answer_from(2, &["c"])),
        case(
            "no data and no verdict",
            vec![started_answer(&["a"], &[Step::Silence])],
            &[],
        )
        .far(answer_from(1, &["b", "c"])),
        case(
            "engine crashes",
            vec![started_answer(&["a"], &[unknown(Code::BackendFailed)])],
            &[],
        )
        .far(answer_from(1, &["b", "c"])),
        case("only another version left", vec![cut()], &[])
            .far(vec![started("v2"), text(2, &["c"]), finished(3)])
            .expect(Err((Code::BackendFailed, Unknown))),
    ]
}

fn broken_bookings() -> Vec<Case> {
    let lost = Err((Code::BackendFailed, Unknown));
    let cut = || vec![started("")];
    let failed = || vec![started(""), unknown(Code::BackendFailed)];
    vec![
        case("complete answer", vec![booking_answer()], &[])
            .expect(Ok("booked"))
            .opens(1, 0),
        case(
            "connection lost, not started",
            vec![vec![]],
            &[Verdict::Withdrawn],
        )
        .far(booking_answer())
        .expect(Ok("booked")),
        case(
            "no data, not started",
            vec![vec![Step::Silence]],
            &[Verdict::Withdrawn],
        )
        .far(booking_answer())
        .expect(Ok("booked")),
        case(
            "connection lost, started",
            vec![cut(), booking_answer()],
            &[Verdict::Started],
        )
        .expect(Ok("booked"))
        .opens(2, 0),
        case("connection lost, no verdict", vec![cut()], &[])
            .far(booking_answer())
            .expect(lost)
            .opens(1, 0),
        case(
            "connection lost, agent restarted",
            vec![cut()],
            &[Verdict::Unknown],
        )
        .far(booking_answer())
        .expect(lost)
        .opens(1, 0),
        case(
            "joins keep breaking",
            vec![vec![]; 4],
            &[Verdict::Started; 4],
        )
        .far(booking_answer())
        .expect(lost)
        .opens(4, 0),
        case("service crashes", vec![failed()], &[])
            .far(booking_answer())
            .expect(lost)
            .opens(1, 0),
        case("refused", vec![vec![not_run(Code::Overloaded)]], &[])
            .far(booking_answer())
            .expect(Ok("booked")),
        case(
            "claim unavailable",
            vec![vec![not_run(Code::ClaimUnavailable)]],
            &[],
        )
        .far(booking_answer())
        .expect(Err((Code::ClaimUnavailable, NotRun)))
        .opens(1, 0),
    ]
}

async fn read_answer(call: &mut Call) -> Result<String, Fault> {
    let mut text = String::new();
    loop {
        match call.next().await? {
            Part::Started(_) => {}
            Part::Text(texts) => text.extend(texts),
            Part::Finished(_) => return Ok(text),
            Part::Response(response) => {
                return Ok(String::from_utf8_lossy(&response.body).into_owned());
            }
        }
    }
}

async fn check_case(case: Case, work: Work) {
    let (near, far) = (
        Agent::new(&case.near, &case.verdicts),
        Agent::new(&case.far, &[]),
    );
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    let answer = match runner.open(open(work), DeadlineScope::Answer).await {
        Ok(mut call) => read_answer(&mut call).await,
        Err(fault) => Err(fault),
    };

    let answer = answer.map_err(|fault| (fault.code, fault.outcome));
    assert_eq!(answer.as_deref(), case.expected.as_deref(), "{}", case.name);
    let opens = (near.record().opens.len(), far.record().opens.len());
    assert_eq!(opens, case.opens, "{}", case.name);
    servers.0.stop();
    servers.1.stop();
}

/// An overloaded or leaving agent refuses calls. The entry must use the other agent, resume a started answer at the
/// token reached, and report `not-run` only if nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn refused_generations_continue_at_another_agent_or_report_the_refusal() {
    for case in refused_generations() {
        check_case(case, generation()).await;
    }
}

/// Connections and engines fail in the middle of answers, and events get lost or mixed up. The caller must get each
/// token once, and never tokens of two model versions.
#[tokio::test(flavor = "multi_thread")]
async fn broken_generations_are_completed_or_report_a_failure() {
    for case in broken_generations() {
        check_case(case, generation()).await;
    }
}

/// A booking that ran twice would be a double booking. After a failure, the entry may open the call elsewhere only if
/// the agent confirmed that it never starts it.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_calls_run_at_most_once() {
    for case in broken_bookings() {
        check_case(case, plain(false)).await;
    }
}

/// An idempotent call may run twice, so the caller need not see the loss of its agent.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_plain_call_is_retried_when_its_agent_does_not_answer() {
    let case = case("connection lost", vec![vec![started("")]], &[])
        .far(booking_answer())
        .expect(Ok("booked"));

    check_case(case, plain(true)).await;
}

/// Without the exclusion, later calls would try the unreachable agent again and each take a retry.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_agent_is_excluded_and_another_answers() {
    let far = Agent::new(&[complete_answer()], &[]);
    let server = far.serve();
    let runner = runner(unused_address(), server.address());

    let mut call = runner
        .open(open(generation()), DeadlineScope::Answer)
        .await
        .unwrap();

    assert_eq!(read_answer(&mut call).await.unwrap(), "abc");
    assert_eq!(runner.router.view.cause("near"), Some(Cause::Lost));
}

/// The next agent needs the version and the text sent so far, or it would start over or answer with another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_resume_states_the_version_and_the_tokens_already_sent() {
    let near = Agent::new(&[vec![started("v1"), text(0, &["a", "b"])]], &[]);
    let far = Agent::new(&[vec![started("v1"), text(2, &["c"]), finished(3)]], &[]);
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    let mut call = runner
        .open(open(generation()), DeadlineScope::Start)
        .await
        .unwrap();
    read_answer(&mut call).await.unwrap();

    let record = far.record();
    let Work::Model(generation) = &record.opens[0].work else {
        panic!("a generation is resumed as one");
    };
    assert_eq!(generation.version, "v1");
    assert_eq!((generation.reached, generation.prefix.as_str()), (2, "ab"));
}

/// After the deadline, the outcome may be `not-run` only if the agent confirmed that it withdrew the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_revokes_the_call() {
    let cases = [
        (vec![Verdict::Withdrawn], NotRun),
        (vec![Verdict::Started], Unknown),
        (vec![], Unknown),
    ];
    for (verdicts, expected) in cases {
        let near = Agent::new(&[vec![Step::Wait]], &verdicts);
        let far = Agent::new(&[], &[]);
        let servers = (near.serve(), far.serve());
        let runner = runner(servers.0.address(), servers.1.address());
        let mut message = open(generation());
        message.deadline_ms = 50;

        let mut call = runner.open(message, DeadlineScope::Start).await.unwrap();
        let fault = call.next().await.unwrap_err();

        assert_eq!(
            (fault.code, fault.outcome),
            (Code::DeadlineExceeded, expected)
        );
    }
}

/// A call whose caller has left would keep its slot of the backend server until its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_call() {
    let near = Agent::new(&[vec![started("v1"), Step::Wait]], &[]);
    let far = Agent::new(&[], &[]);
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());
    let message = open(generation());
    let id = message.id;

    let mut call = runner.open(message, DeadlineScope::Start).await.unwrap();
    call.started().await.unwrap();
    drop(call);

    while near.record().cancels.is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(near.record().cancels[0].call, id);
}

/// If all agents are overloaded, unlimited retries would multiply the load. The budget allows one retry for five calls
/// and 20 saved ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_exhausted_retry_budget_refuses_calls_with_a_retry_time() {
    let refusals = vec![vec![not_run(Code::Overloaded)]; 200];
    let (near, far) = (Agent::new(&refusals, &[]), Agent::new(&refusals, &[]));
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    for _ in 0..100 {
        let mut call = runner
            .open(open(generation()), DeadlineScope::Answer)
            .await
            .unwrap();
        let fault = call.next().await.unwrap_err();
        assert_eq!(fault.outcome, NotRun);
        assert!(fault.retry_after_ms > 0);
    }

    let opens = near.record().opens.len() + far.record().opens.len();
    assert!(
        (100..=100 + 20 + 20).contains(&opens),
        "{opens} opens for 100 calls"
    );
}

/// A request that has crashed a server before and crashes the next one must not reach a third server.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_suspect_that_crashes_again_is_not_retried() {
    let crash = vec![started("v1"), unknown(Code::CrashSuspect)];
    let (near, far) = (
        Agent::new(&[crash], &[]),
        Agent::new(&[complete_answer()], &[]),
    );
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());
    let mut message = open(generation());
    message.crashes = 1;

    let mut call = runner.open(message, DeadlineScope::Answer).await.unwrap();
    let fault = read_answer(&mut call).await.unwrap_err();

    assert_eq!((fault.code, fault.outcome), (Code::CrashSuspect, Unknown));
    assert!(far.record().opens.is_empty());
}

/// The earlier run belongs to another request. Whatever happens to the later one, it must not stop that run, and it
/// must not start a second one.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_idempotency_key_joins_the_earlier_run_and_never_revokes_it() {
    let earlier_call = Id(7);
    let elsewhere = Step::Send(Body::Elsewhere(Elsewhere {
        instance: "far".to_owned(),
        call: earlier_call,
    }));
    let stored_answer = || vec![response("booked")];
    let cases = [
        ("stored answer", vec![stored_answer()], Ok("booked")),
        (
            "connection lost and call joined again",
            vec![vec![], stored_answer()],
            Ok("booked"),
        ),
        (
            "connection lost at each join",
            vec![vec![]; 8],
            Err(Unknown),
        ),
        (
            "refused by that agent",
            vec![vec![not_run(Code::Leaving)]],
            Err(NotRun),
        ),
    ];
    for (name, scripts, expected) in cases {
        let near = Agent::new(&[vec![elsewhere.clone()]], &[]);
        let far = Agent::new(&scripts, &[Verdict::Withdrawn]);
        let servers = (near.serve(), far.serve());
        let runner = runner(servers.0.address(), servers.1.address());

        let mut call = runner
            .open(open(plain(false)), DeadlineScope::Answer)
            .await
            .unwrap();
        let answer = read_answer(&mut call).await.map_err(|fault| fault.outcome);
        drop(call);

        assert_eq!(answer.as_deref(), expected.as_ref().copied(), "{name}");
        let record = far.record();
        assert!(
            record
                .opens
                .iter()
                .all(|open| open.join && open.id == earlier_call),
            "{name}"
        );
        assert!(
            record.revokes.is_empty() && record.cancels.is_empty(),
            "{name}"
        );
    }
}
