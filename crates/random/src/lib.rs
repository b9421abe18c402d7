//! Random numbers: from the operating system or, on threads with virtual time, from a
//! seed, so that a simulated day is reproduced down to its last commit.

#![deny(missing_docs)]

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, DefaultHasher, Hasher};

/// Identifiers have 52 bits, so that they are exact in JSON's numbers.
const ID_SHIFT: u32 = 12;

thread_local! {
    /// The generator of a thread that was seeded.
    static SEEDED: RefCell<Option<SmallRng>> = const { RefCell::new(None) };
}

/// Makes the random numbers of this thread follow from a seed.
pub fn seed(seed: u64) {
    SEEDED.set(Some(SmallRng::seed_from_u64(seed)));
}

/// A random number of 64 bits.
pub fn random_u64() -> u64 {
    SEEDED.with_borrow_mut(|seeded| match seeded {
        Some(generator) => generator.random(),
        None => rand::random(),
    })
}

/// An identifier of a process or of a leader's term; two are practically never equal.
pub fn random_id() -> u64 {
    random_u64() >> ID_SHIFT
}

/// A hasher whose key is random, so that users can't choose names that collide.
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

/// A map whose order follows from the seed, for maps whose order decides something.
pub type SeededMap<K, V> = HashMap<K, V, SeededState>;
