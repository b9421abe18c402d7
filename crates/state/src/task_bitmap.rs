//! [`TaskBitmap`], a set of tasks with a compact text form for snapshots.

#[cfg(test)]
mod tests;

/// A set of tasks of one job, with one bit for each task index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskBitmap {
    bytes: Vec<u8>,
    count: u32,
}

/// A part of a [`TaskBitmap`] as hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HexPart {
    /// The index of the part's first task.
    pub first_task: u32,
    /// Two digits for every eight tasks, one byte whose lowest bit is the first of them.
    pub digits: String,
}

/// The error for a text that does not have the form that [`TaskBitmap::to_hex_parts`] writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHex;

/// The number of tasks in a [`HexPart`], which has 4096 digits. It is split further for a store
/// with smaller values.
const TASKS_PER_PART: u32 = 16_384;

impl TaskBitmap {
    /// Whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let byte = self.bytes.get(task as usize / 8).copied().unwrap_or(0);
        byte & (1 << (task % 8)) != 0
    }

    /// Adds a task. Returns whether it was new to the set.
    pub fn insert(&mut self, task: u32) -> bool {
        if self.contains(task) {
            return false;
        }
        let byte_index = task as usize / 8;
        if self.bytes.len() <= byte_index {
            self.bytes.resize(byte_index + 1, 0);
        }
        self.bytes[byte_index] |= 1 << (task % 8);
        self.count += 1;
        true
    }

    /// The number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The set as hexadecimal digits, in parts of limited size.
    pub fn to_hex_parts(&self) -> Vec<HexPart> {
        let parts = self.bytes.chunks(TASKS_PER_PART as usize / 8).enumerate();
        parts
            .map(|(part_index, bytes)| HexPart {
                first_task: part_index as u32 * TASKS_PER_PART,
                digits: bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
            })
            .collect()
    }

    /// Adds the tasks of a part that [`to_hex_parts`](TaskBitmap::to_hex_parts) wrote.
    ///
    /// # Errors
    ///
    /// `InvalidHex` if the text has an odd length or contains anything but hexadecimal
    /// digits. The tasks of the digits before the invalid one have been added then.
    pub fn insert_hex(&mut self, first_task: u32, digits: &str) -> Result<(), InvalidHex> {
        for (pair_index, pair) in digits.as_bytes().chunks(2).enumerate() {
            let &[high, low] = pair else {
                return Err(InvalidHex);
            };
            let byte = hex_digit(high)? << 4 | hex_digit(low)?;
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                self.insert(first_task + pair_index as u32 * 8 + bit);
            }
        }
        Ok(())
    }
}

fn hex_digit(character: u8) -> Result<u32, InvalidHex> {
    (character as char).to_digit(16).ok_or(InvalidHex)
}
