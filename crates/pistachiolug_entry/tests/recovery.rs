//! Calls at an entry whose agents refuse, break, freeze, cross answers or die.

mod fake;

use fake::{
    Agent, Step, finished, generation, nobody, not_run, open, plain, response, runner, started,
    text, unknown,
};
use pistachiolug_entry::call::{Call, DeadlineScope, Part};
use pistachiolug_membership::exclusion::Cause;
use pistachiolug_wire::{
    call::{Body, Elsewhere, Id, Work},
    fault::{Code, Fault},
    outcome::Outcome::{self, NotRun, Unknown},
    revoke::Verdict,
};

/// One fault: what the nearer agent does, what it says when asked, what the other does, what the caller sees.
struct Row {
    name: &'static str,
    near: Vec<Vec<Step>>,
    verdicts: Vec<Verdict>,
    far: Vec<Vec<Step>>,
    expected: Result<&'static str, (Code, Outcome)>,
    /// Opens and joins at each agent.
    opens: (usize, usize),
}

fn row(name: &'static str, near: Vec<Vec<Step>>, verdicts: &[Verdict]) -> Row {
    Row {
        name,
        near,
        verdicts: verdicts.to_vec(),
        far: Vec::new(),
        expected: Ok("abc"),
        opens: (1, 1),
    }
}

impl Row {
    fn far(mut self, script: Vec<Step>) -> Self {
        self.far.push(script);
        self
    }

    fn ends(mut self, expected: Result<&'static str, (Code, Outcome)>) -> Self {
        self.expected = expected;
        self
    }

    fn opens(mut self, near: usize, far: usize) -> Self {
        self.opens = (near, far);
        self
    }
}

fn whole() -> Vec<Step> {
    rest(0, &["a", "b", "c"])
}

/// Starts an answer, and breaks off unless more steps follow.
fn begun(texts: &[&str], more: &[Step]) -> Vec<Step> {
    [&[started("v1"), text(0, texts)], more].concat()
}

fn rest(at: u32, texts: &[&str]) -> Vec<Step> {
    vec![started("v1"), text(at, texts), finished(3)]
}

fn booked() -> Vec<Step> {
    vec![started(""), response("booked")]
}

fn refused_generations() -> Vec<Row> {
    let overloaded = || vec![not_run(Code::Overloaded)];
    let leaving = || vec![not_run(Code::Leaving)];
    let leaving_later = begun(&["a"], &leaving());
    let suspect = || vec![started("v1"), unknown(Code::CrashSuspect)];
    vec![
        row("whole", vec![whole()], &[]).opens(1, 0),
        row("overloaded", vec![overloaded()], &[]).far(whole()),
        row("leaving", vec![leaving()], &[]).far(whole()),
        row("both overloaded", vec![overloaded()], &[])
            .far(overloaded())
            .ends(Err((Code::Overloaded, NotRun))),
        row(
            "leaves with a stream open",
            vec![leaving_later.clone()],
            &[],
        )
        .far(rest(1, &["b", "c"])),
        row("nothing left after tokens", vec![leaving_later], &[])
            .far(overloaded())
            .ends(Err((Code::Overloaded, Unknown))),
        row("two engines die", vec![suspect(), whole()], &[])
            .far(suspect())
            .ends(Err((Code::CrashSuspect, Unknown))),
        row(
            "suspect refused",
            vec![vec![not_run(Code::CrashSuspect)]],
            &[],
        )
        .ends(Err((Code::CrashSuspect, NotRun)))
        .opens(1, 0),
    ]
}

