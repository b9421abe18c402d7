//! Encoding of mutations as values of the store. Mutations are packed into texts of limited
//! size (their JSON, separated by commas); each text is then framed as a
//! [`LogEntry`](crate::records::LogEntry).

#[cfg(test)]
mod tests;

use crate::mutation::Mutation;
use crate::{Revision, records};
use serde_json::value::RawValue;

/// A mutation can't be stored: it exceeds the size limit of a text and can't be split, or it
/// can't be serialized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a mutation of the kind {kind} with {bytes} bytes can't be stored")]
pub struct UnstorableMutation {
    /// The kind of the mutation.
    pub kind: &'static str,
    /// The size of the mutation in bytes; 0 if it can't be serialized.
    pub bytes: usize,
}

/// Packs mutations, in their order, into as few texts as the size limit of a text allows.
#[derive(Debug)]
pub struct MutationPacker {
    max_bytes: usize,
    packed: Vec<String>,
}

impl MutationPacker {
    /// A packer whose texts have at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> MutationPacker {
        MutationPacker {
            max_bytes,
            packed: Vec::new(),
        }
    }

    /// Appends a mutation to those that are already packed. A mutation with a list that exceeds
    /// the size limit is split.
    ///
    /// # Errors
    ///
    /// The mutation, or a part of it, can't be stored. Nothing is packed for that part.
    pub fn add(&mut self, mutation: &Mutation) -> Result<(), UnstorableMutation> {
        let unstorable = |bytes| UnstorableMutation {
            kind: mutation.kind(),
            bytes,
        };
        let text = serde_json::to_string(mutation).map_err(|_| unstorable(0))?;
        if text.len() <= self.max_bytes {
            self.push(text);
            return Ok(());
        }
        let [first, second] = mutation.split().ok_or(unstorable(text.len()))?;
        let first_added = self.add(&first);
        let second_added = self.add(&second);
        first_added.and(second_added)
    }

    fn push(&mut self, text: String) {
        match self.packed.last_mut() {
            Some(last) if last.len() + 1 + text.len() <= self.max_bytes => {
                last.push(',');
                last.push_str(&text);
            }
            _ => self.packed.push(text),
        }
    }

    /// The packed texts, in the order of their mutations.
    pub fn finish(self) -> Vec<String> {
        self.packed
    }
}

/// Packs mutations, in their order, into as few texts of at most `max_bytes` bytes as possible.
///
/// # Errors
///
/// The first mutation that can't be stored.
pub fn pack(mutations: &[Mutation], max_bytes: usize) -> Result<Vec<String>, UnstorableMutation> {
    let mut packer = MutationPacker::new(max_bytes);
    for mutation in mutations {
        packer.add(mutation)?;
    }
    Ok(packer.finish())
}

/// The size of a packed mutation in bytes, without the comma that separates it from the
/// next; 0 if it can't be serialized.
pub fn packed_size(mutation: &Mutation) -> usize {
    serde_json::to_string(mutation).map_or(0, |text| text.len())
}

/// Frames a packed text as the value of a log entry or of a snapshot chunk. For the meaning
/// of `previous_version`, see [`records::LogEntry`]. `None` if the result is not valid JSON.
pub fn frame(previous_version: Revision, packed: &str) -> Option<Box<RawValue>> {
    RawValue::from_string(format!(r#"{{"p":{previous_version},"o":[{packed}]}}"#)).ok()
}

/// Parses a value that [`frame`] made; `None` if this version of rushwalk can't read it.
pub fn unframe(value: &RawValue) -> Option<records::LogEntry> {
    serde_json::from_str(value.get()).ok()
}
