//! Calls at an entry whose agents refuse, break, freeze, cross answers or die.

mod fake;

use fake::{
    Agent, Step, finished, generation, nobody, not_run, open, plain, response, runner, started,
    text, unknown,
};
use pistachiolug_entry::call::{Part, Patience, Running};
use pistachiolug_membership::sign::Cause;
use pistachiolug_wire::{
    call::Work,
    fault::{Code, Fault},
    outcome::Outcome::{self, NotRun, Unknown},
    revoke::Verdict,
};

/// One fault: what the nearer agent does, what it says when asked, what the other does, what the caller sees.
struct Row {
    name: &'static str,
    work: Work,
    near: Vec<Vec<Step>>,
    verdicts: Vec<Verdict>,
    far: Vec<Vec<Step>>,
    expected: Result<&'static str, (Code, Outcome)>,
    /// Opens and joins at each agent.
    opens: (usize, usize),
}

fn whole() -> Vec<Step> {
    vec![started("v1"), text(0, &["a", "b", "c"]), finished(3)]
}

fn booked() -> Vec<Step> {
    vec![started(""), response("booked")]
}

fn generations() -> Vec<Row> {
    let row = |name, near, verdicts: &[Verdict], far, expected, opens| Row {
        name,
        work: generation(),
        near,
        verdicts: verdicts.to_vec(),
        far,
        expected,
        opens,
    };
    vec![
        row("whole", vec![whole()], &[], vec![], Ok("abc"), (1, 0)),
        row(
            "overloaded",
            vec![vec![not_run(Code::Overloaded)]],
            &[],
            vec![whole()],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "leaving",
            vec![vec![not_run(Code::Leaving)]],
            &[],
            vec![whole()],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "both overloaded",
            vec![vec![not_run(Code::Overloaded)]],
            &[],
            vec![vec![not_run(Code::Overloaded)]],
            Err((Code::Overloaded, NotRun)),
            (1, 1),
        ),
        row(
            "lost before its start",
            vec![vec![]],
            &[Verdict::Withdrawn],
            vec![whole()],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "cut and joined",
            vec![
                vec![started("v1"), text(0, &["a", "b"])],
                vec![started("v1"), text(2, &["c"]), finished(3)],
            ],
            &[Verdict::Started],
            vec![],
            Ok("abc"),
            (2, 0),
        ),
        row(
            "join repeats tokens",
            vec![
                vec![started("v1"), text(0, &["a", "b"])],
                vec![text(1, &["b", "c"]), finished(3)],
            ],
            &[Verdict::Finished],
            vec![],
            Ok("abc"),
            (2, 0),
        ),
        row(
            "cut and nobody answers",
            vec![vec![started("v1"), text(0, &["a", "b"])]],
            &[],
            vec![vec![started("v1"), text(2, &["c"]), finished(3)]],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "silent and nobody answers",
            vec![vec![started("v1"), text(0, &["a"]), Step::Silence]],
            &[],
            vec![vec![started("v1"), text(1, &["b", "c"]), finished(3)]],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "tokens missing",
            vec![
                vec![started("v1"), text(0, &["a"]), text(2, &["c"]), finished(3)],
                vec![text(1, &["b", "c"]), finished(3)],
            ],
            &[Verdict::Started],
            vec![],
            Ok("abc"),
            (2, 0),
        ),
        row(
            "end before the last token",
            vec![
                vec![started("v1"), text(0, &["a"]), finished(3)],
                vec![text(1, &["b", "c"]), finished(3)],
            ],
            &[Verdict::Finished],
            vec![],
            Ok("abc"),
            (2, 0),
        ),
        row(
            "crossed",
            vec![
                vec![started("v1"), text(0, &["a"]), Step::Cross],
                vec![text(1, &["b", "c"]), finished(3)],
            ],
            &[Verdict::Started],
            vec![],
            Ok("abc"),
            (2, 0),
        ),
        row(
            "engine dies",
            vec![vec![
                started("v1"),
                text(0, &["a"]),
                unknown(Code::BackendFailed),
            ]],
            &[],
            vec![vec![started("v1"), text(1, &["b", "c"]), finished(3)]],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "two engines die",
            vec![vec![started("v1"), unknown(Code::CrashSuspect)], whole()],
            &[],
            vec![vec![started("v1"), unknown(Code::CrashSuspect)]],
            Err((Code::CrashSuspect, Unknown)),
            (1, 1),
        ),
        row(
            "leaves with a stream open",
            vec![vec![started("v1"), text(0, &["a"]), not_run(Code::Leaving)]],
            &[],
            vec![vec![started("v1"), text(1, &["b", "c"]), finished(3)]],
            Ok("abc"),
            (1, 1),
        ),
        row(
            "only another version left",
            vec![vec![started("v1"), text(0, &["a"])]],
            &[],
            vec![vec![started("v2"), text(1, &["b", "c"]), finished(3)]],
            Err((Code::BackendFailed, Unknown)),
            (1, 1),
        ),
        row(
            "nothing left after tokens",
            vec![vec![started("v1"), text(0, &["a"]), not_run(Code::Leaving)]],
            &[],
            vec![vec![not_run(Code::Overloaded)]],
            Err((Code::Overloaded, Unknown)),
            (1, 1),
        ),
        row(
            "suspect refused",
            vec![vec![not_run(Code::CrashSuspect)]],
            &[],
            vec![],
            Err((Code::CrashSuspect, NotRun)),
            (1, 0),
        ),
    ]
}

