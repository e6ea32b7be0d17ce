//! Whether lost requests count as crashes of their servers.

#![allow(clippy::unwrap_used)]

mod support;

use std::{net::SocketAddr, time::Duration};

use pistachiolug_gateway::{
    fingerprint::Fingerprint,
    losses::{Loss, Losses, Verdict},
    prefix::Prefix,
    prober,
    server::Record,
    state::State,
};
use pistachiolug_wire::digest::Digest;

use tokio::{net::TcpListener, task::spawn_local};

use support::{metrics, options, record, run};

const START: Duration = Duration::from_secs(1);

fn address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn server() -> Record {
    record("i-1", address())
}

fn content(name: &str) -> Digest {
    Digest::of(name.as_bytes())
}

/// Returns the fingerprint of a request whose prompt shares no parts.
fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::new(content(name), "", &Prefix::default())
}

/// Returns the loss of a request whose server had just been heard.
fn loss(name: &str, lost_at: Duration) -> Loss {
    Loss {
        fingerprint: fingerprint(name),
        heard_at: lost_at,
        lost_at,
        is_answered: false,
    }
}

/// Returns the contents of lost requests.
fn contents_of(losses: Vec<Loss>) -> Vec<Digest> {
    let losses = losses.into_iter();
    losses.map(|loss| loss.fingerprint.content).collect()
}

/// Returns losses with one that is being checked.
fn losses_under_check(server: &Record) -> Losses {
    let mut losses = Losses::default();
    losses.record(server, loss("a", START));
    assert_eq!(losses.start_checks(START).len(), 1);
    losses
}

/// Guards against resets, lost answers and cuts that count as crashes, and against crashes that don't count.
#[test]
fn a_loss_counts_as_a_crash_unless_the_server_keeps_connections() {
    let rows = [
        (Verdict::Refused, vec![content("a")]),
        (Verdict::Closed, vec![content("a")]),
        (Verdict::Unreachable, vec![content("a")]),
        (Verdict::Accepted, Vec::new()),
    ];
    for (verdict, crashed) in rows {
        let mut losses = losses_under_check(&server());

        let contents = contents_of(losses.finish_check(server().incarnation(), verdict));

        assert_eq!(contents, crashed, "{verdict:?}");
        assert!(losses.start_checks(START).is_empty(), "{verdict:?}");
    }
}

/// Guards against planned stops that count as crashes of the requests that run then.
#[test]
fn a_loss_at_a_leaving_server_is_not_checked() {
    let leaving = Record {
        leaving: true,
        ..server()
    };
    let mut losses = Losses::default();

    losses.record(&leaving, loss("a", START));

    assert!(losses.start_checks(START).is_empty());
}

/// Guards against a crash that doesn't count because the server is back before it is checked.
#[test]
fn a_server_that_is_back_at_once_has_crashed_when_the_list_names_another_incarnation() {
    let mut losses = losses_under_check(&server());
    losses.finish_check(server().incarnation(), Verdict::Accepted);

    let contents = contents_of(losses.end_server(server().incarnation()));

    assert_eq!(contents, [content("a")]);
}

/// Guards against a loss during a check that counts as checked.
#[test]
fn a_loss_during_a_check_is_checked_again() {
    let mut losses = losses_under_check(&server());
    losses.record(&server(), loss("b", START + Duration::from_millis(1)));

    let during = losses.start_checks(START + Duration::from_millis(2));
    losses.finish_check(server().incarnation(), Verdict::Accepted);
    let again = losses.start_checks(START + Duration::from_millis(3));

    assert!(during.is_empty());
    assert_eq!(again.len(), 1);
}

/// Guards against crashes that count for requests whose server was found alive after them.
#[test]
fn a_loss_before_a_check_does_not_count_in_a_later_crash() {
    let mut losses = losses_under_check(&server());
    losses.finish_check(server().incarnation(), Verdict::Accepted);
    let later = START + Duration::from_secs(1);
    losses.record(&server(), loss("b", later));
    losses.start_checks(later);

    let contents = contents_of(losses.finish_check(server().incarnation(), Verdict::Refused));

    assert_eq!(contents, [content("b")]);
}

/// Guards against memory that grows with the number of lost requests or servers.
#[test]
fn the_number_of_kept_losses_is_bounded() {
    let mut losses = Losses::default();
    let mut contents = 0;
    for number in 0..1000 {
        let server = record(&format!("i-{number}"), address());
        losses.record(&server, loss("a", START));
        losses.record(&self::server(), loss(&format!("content {number}"), START));
    }

    let checks = losses.start_checks(START);
    for check in &checks {
        contents += losses
            .finish_check(check.incarnation, Verdict::Refused)
            .len();
    }

    assert!(checks.len() <= 256, "{} servers", checks.len());
    assert!(contents <= 256 + 64, "{contents} contents");
}

/// Guards against incarnations that several entries tell apart differently, or that restart under the same id unseen.
#[test]
fn an_incarnation_is_told_by_id_and_start() {
    let same = server();
    let restarted = Record {
        started_ms: 2,
        ..server()
    };
    let moved = record("i-2", address());

    assert_eq!(server().incarnation(), same.incarnation());
    assert_ne!(server().incarnation(), restarted.incarnation());
    assert_ne!(server().incarnation(), moved.incarnation());
}

/// Guards against more crashes while servers are being checked, and against refusals after they were found alive.
#[test]
fn a_content_that_was_lost_at_three_servers_waits_for_their_checks() {
    let state = State::new(options(), metrics());
    let servers = ["i-1", "i-2", "i-3"].map(|id| record(id, address()));

    let delays = servers.map(|server| {
        let before = state.suspect_delay(&fingerprint("a"));
        state.record_loss(&server, loss("a", Duration::ZERO));
        before
    });
    let during = state.suspect_delay(&fingerprint("a"));
    for check in state.start_checks() {
        state.finish_check(&check, Verdict::Accepted);
    }

    assert_eq!(delays, [None; 3]);
    assert_eq!(during, Some(prober::MAX_DURATION));
    assert_eq!(state.suspect_delay(&fingerprint("a")), None);
}

/// Guards against entries whose beliefs about a suspect are not visible in the state dump.
#[test]
fn suspects_are_in_the_state_dump() {
    let state = State::new(options(), metrics());
    state.record_loss(&server(), loss("a", Duration::ZERO));
    let checks = state.start_checks();

    state.finish_check(&checks[0], Verdict::Refused);

    let dump = state.dump();
    assert_eq!(dump["suspects"][0]["crashes"], 1, "{dump}");
    let short = content("a").short().to_string();
    assert_eq!(dump["suspects"][0]["content"], short, "{dump}");
}

/// Server to check, and the expected verdict.
struct Case {
    verdict: Verdict,
    /// Whether something listens at the address, and whether it closes connections at once.
    listens: bool,
    closes: bool,
}

/// Guards against dead servers that pass for live ones because a proxy accepts their connections.
#[test]
fn a_check_tells_a_live_server_from_one_that_is_gone() {
    let case = |verdict, listens, closes| Case {
        verdict,
        listens,
        closes,
    };
    let cases = [
        case(Verdict::Accepted, true, false),
        case(Verdict::Closed, true, true),
        case(Verdict::Refused, false, true),
    ];
    for case in cases {
        run(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            if case.listens {
                spawn_local(accept(listener, case.closes));
            } else {
                drop(listener);
            }

            let verdict = prober::probe(address).await;

            assert_eq!(verdict, case.verdict);
        });
    }
}

async fn accept(listener: TcpListener, closes: bool) {
    let mut kept = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        if !closes {
            kept.push(stream);
        }
    }
}
