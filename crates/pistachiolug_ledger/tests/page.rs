//! One shard's page: verdicts, bounds and trimming.

use std::sync::Arc;

use pistachiolug_ledger::{
    claim::{Claim, Decision, Key},
    page::{Full, MAX_ANSWER_BYTES, MAX_ROWS, MAX_SEGMENTS, Page},
    segment::{self, Segment},
    timestamp,
};
use pistachiolug_wire::{
    call::{Id, Response},
    codec,
    digest::Digest,
};

const NOW_MS: u64 = 1_800_000_000_000;

fn claim(key: &str, call: u128) -> Claim {
    Claim {
        key: Key {
            customer: "deli".to_owned(),
            service: "booking".to_owned(),
            key: key.to_owned(),
        },
        content: Digest::of(b"ravioli"),
        call: Id(call),
        holder: 7,
        instance: "booking-0".to_owned(),
    }
}

fn answer(bytes: usize) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; bytes].into(),
        replayed: false,
    }
}

/// Returns a UUID of version 7 with a creation time.
fn uuid(time_ms: u64, number: u64) -> String {
    format!("{time_ms:012x}7{number:03x}8{number:015x}")
}

/// Page with the segments it refers to, as a writer keeps them.
#[derive(Default)]
struct Shard {
    page: Page,
    segments: Vec<(u128, Arc<Segment>)>,
    sealed: u128,
}

impl Shard {
    fn claim(&mut self, claim: &Claim) -> Result<Decision, Full> {
        let listed = self.page.segments().to_vec();
        self.segments
            .retain(|(name, _)| listed.iter().any(|kept| kept.name.0 == *name));
        let segments: Vec<_> = self.segments.iter().map(|(_, it)| Arc::clone(it)).collect();
        let decision = self.page.claim(claim, &segments, NOW_MS);
        while let Some(seal) = self.page.trim(segment::Name(self.sealed)) {
            self.segments.push((self.sealed, Arc::new(seal.segment)));
            self.sealed += 1;
        }
        decision
    }
}

#[test]
fn second_claims_get_the_verdict_of_the_first() {
    let other_content = Claim {
        content: Digest::of(b"tagliatelle"),
        ..claim("k", 2)
    };
    let other_process = Claim {
        holder: 8,
        ..claim("k", 1)
    };
    let rows = [
        ("same call again", claim("k", 1), Decision::Granted),
        ("another call", claim("k", 2), Decision::Held(claim("k", 1))),
        (
            "same call at another process",
            other_process,
            Decision::Held(claim("k", 1)),
        ),
        ("another content", other_content, Decision::KeyReused),
    ];
    for (case, second, expected) in rows {
        let mut page = Page::default();
        page.claim(&claim("k", 1), &[], NOW_MS).unwrap();

        let decision = page.claim(&second, &[], NOW_MS);

        assert_eq!(decision, Ok(expected), "{case}");
    }
}

#[test]
fn kept_answers_are_bounded() {
    let rows = [
        (
            MAX_ANSWER_BYTES,
            Decision::Finished(answer(MAX_ANSWER_BYTES)),
        ),
        (MAX_ANSWER_BYTES + 1, Decision::Spent),
    ];
    for (bytes, expected) in rows {
        let mut page = Page::default();
        page.claim(&claim("k", 1), &[], NOW_MS).unwrap();
        page.finish(&claim("k", 1), &answer(bytes));

        let decision = page.claim(&claim("k", 2), &[], NOW_MS);

        assert_eq!(decision, Ok(expected), "{bytes} bytes");
    }
}

