//! Page of one shard: decisions on claims, limits and trimming.

use std::sync::Arc;

use pistachiolug_ledger::{
    claim::{Claim, Decision, Key},
    page::{Full, MAX_RESPONSE_BYTES, MAX_ROWS, MAX_SEGMENTS, Page},
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

fn response(bytes: usize) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; bytes].into(),
        replayed: false,
    }
}

/// Returns a UUID of version 7 with a timestamp.
fn uuid(time_ms: u64, number: u64) -> String {
    format!("{time_ms:012x}7{number:03x}8{number:015x}")
}

/// Page with the segments that it refers to, as a shard's writer keeps them.
#[derive(Default)]
struct Shard {
    page: Page,
    segments: Vec<(u128, Arc<Segment>)>,
    segment_count: u128,
}

impl Shard {
    fn claim(&mut self, claim: &Claim) -> Result<Decision, Full> {
        let references = self.page.segments().to_vec();
        self.segments
            .retain(|(name, _)| references.iter().any(|it| it.name.0 == *name));
        let segments: Vec<_> = self.segments.iter().map(|(_, it)| Arc::clone(it)).collect();
        let decision = self.page.claim(claim, &segments, NOW_MS);
        while let Some(seal) = self.page.trim(segment::Name(self.segment_count)) {
            self.segments
                .push((self.segment_count, Arc::new(seal.segment)));
            self.segment_count += 1;
        }
        decision
    }
}

/// Guards against a second run of a key: only the claim that was granted may be granted again.
#[test]
fn second_claim_of_a_key_is_granted_only_to_the_first_claimant() {
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

/// A page is one value of the key-value service, so a large response must not be stored; its key stays spent.
#[test]
fn responses_above_the_size_limit_are_not_stored() {
    let rows = [
        (
            MAX_RESPONSE_BYTES,
            Decision::Finished(response(MAX_RESPONSE_BYTES)),
        ),
        (MAX_RESPONSE_BYTES + 1, Decision::Spent),
    ];
    for (bytes, expected) in rows {
        let mut page = Page::default();
        page.claim(&claim("k", 1), &[], NOW_MS).unwrap();
        page.finish(&claim("k", 1), &response(bytes));

        let decision = page.claim(&claim("k", 2), &[], NOW_MS);

        assert_eq!(decision, Ok(expected), "{bytes} bytes");
    }
}

/// Guards against a release that frees a key whose call may run or has run: one by another claim, or one after the call
/// has finished.
#[test]
fn only_the_owner_can_release_an_open_claim() {
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

    page.finish(&claim("k", 2), &response(1));
    page.release(&claim("k", 2));
    assert_eq!(
        page.claim(&claim("k", 3), &[], NOW_MS),
        Ok(Decision::Finished(response(1)))
    );
}

/// A key without a timestamp must stay spent for good, so the shard refuses more of them once it is full. Keys with a
/// timestamp are still accepted.
#[test]
fn keys_without_a_timestamp_stay_spent_until_the_shard_is_full() {
    let mut shard = Shard::default();
    let capacity = (MAX_SEGMENTS * segment::MARKS_PER_SEGMENT) as u128;
    let mut accepted = 0;
    for call in 0..capacity + 2 * MAX_ROWS as u128 + segment::MARKS_PER_SEGMENT as u128 {
        match shard.claim(&claim(&format!("key {call}"), call)) {
            Ok(Decision::Granted) => accepted += 1,
            Ok(decision) => panic!("{decision:?}"),
            Err(Full) => break,
        }
    }

    assert!(accepted >= capacity, "{accepted}");
    assert!(codec::encode(&shard.page).len() < 1 << 17);
    for call in (0..accepted).step_by(97) {
        let decision = shard.claim(&claim(&format!("key {call}"), u128::MAX));
        assert!(
            matches!(decision, Ok(Decision::Spent | Decision::Held(_))),
            "{call} {decision:?}"
        );
    }
    let timestamped = claim(&uuid(NOW_MS, 1), 1);
    assert_eq!(shard.claim(&timestamped), Ok(Decision::Granted));
}

/// Guards against a second run of an old key: when its segment is dropped, the floor must cover its timestamp.
#[test]
fn dropped_keys_with_a_timestamp_stay_spent_below_the_floor() {
    let mut shard = Shard::default();
    let total = (MAX_SEGMENTS + 8) * segment::MARKS_PER_SEGMENT;
    for number in 0..total as u64 {
        let timestamped = claim(
            &uuid(NOW_MS - 1_000_000 + number, number % 4096),
            number.into(),
        );
        assert_eq!(shard.claim(&timestamped), Ok(Decision::Granted));
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

/// Guards against a caller with a wrong clock: timestamps far in the future would raise the floor, and the keys of all
/// other callers would count as spent.
#[test]
fn keys_with_a_future_timestamp_do_not_raise_the_floor() {
    let mut shard = Shard::default();
    let future_ms = NOW_MS + 1_000_000_000;
    for number in 0..(2 * segment::MARKS_PER_SEGMENT) as u64 {
        shard
            .claim(&claim(
                &uuid(future_ms + number, number % 4096),
                number.into(),
            ))
            .unwrap();
    }

    assert_eq!(shard.page.floor_ms(), 0);
    assert_eq!(
        shard.claim(&claim(&uuid(NOW_MS, 5), 1)),
        Ok(Decision::Granted)
    );
    let again = shard.claim(&claim(&uuid(future_ms, 0), u128::MAX));
    assert_eq!(again, Ok(Decision::Spent));
}

/// A number in a key of another kind must not be taken for a timestamp, since keys below the floor count as spent.
#[test]
fn timestamps_are_parsed_only_from_uuid_v7_and_ulid() {
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
