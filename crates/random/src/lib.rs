//! Random numbers. On a thread that was seeded they come from a deterministic generator, so
//! that a simulation in virtual time makes the same commits to the store each time it is run
//! with the same seed. On other threads the generator is seeded by the operating system.

#![deny(missing_docs)]

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, DefaultHasher, Hasher};

/// The number of bits that are dropped from a random number to make an identifier. The
/// remaining 52 bits are represented exactly by a JSON number (a double).
const ID_SHIFT: u32 = 12;

thread_local! {
    /// The deterministic generator of this thread; `None` unless the thread was seeded.
    static SEEDED_GENERATOR: RefCell<Option<SmallRng>> = const { RefCell::new(None) };
}

/// Seeds the generator of this thread: `seed` determines all its further random numbers.
pub fn seed(seed: u64) {
    SEEDED_GENERATOR.set(Some(SmallRng::seed_from_u64(seed)));
}

/// A random number of 64 bits, from the thread's seeded generator if there is one.
pub fn random_u64() -> u64 {
    SEEDED_GENERATOR.with_borrow_mut(|seeded| match seeded {
        Some(generator) => generator.random(),
        None => rand::random(),
    })
}

/// A random identifier of 52 bits for a process or an election. The probability that two
/// identifiers are equal is negligible.
pub fn random_id() -> u64 {
    random_u64() >> ID_SHIFT
}

/// Builds hashers with a random key, so that users can't choose names with colliding hashes.
/// On a seeded thread the key is deterministic.
#[derive(Clone)]
pub struct SeededState {
    key: u64,
}

impl Default for SeededState {
    fn default() -> SeededState {
        SeededState { key: random_u64() }
    }
}

impl BuildHasher for SeededState {
    type Hasher = DefaultHasher;

    fn build_hasher(&self) -> DefaultHasher {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.key);
        hasher
    }
}

/// A hash map with [`SeededState`]. On a seeded thread its iteration order is reproducible,
/// for maps whose iteration order affects decisions.
pub type SeededMap<K, V> = HashMap<K, V, SeededState>;