#[test]
fn only_the_owner_gives_an_open_claim_back() {
    let mut page = Page::default();
    page.claim(&claim("k", 1), &[], NOW_MS).unwrap();

    page.release(&claim("k", 2));
    assert!(matches!(
        page.claim(&claim("k", 2), &[], NOW_MS),
        Ok(Decision::Held(_))
    ));

    page.release(&claim("k", 1));
    assert_eq!(
        page.claim(&claim("k", 2), &[], NOW_MS),
        Ok(Decision::Granted)
    );

    page.finish(&claim("k", 2), &answer(1));
    page.release(&claim("k", 2));
    assert_eq!(
        page.claim(&claim("k", 3), &[], NOW_MS),
        Ok(Decision::Finished(answer(1)))
    );
}

#[test]
fn keys_without_a_time_are_never_forgotten_and_fill_the_shard() {
    let mut shard = Shard::default();
    let most = (MAX_SEGMENTS * segment::MARKS_PER_SEGMENT) as u128;
    let mut accepted = 0;
    for call in 0..most + 2 * MAX_ROWS as u128 + segment::MARKS_PER_SEGMENT as u128 {
        match shard.claim(&claim(&format!("key {call}"), call)) {
            Ok(Decision::Granted) => accepted += 1,
            Ok(decision) => panic!("{decision:?}"),
            Err(Full) => break,
        }
    }

    assert!(accepted >= most, "{accepted}");
    assert!(codec::encode(&shard.page).len() < 1 << 17);
    for call in (0..accepted).step_by(97) {
        let decision = shard.claim(&claim(&format!("key {call}"), u128::MAX));
        assert!(
            matches!(decision, Ok(Decision::Spent | Decision::Held(_))),
            "{call} {decision:?}"
        );
    }
    let dated = claim(&uuid(NOW_MS, 1), 1);
    assert_eq!(shard.claim(&dated), Ok(Decision::Granted));
}

#[test]
fn forgotten_keys_with_a_time_stay_spent_below_the_floor() {
    let mut shard = Shard::default();
    let total = (MAX_SEGMENTS + 8) * segment::MARKS_PER_SEGMENT;
    for number in 0..total as u64 {
        let dated = claim(
            &uuid(NOW_MS - 1_000_000 + number, number % 4096),
            number.into(),
        );
        assert_eq!(shard.claim(&dated), Ok(Decision::Granted));
    }

    assert!(shard.page.floor_ms() > 0);
    assert!(shard.page.segments().len() <= MAX_SEGMENTS);
    assert!(codec::encode(&shard.page).len() < 1 << 17);
    for number in (0..total as u64).step_by(97) {
        let again = claim(&uuid(NOW_MS - 1_000_000 + number, number % 4096), u128::MAX);
        let decision = shard.claim(&again);
        assert!(
            matches!(decision, Ok(Decision::Spent | Decision::Held(_))),
            "{number} {decision:?}"
        );
    }
}

#[test]
fn a_key_from_the_future_does_not_raise_the_floor() {
    let mut shard = Shard::default();
    let far = NOW_MS + 1_000_000_000;
    for number in 0..(2 * segment::MARKS_PER_SEGMENT) as u64 {
        shard
            .claim(&claim(&uuid(far + number, number % 4096), number.into()))
            .unwrap();
    }

    assert_eq!(shard.page.floor_ms(), 0);
    assert_eq!(
        shard.claim(&claim(&uuid(NOW_MS, 5), 1)),
        Ok(Decision::Granted)
    );
    let again = shard.claim(&claim(&uuid(far, 0), u128::MAX));
    assert_eq!(again, Ok(Decision::Spent));
}

#[test]
fn creation_times_are_read_from_uuid_v7_and_ulid_only() {
    let rows = [
        (
            "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            Some(0x017f_22e2_79b0),
        ),
        ("017F22E279B07CC398C4DC0C0C07398F", Some(0x017f_22e2_79b0)),
        ("919108f7-52d1-4320-9bac-f847db4148a8", None),
        ("01ARZ3NDEKTSV4RRFFQ69G5FAV", Some(1_469_922_850_259)),
        ("order 17", None),
        ("", None),
    ];
    for (key, expected) in rows {
        assert_eq!(timestamp::parse(key), expected, "{key}");
    }
}