fn plain_calls() -> Vec<Row> {
    let row = |name, idempotent, near, verdicts: &[Verdict], far, expected, opens| Row {
        name,
        work: plain(idempotent),
        near,
        verdicts: verdicts.to_vec(),
        far,
        expected,
        opens,
    };
    vec![
        row(
            "whole",
            false,
            vec![booked()],
            &[],
            vec![],
            Ok("booked"),
            (1, 0),
        ),
        row(
            "cut, not started",
            false,
            vec![vec![]],
            &[Verdict::Withdrawn],
            vec![booked()],
            Ok("booked"),
            (1, 1),
        ),
        row(
            "silent, not started",
            false,
            vec![vec![Step::Silence]],
            &[Verdict::Withdrawn],
            vec![booked()],
            Ok("booked"),
            (1, 1),
        ),
        row(
            "cut, started",
            false,
            vec![vec![started("")], booked()],
            &[Verdict::Started],
            vec![],
            Ok("booked"),
            (2, 0),
        ),
        row(
            "cut, nobody answers",
            false,
            vec![vec![started("")]],
            &[],
            vec![booked()],
            Err((Code::BackendFailed, Unknown)),
            (1, 0),
        ),
        row(
            "cut, agent restarted",
            false,
            vec![vec![started("")]],
            &[Verdict::Unknown],
            vec![booked()],
            Err((Code::BackendFailed, Unknown)),
            (1, 0),
        ),
        row(
            "joins keep breaking",
            false,
            vec![vec![], vec![], vec![], vec![]],
            &[Verdict::Started; 4],
            vec![booked()],
            Err((Code::BackendFailed, Unknown)),
            (4, 0),
        ),
        row(
            "service dies",
            false,
            vec![vec![started(""), unknown(Code::BackendFailed)]],
            &[],
            vec![booked()],
            Err((Code::BackendFailed, Unknown)),
            (1, 0),
        ),
        row(
            "refused",
            false,
            vec![vec![not_run(Code::Overloaded)]],
            &[],
            vec![booked()],
            Ok("booked"),
            (1, 1),
        ),
        row(
            "claim unavailable",
            false,
            vec![vec![not_run(Code::ClaimUnavailable)]],
            &[],
            vec![booked()],
            Err((Code::ClaimUnavailable, NotRun)),
            (1, 0),
        ),
        row(
            "idempotent, cut, nobody answers",
            true,
            vec![vec![started("")]],
            &[],
            vec![booked()],
            Ok("booked"),
            (1, 1),
        ),
    ]
}

async fn read(running: &mut Running) -> Result<String, Fault> {
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

async fn check(row: Row) {
    let (near, far) = (
        Agent::new(&row.near, &row.verdicts),
        Agent::new(&row.far, &[]),
    );
    let servers = (near.serve(), far.serve());
    let runner = runner(servers.0.address(), servers.1.address());

    let answer = match runner.open(open(row.work), Patience::Whole).await {
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
async fn generations_are_whole_or_say_that_they_are_not() {
    for row in generations() {
        check(row).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_that_may_not_be_repeated_run_at_most_once() {
    for row in plain_calls() {
        check(row).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_agent_is_barred_and_another_answers() {
    let far = Agent::new(&[whole()], &[]);
    let server = far.serve();
    let runner = runner(nobody(), server.address());

    let mut running = runner
        .open(open(generation()), Patience::Whole)
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
        .open(open(generation()), Patience::Start)
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

        let mut running = runner.open(late, Patience::Start).await.unwrap();
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

    let mut running = runner.open(message, Patience::Start).await.unwrap();
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
            .open(open(generation()), Patience::Whole)
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
