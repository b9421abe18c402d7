//! Encoding of mutations as values of the store. Mutations are packed into texts of limited
//! size (their JSON, separated by commas); each text is then framed as a
//! [`LogEntry`](crate::records::LogEntry).

#[cfg(test)]
mod tests;

use crate::mutation::Mutation;
use crate::{Revision, records};
use serde_json::value::RawValue;

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

    /// Appends mutations to those that are already packed. A mutation that exceeds the size
    /// limit on its own is dropped with a log message; one that can't be serialized is
    /// dropped without.
    pub fn extend(&mut self, mutations: &[Mutation]) {
        for mutation in mutations {
            let Ok(text) = serde_json::to_string(mutation) else {
                continue;
            };
            if text.len() > self.max_bytes {
                // This should not happen: callers split long lists and reject large submissions.
                tracing::error!(
                    bytes = text.len(),
                    "mutation dropped: it exceeds the size limit of a value"
                );
                continue;
            }
            self.push(text);
        }
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
pub fn pack(mutations: &[Mutation], max_bytes: usize) -> Vec<String> {
    let mut packer = MutationPacker::new(max_bytes);
    packer.extend(mutations);
    packer.finish()
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
