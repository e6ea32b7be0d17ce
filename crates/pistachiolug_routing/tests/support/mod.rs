//! Random steps that are generated from a seed.

use bolero::{TypeGenerator, generator::bolero_generator::driver};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of random bytes from which the steps of one run are generated.
const BYTES: usize = 4096;

/// Generates up to `max_steps` steps; the same seed gives the same steps.
pub(crate) fn steps<T: TypeGenerator>(seed: u64, max_steps: usize) -> Vec<T> {
    let mut bytes = vec![0; BYTES];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut driver = driver::ByteSliceDriver::new(&bytes, &driver::Options::default());
    (0..max_steps)
        .map_while(|_| T::generate(&mut driver))
        .collect()
}

/// Runs a check for each seed below `count` and panics with the first seed that fails.
pub(crate) fn for_seeds(count: u64, check: impl Fn(u64) + std::panic::RefUnwindSafe) {
    for seed in 0..count {
        let outcome = std::panic::catch_unwind(|| check(seed));
        assert!(outcome.is_ok(), "failed with seed {seed}");
    }
}
