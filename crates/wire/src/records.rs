//! What rushwalk keeps in the state service, one record a key.
//!
//! Keys sort so that a listing meets a job before the tasks that belong to it.

use crate::{cloud::MachineType, jobs::JobSpec};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Everything of ours lies below this prefix.
pub const ROOT: &str = "w/";
pub const LEADER: &str = "w/leader";
pub const TYPES: &str = "w/types";
pub const OPERATOR: &str = "w/operator";
/// Tasks per part of a job's record of finished tasks.
pub const PART: u32 = 32_768;

pub fn done_key(uid: &str, part: u32) -> String {
    format!("w/d/{uid}/{part}")
}
pub fn grant_key(block: &str) -> String {
    format!("w/g/{block}")
}
pub fn machine_key(name: &str) -> String {
    format!("w/i/{name}")
}
pub fn job_key(uid: &str) -> String {
    format!("w/j/{uid}")
}
pub fn member_key(member: &str) -> String {
    format!("w/m/{member}")
}
pub fn rental_key(request: &str) -> String {
    format!("w/r/{request}")
}
pub fn task_key(uid: &str, index: u32) -> String {
    format!("w/t/{uid}/{index}")
}
pub fn trouble_key(uid: &str) -> String {
    format!("w/x/{uid}")
}

/// The leader's key, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    pub member: String,
    /// Rewritten to fence the leader's own commits whose fate is unknown.
    pub nonce: u64,
}

/// A running controller, attached to its member lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub zone: String,
    /// One per process, so that a restart is seen even within the lease.
    pub nonce: u64,
    pub since_ms: u64,
}

/// A block lent to a controller; the token is this key's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub holder: String,
    pub nonce: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Active,
    Done,
    Cancelled,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub phase: Phase,
    /// Time of day at which it was accepted, in milliseconds.
    pub at: u64,
    pub spec: Arc<JobSpec>,
}

/// Why a live task is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StopWhy {
    /// Another task of its gang is gone.
    Gang,
    Preempted,
    Drain,
    Overdue,
}

/// A task that may be on a machine: it exists from its assignment to a block
/// until it is surely gone, and holds its quota all that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Task {
    pub block: String,
    pub attempt: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<String>,
    /// Time of day of its assignment, then placement, in milliseconds.
    pub at: u64,
    /// Time of day at which it was first seen running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<StopWhy>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStage {
    Use,
    /// Takes no new tasks.
    Drain,
    /// Its deletion is intended; that is final.
    Delete,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub block: String,
    pub stage: MachineStage,
    /// Time of day of the rental, in milliseconds.
    pub rented: u64,
    /// Time of day of its first report, and the address it gave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub up: Option<u64>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub address: String,
    /// Images it should have, the latest fetched last, with their sizes. Kept
    /// here because a controller that restarts could not ask for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    /// Time of day at which the cloud takes it back, by its notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub taken: Option<u64>,
    /// Since when its holder has heard nothing of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent: Option<u64>,
}

/// A rental that was or will be asked for. The name is used once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rental {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub at: u64,
}

/// The failures of a job's tasks so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    pub count: u32,
    pub last: u64,
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Types {
    pub types: Vec<MachineType>,
}

/// Finished tasks of one part of a job, a bit each, as hexadecimal digits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bits(Vec<u8>);

impl Bits {
    pub fn get(&self, index: u32) -> bool {
        let byte = self.0.get(index as usize / 8).copied().unwrap_or(0);
        byte & (1 << (index % 8)) != 0
    }

    pub fn set(&mut self, index: u32) {
        let at = index as usize / 8;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        self.0[at] |= 1 << (index % 8);
    }

    pub fn count(&self) -> u32 {
        self.0.iter().map(|b| b.count_ones()).sum()
    }
}

impl Serialize for Bits {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        let text: String = self.0.iter().map(|b| format!("{b:02x}")).collect();
        out.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Bits {
    fn deserialize<D: serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        let digit = |c: u8| (c as char).to_digit(16).map(|d| d as u8);
        text.as_bytes()
            .chunks(2)
            .map(|pair| match *pair {
                [a, b] => Some(digit(a)? << 4 | digit(b)?),
                _ => None,
            })
            .collect::<Option<Vec<u8>>>()
            .map(Bits)
            .ok_or_else(|| serde::de::Error::custom("not hexadecimal"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_part_of_finished_tasks_fits_the_smallest_value() {
        let mut bits = Bits::default();
        for i in 0..PART {
            bits.set(i);
        }
        assert_eq!(bits.count(), PART);
        let text = serde_json::to_string(&bits).unwrap();
        assert!(text.len() <= 9 * 1024);
        assert_eq!(serde_json::from_str::<Bits>(&text).unwrap(), bits);
    }
}
