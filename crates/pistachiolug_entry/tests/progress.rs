//! Tests of the progress of an answer: each token is sent once and in order, whatever arrives.

use pistachiolug_entry::progress::{Error, Progress};
use pistachiolug_wire::call::{Finish, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn slice(at: u32, length: u32) -> Tokens {
    Tokens {
        at,
        texts: (at..at + length).map(|index| format!("{index} ")).collect(),
    }
}

fn finish(tokens: u32) -> Finish {
    Finish {
        tokens,
        ..Finish::default()
    }
}

/// A join or resume may repeat tokens that the caller has or skip some. Repeated tokens must be dropped; a gap must be
/// an error, or the caller would get a wrong text without a sign of it.
#[test]
fn random_slices_never_repeat_or_skip_a_token() {
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut progress = Progress::default();
        let mut sent = Vec::new();
        progress.record_start("v1").unwrap();

        for _ in 0..50 {
            let piece = slice(random.random_range(0..30), random.random_range(0..8));
            let has_gap = piece.at > progress.sent_tokens();
            match progress.record_tokens(piece) {
                Ok(texts) => sent.extend(texts),
                Err(error) => assert!(has_gap && error == Error::Gap, "seed {seed}"),
            }
        }

        let expected: Vec<String> = (0..progress.sent_tokens())
            .map(|index| format!("{index} "))
            .collect();
        assert_eq!(sent, expected, "seed {seed}");
        assert_eq!(progress.sent_text(), expected.concat(), "seed {seed}");
    }
}

/// A resumed call may be answered by an agent with another model version. Its tokens must not continue the answer.
#[test]
fn an_answer_of_another_version_is_rejected() {
    let mut progress = Progress::default();

    assert_eq!(progress.record_tokens(slice(0, 1)), Err(Error::NotStarted));
    assert_eq!(progress.record_start("v1"), Ok(true));
    assert_eq!(progress.record_start("v1"), Ok(false));
    assert_eq!(progress.record_start("v2"), Err(Error::VersionChanged));
}

/// An end whose token count differs from the tokens sent means that tokens were lost; the answer is not complete then.
#[test]
fn an_end_before_or_after_the_last_token_is_rejected() {
    let mut progress = Progress::default();
    assert_eq!(progress.check_finish(&finish(0)), Err(Error::NotStarted));
    progress.record_start("v1").unwrap();
    progress.record_tokens(slice(0, 3)).unwrap();

    assert_eq!(progress.check_finish(&finish(4)), Err(Error::Gap));
    assert_eq!(progress.check_finish(&finish(2)), Err(Error::Gap));
    assert_eq!(progress.check_finish(&finish(3)), Ok(()));
}