fn broken_generations() -> Vec<Row> {
    let cut = || begun(&["a", "b"], &[]);
    let joined = |broken, verdict, join| row("", vec![broken, join], &[verdict]).opens(2, 0);
    let named = |name, row: Row| Row { name, ..row };
    let gap = begun(&["a"], &[text(2, &["c"]), finished(3)]);
    let early = begun(&["a"], &[finished(3)]);
    let crossed = begun(&["a"], &[Step::Cross]);
    let late = || vec![text(1, &["b", "c"]), finished(3)];
    vec![
        row("lost before its start", vec![vec![]], &[Verdict::Withdrawn]).far(whole()),
        named(
            "cut and joined",
            joined(cut(), Verdict::Started, rest(2, &["c"])),
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
        named("crossed", joined(crossed, Verdict::Started, late())),
        row("cut and nobody answers", vec![cut()], &[]).far(rest(2, &["c"])),
        row(
            "silent and nobody answers",
            vec![begun(&["a"], &[Step::Silence])],
            &[],
        )
        .far(rest(1, &["b", "c"])),
        row(
            "engine dies",
            vec![begun(&["a"], &[unknown(Code::BackendFailed)])],
            &[],
        )
        .far(rest(1, &["b", "c"])),
        row("only another version left", vec![cut()], &[])
            .far(vec![started("v2"), text(2, &["c"]), finished(3)])
            .ends(Err((Code::BackendFailed, Unknown))),
    ]
}

fn broken_bookings() -> Vec<Row> {
    let lost = Err((Code::BackendFailed, Unknown));
    let cut = || vec![started("")];
    let failed = || vec![started(""), unknown(Code::BackendFailed)];
    vec![
        row("whole", vec![booked()], &[])
            .ends(Ok("booked"))
            .opens(1, 0),
        row("cut, not started", vec![vec![]], &[Verdict::Withdrawn])
            .far(booked())
            .ends(Ok("booked")),
        row(
            "silent, not started",
            vec![vec![Step::Silence]],
            &[Verdict::Withdrawn],
        )
        .far(booked())
        .ends(Ok("booked")),
        row("cut, started", vec![cut(), booked()], &[Verdict::Started])
            .ends(Ok("booked"))
            .opens(2, 0),
        row("cut, nobody answers", vec![cut()], &[])
            .far(booked())
            .ends(lost)
            .opens(1, 0),
        row("cut, agent restarted", vec![cut()], &[Verdict::Unknown])
            .far(booked())
            .ends(lost)
            .opens(1, 0),
        row(
            "joins keep breaking",
            vec![vec![]; 4],
            &[Verdict::Started; 4],
        )
        .far(booked())
        .ends(lost)
        .opens(4, 0),
        row("service dies", vec![failed()], &[])
            .far(booked())
            .ends(lost)
            .opens(1, 0),
        row("refused", vec![vec![not_run(Code::Overloaded)]], &[])
            .far(booked())
            .ends(Ok("booked")),
        row(
            "claim unavailable",
            vec![vec![not_run(Code::ClaimUnavailable)]],
            &[],
        )
        .far(booked())
        .ends(Err((Code::ClaimUnavailable, NotRun)))
        .opens(1, 0),
    ]
}

async fn read(running: &mut Call) -> Result<String, Fault> {
    let mut text = String::new();
    loop {
        match running.next().await? {
            Part::Started(_) => {}
            Part::Text(texts) => text.extend(texts),
            Part::Finished(_) => return Ok(text),
            Part::Response(response) => {
                return Ok(String::from_utf8_lossy(&response.body).into_owned());
            }
        }
    }
}

async fn check(row: Row, work: Work) {
    let (near, far) = (
        Agent::new(&row.near, &row.verdicts),
        Agent::new(&row.far, &[]),
    );
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    let answer = match runner.open(open(work), DeadlineScope::Answer).await {
        Ok(mut running) => read(&mut running).await,
        Err(fault) => Err(fault),
    };

    let answer = answer.map_err(|fault| (fault.code, fault.outcome));
    assert_eq!(answer.as_deref(), row.expected.as_deref(), "{}", row.name);
    let opens = (near.record().opens.len(), far.record().opens.len());
    assert_eq!(opens, row.opens, "{}", row.name);
    servers.0.stop();
    servers.1.stop();
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_generations_go_elsewhere_or_say_that_they_do_not() {
    for row in refused_generations() {
        check(row, generation()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_generations_end_whole_or_say_that_they_do_not() {
    for row in broken_generations() {
        check(row, generation()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_that_may_not_be_repeated_run_at_most_once() {
    for row in broken_bookings() {
        check(row, plain(false)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_plain_call_goes_elsewhere_when_nobody_answers() {
    let row = row("cut", vec![vec![started("")]], &[])
        .far(booked())
        .ends(Ok("booked"));

    check(row, plain(true)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_agent_is_barred_and_another_answers() {
    let far = Agent::new(&[whole()], &[]);
    let server = far.serve();
    let runner = runner(nobody(), server.address());

    let mut running = runner
        .open(open(generation()), DeadlineScope::Answer)
        .await
        .unwrap();

    assert_eq!(read(&mut running).await.unwrap(), "abc");
    assert_eq!(runner.router.view.cause("near"), Some(Cause::Lost));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resume_pins_the_version_and_names_what_was_reached() {
    let near = Agent::new(&[vec![started("v1"), text(0, &["a", "b"])]], &[]);
    let far = Agent::new(&[vec![started("v1"), text(2, &["c"]), finished(3)]], &[]);
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    let mut running = runner
        .open(open(generation()), DeadlineScope::Start)
        .await
        .unwrap();
    read(&mut running).await.unwrap();

    let record = far.record();
    let Work::Model(generation) = &record.opens[0].work else {
        panic!("a generation is resumed as one");
    };
    assert_eq!(generation.version, "v1");
    assert_eq!((generation.reached, generation.prefix.as_str()), (2, "ab"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_withdraws_the_call() {
    let rows = [
        (vec![Verdict::Withdrawn], NotRun),
        (vec![Verdict::Started], Unknown),
        (vec![], Unknown),
    ];
    for (verdicts, expected) in rows {
        let near = Agent::new(&[vec![Step::Wait]], &verdicts);
        let far = Agent::new(&[], &[]);
        let servers = (near.serve(), far.serve());
        let runner = runner(servers.0.address(), servers.1.address());
        let mut late = open(generation());
        late.deadline_ms = 50;

        let mut running = runner.open(late, DeadlineScope::Start).await.unwrap();
        let fault = running.next().await.unwrap_err();

        assert_eq!(
            (fault.code, fault.outcome),
            (Code::DeadlineExceeded, expected)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels_the_call() {
    let near = Agent::new(&[vec![started("v1"), Step::Wait]], &[]);
    let far = Agent::new(&[], &[]);
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());
    let message = open(generation());
    let call = message.id;

    let mut running = runner.open(message, DeadlineScope::Start).await.unwrap();
    running.started().await.unwrap();
    drop(running);

    while near.record().cancels.is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(near.record().cancels[0].call, call);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_spent_budget_answers_at_once_with_a_time_to_come_back() {
    let refusals = vec![vec![not_run(Code::Overloaded)]; 200];
    let (near, far) = (Agent::new(&refusals, &[]), Agent::new(&refusals, &[]));
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    for _ in 0..100 {
        let mut running = runner
            .open(open(generation()), DeadlineScope::Answer)
            .await
            .unwrap();
        let fault = running.next().await.unwrap_err();
        assert_eq!(fault.outcome, NotRun);
        assert!(fault.retry_after_ms > 0);
    }

    let opens = near.record().opens.len() + far.record().opens.len();
    assert!(
        (100..=100 + 20 + 20).contains(&opens),
        "{opens} opens for 100 calls"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_known_suspect_that_crashes_again_gets_no_third_server() {
    let crash = vec![started("v1"), unknown(Code::CrashSuspect)];
    let (near, far) = (Agent::new(&[crash], &[]), Agent::new(&[whole()], &[]));
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());
    let mut message = open(generation());
    message.crashes = 1;

    let mut running = runner.open(message, DeadlineScope::Answer).await.unwrap();
    let fault = read(&mut running).await.unwrap_err();

    assert_eq!((fault.code, fault.outcome), (Code::CrashSuspect, Unknown));
    assert!(far.record().opens.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_joins_the_run_of_its_key_and_never_withdraws_it() {
    let earlier = Id(7);
    let elsewhere = Step::Send(Body::Elsewhere(Elsewhere {
        instance: "far".to_owned(),
        call: earlier,
    }));
    let kept = || vec![response("booked")];
    let rows = [
        ("kept answer", vec![kept()], Ok("booked")),
        ("cut and joined again", vec![vec![], kept()], Ok("booked")),
        ("cut for good", vec![vec![]; 8], Err(Unknown)),
        (
            "refused there",
            vec![vec![not_run(Code::Leaving)]],
            Err(NotRun),
        ),
    ];
    for (name, scripts, expected) in rows {
        let near = Agent::new(&[vec![elsewhere.clone()]], &[]);
        let far = Agent::new(&scripts, &[Verdict::Withdrawn]);
        let servers = (near.serve(), far.serve());
        let runner = runner(servers.0.address(), servers.1.address());

        let mut running = runner
            .open(open(plain(false)), DeadlineScope::Answer)
            .await
            .unwrap();
        let answer = read(&mut running).await.map_err(|fault| fault.outcome);
        drop(running);

        assert_eq!(answer.as_deref(), expected.as_ref().copied(), "{name}");
        let record = far.record();
        assert!(
            record
                .opens
                .iter()
                .all(|open| open.join && open.id == earlier),
            "{name}"
        );
        assert!(
            record.revokes.is_empty() && record.cancels.is_empty(),
            "{name}"
        );
    }
}
