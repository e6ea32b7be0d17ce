//! Tests of the load tool: plans, the parser of streams, and summaries.

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

/// Guards against a plan that depends on anything but its seed, so that two runs can't be compared.
#[test]
fn equal_seeds_give_equal_plans() {
    let streams = [stream(20.0), stream(5.0)];

    let first = plan::build(&streams, 7);
    let second = plan::build(&streams, 7);
    let other = plan::build(&streams, 8);

    assert_eq!(first, second);
    assert_ne!(first, other);
}

/// Guards against a load that is higher or lower than its stream asks for, or outside its time.
#[test]
fn arrivals_keep_their_rate_and_bounds() {
    let planned = plan::build(&[stream(100.0)], 3);

    let bounds = Duration::from_secs(1)..Duration::from_secs(11);
    assert!(planned.iter().all(|request| bounds.contains(&request.at)));
    assert!((850..1150).contains(&planned.len()), "{}", planned.len());
    assert!(planned.is_sorted_by_key(|request| request.at));
}

/// Guards against events that are lost or merged when a network read ends in the middle of them.
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

/// Guards against a stream that ends with an error and counts as answered.
#[test]
fn an_error_event_is_not_a_complete_answer() {
    let mut parser = Parser::default();
    parser.push(b"event: error\ndata: {\"error\":{\"outcome\":\"unknown\"}}\n\n");

    let event = parser.next_event();

    assert!(matches!(event, Some(Event::Error(_))), "{event:?}");
}

/// Guards against a parser that panics, or returns more events than there are, on a damaged stream.
#[test]
fn arbitrary_bytes_cause_no_panic_in_the_parser() {
    bolero::check!().with_iterations(2_000).for_each(|bytes| {
        let mut parser = Parser::default();
        parser.push(bytes);
        let blocks = bytes.len() / 2 + 1;

        let events = std::iter::from_fn(|| parser.next_event()).count();

        assert!(events <= blocks);
    });
}

/// Guards against refused or cut calls that distort the figures of answered ones.
#[test]
fn only_complete_answers_count_in_answer_figures() {
    let samples = [
        sample(End::Whole, 1_000),
        sample(End::NotRun, 50),
        sample(End::Cut, 9_000_000),
    ];

    let summaries = summary::by_customer(&samples);

    let paid = &summaries["paid"];
    assert_eq!(paid.sent, 3);
    assert_eq!(paid.tokens, 3);
    assert_eq!(paid.first_us.count, 1);
    assert_eq!(paid.refusal_us.count, 1);
    assert_eq!(paid.ends["cut"], 1);
}

/// Guards against a chaos run that can't be repeated from the seed that it printed.
#[test]
fn equal_seeds_give_equal_chaos_runs() {
    let first = chaos::document(11, 2.0);
    let second = chaos::document(11, 2.0);
    let other = chaos::document(12, 2.0);

    assert_eq!(first, second);
    assert_ne!(first.faults, other.faults);
    assert!(first.faults.is_sorted_by(|a, b| a.at_s <= b.at_s));
}
