//! Where random numbers come from: the system, or on threads whose time is virtual a
//! seed, so that a day there is played the same each time, to the last commit.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, DefaultHasher, Hasher};

thread_local! {
    static SEEDED: RefCell<Option<SmallRng>> = const { RefCell::new(None) };
}

/// From now on this thread draws its numbers from a seed.
pub fn seed(seed: u64) {
    SEEDED.set(Some(SmallRng::seed_from_u64(seed)));
}

pub fn draw() -> u64 {
    SEEDED.with_borrow_mut(|seeded| match seeded {
        Some(random) => random.random(),
        None => rand::random(),
    })
}

/// A number of a process or of a term: no two of them are the same.
pub fn nonce() -> u64 {
    draw() >> 12
}

/// Hashes under a key that is drawn, so that users can't choose names that collide.
#[derive(Clone)]
pub struct SeededHasher(u64);

impl Default for SeededHasher {
    fn default() -> SeededHasher {
        SeededHasher(draw())
    }
}

impl BuildHasher for SeededHasher {
    type Hasher = DefaultHasher;

    fn build_hasher(&self) -> DefaultHasher {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.0);
        hasher
    }
}

/// A map whose order follows from the seed where something is decided in it.
pub type SeededMap<K, V> = HashMap<K, V, SeededHasher>;
