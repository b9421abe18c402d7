//! How mutations become values of the store: packed into texts of a limited size, each of
//! which is then framed as a [`LogEntry`](crate::records::LogEntry).

#[cfg(test)]
mod tests;

use crate::mutation::Mutation;
use crate::{Revision, records};
use serde_json::value::RawValue;

/// Packs mutations into as few texts as their size limit allows.
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

    /// Packs more mutations behind those that are packed already.
    pub fn extend(&mut self, mutations: &[Mutation]) {
        for mutation in mutations {
            let Ok(text) = serde_json::to_string(mutation) else {
                continue;
            };
            if text.len() > self.max_bytes {
                // Long lists are split and large submissions rejected before they come here.
                tracing::error!(bytes = text.len(), "mutation exceeds the value size");
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

/// Packs mutations into as few texts of at most `max_bytes` bytes as possible.
pub fn pack(mutations: &[Mutation], max_bytes: usize) -> Vec<String> {
    let mut packer = MutationPacker::new(max_bytes);
    packer.extend(mutations);
    packer.finish()
}

/// The size of a mutation in bytes, as it is packed.
pub fn packed_size(mutation: &Mutation) -> usize {
    serde_json::to_string(mutation).map_or(0, |text| text.len())
}

/// Frames a packed text as the value of a log entry or of a snapshot's chunk;
/// `previous_version` as in [`records::LogEntry`].
pub fn frame(previous_version: Revision, packed: &str) -> Option<Box<RawValue>> {
    RawValue::from_string(format!(r#"{{"p":{previous_version},"o":[{packed}]}}"#)).ok()
}

/// Reads what [`frame`] wrote; `None` if this version can't.
pub fn unframe(value: &RawValue) -> Option<records::LogEntry> {
    serde_json::from_str(value.get()).ok()
}
