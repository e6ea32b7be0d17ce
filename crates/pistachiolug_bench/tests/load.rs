//! Plans, streams and figures of the load tool.

use std::time::Duration;

use pistachiolug_bench::{
    chaos,
    load::{
        plan::{self, Kind, Stream},
        sample::{End, Sample},
        sse::{Event, Parser},
        summary,
    },
};
use pistachiolug_wire::digest::Digest;

fn stream(rate: f64) -> Stream {
    Stream {
        customer: "paid".to_owned(),
        kind: Kind::Chat,
        rate,
        from_s: 1.0,
        until_s: 11.0,
        tokens: 8,
    }
}

fn sample(end: End, first_us: u64) -> Sample {
    Sample {
        customer: "paid".to_owned(),
        kind: Kind::Chat,
        nonce: 1,
        content: Digest::of(b"body"),
        entry: 0,
        at_us: 0,
        first_us: Some(first_us),
        end_us: first_us,
        gaps_us: vec![10, 20],
        status: 200,
        code: String::new(),
        call: String::new(),
        version: "v1".to_owned(),
        tokens: 3,
        retry_after: false,
        end,
    }
}

#[test]
fn a_seed_decides_the_whole_plan() {
    let streams = [stream(20.0), stream(5.0)];

    let first = plan::build(&streams, 7);
    let second = plan::build(&streams, 7);
    let other = plan::build(&streams, 8);

    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn arrivals_keep_their_rate_and_bounds() {
    let planned = plan::build(&[stream(100.0)], 3);

    let bounds = Duration::from_secs(1)..Duration::from_secs(11);
    assert!(planned.iter().all(|request| bounds.contains(&request.at)));
    assert!((850..1150).contains(&planned.len()), "{}", planned.len());
    assert!(planned.is_sorted_by_key(|request| request.at));
}

#[test]
fn streams_split_anywhere_give_the_same_events() {
    let text = b": heartbeat\n\ndata: {\"version\":\"v1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    let expected = [Event::Text("a".to_owned(), "v1".to_owned()), Event::Done];

    for cut in 0..text.len() {
        let mut parser = Parser::default();
        let mut events = Vec::new();
        for piece in [&text[..cut], &text[cut..]] {
            parser.push(piece);
            events.extend(std::iter::from_fn(|| parser.next_event()));
        }
        assert_eq!(events, expected, "cut at {cut}");
    }
}

#[test]
fn error_events_are_not_whole_answers() {
    let mut parser = Parser::default();
    parser.push(b"event: error\ndata: {\"error\":{\"outcome\":\"unknown\"}}\n\n");

    let event = parser.next_event();

    assert!(matches!(event, Some(Event::Error(_))), "{event:?}");
}

#[test]
fn any_bytes_leave_the_parser_unharmed() {
    bolero::check!().with_iterations(2_000).for_each(|bytes| {
        let mut parser = Parser::default();
        parser.push(bytes);
        let blocks = bytes.len() / 2 + 1;

        let events = std::iter::from_fn(|| parser.next_event()).count();

        assert!(events <= blocks);
    });
}

#[test]
fn only_whole_answers_count_as_served() {
    let samples = [
        sample(End::Whole, 1_000),
        sample(End::NotRun, 50),
        sample(End::Cut, 9_000_000),
    ];

    let figures = summary::by_customer(&samples);

    let paid = &figures["paid"];
    assert_eq!(paid.sent, 3);
    assert_eq!(paid.tokens, 3);
    assert_eq!(paid.first_us.count, 1);
    assert_eq!(paid.refusal_us.count, 1);
    assert_eq!(paid.ends["cut"], 1);
}

#[test]
fn a_seed_decides_every_fault_of_a_chaos_run() {
    let first = chaos::document(11, 2.0);
    let second = chaos::document(11, 2.0);
    let other = chaos::document(12, 2.0);

    assert_eq!(first, second);
    assert_ne!(first.faults, other.faults);
    assert!(first.faults.is_sorted_by(|a, b| a.at_s <= b.at_s));
}
