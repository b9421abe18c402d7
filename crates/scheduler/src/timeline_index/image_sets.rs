//! Sets of the machines that have an image, as bit sets with one bit per machine.

use crate::timeline::ImageId;

const WORD_BITS: usize = u64::BITS as usize;

/// For each image, by its number, the set of machines that may have it.
///
/// Bits are never cleared, also when a plan is undone: a bit that is set for a machine without
/// the image only lowers the bound on a finish there, and the bound stays valid.
#[derive(Debug, Clone, Default)]
pub(super) struct ImageSets(Vec<Vec<u64>>);

/// The machines that may have one image.
pub(super) struct MachineSet<'a>(&'a [u64]);

impl ImageSets {
    pub(super) fn insert(&mut self, image: ImageId, machine: usize) {
        let image = image as usize;
        if self.0.len() <= image {
            self.0.resize(image + 1, Vec::new());
        }
        let words = &mut self.0[image];
        let word = machine / WORD_BITS;
        if words.len() <= word {
            words.resize(word + 1, 0);
        }
        words[word] |= 1 << (machine % WORD_BITS);
    }

    pub(super) fn machines_with(&self, image: ImageId) -> MachineSet<'_> {
        let words = self.0.get(image as usize);
        MachineSet(words.map_or(&[][..], |words| words))
    }
}

impl MachineSet<'_> {
    pub(super) fn contains(&self, machine: usize) -> bool {
        let word = self.0.get(machine / WORD_BITS);
        word.is_some_and(|word| word & (1 << (machine % WORD_BITS)) != 0)
    }
}
