//! Tokens leave an entry in order, each once, whatever arrives.

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

#[test]
fn random_pieces_never_double_nor_skip_a_token() {
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut progress = Progress::default();
        let mut given = Vec::new();
        progress.record_start("v1").unwrap();

        for _ in 0..50 {
            let piece = slice(random.random_range(0..30), random.random_range(0..8));
            let missing = piece.at > progress.sent_tokens();
            match progress.record_tokens(piece) {
                Ok(texts) => given.extend(texts),
                Err(error) => assert!(missing && error == Error::Gap, "seed {seed}"),
            }
        }

        let expected: Vec<String> = (0..progress.sent_tokens())
            .map(|index| format!("{index} "))
            .collect();
        assert_eq!(given, expected, "seed {seed}");
        assert_eq!(progress.sent_text(), expected.concat(), "seed {seed}");
    }
}

#[test]
fn answers_of_two_versions_are_not_joined() {
    let mut progress = Progress::default();

    assert_eq!(progress.record_tokens(slice(0, 1)), Err(Error::NotStarted));
    assert_eq!(progress.record_start("v1"), Ok(true));
    assert_eq!(progress.record_start("v1"), Ok(false));
    assert_eq!(progress.record_start("v2"), Err(Error::VersionChanged));
}

#[test]
fn an_answer_ends_only_after_its_last_token() {
    let mut progress = Progress::default();
    assert_eq!(progress.check_finish(&finish(0)), Err(Error::NotStarted));
    progress.record_start("v1").unwrap();
    progress.record_tokens(slice(0, 3)).unwrap();

    assert_eq!(progress.check_finish(&finish(4)), Err(Error::Gap));
    assert_eq!(progress.check_finish(&finish(2)), Err(Error::Gap));
    assert_eq!(progress.check_finish(&finish(3)), Ok(()));
}
