//! What the stand-ins share: the jobs that users have uploaded, the controllers' addresses, the
//! tasks that are on machines, and the starts and ends that were seen.

use crate::machine::Machine;
use crate::record::Record;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A task that is on a machine, or was.
#[derive(Clone, Debug)]
pub struct Run {
    pub piece: String,
    pub rig: String,
    /// When it left the machine, and why; `None` while it is on it.
    pub end: Option<(f64, String)>,
}

/// How far the tasks of one attempt of a gang are.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum GangPhase {
    Gathers,
    Runs,
    Done,
    /// A task of the running gang has left its machine.
    Broken,
}

struct Gang {
    /// The tasks that wait for the others.
    joined: BTreeSet<String>,
    phase: GangPhase,
}

#[derive(Default)]
struct Shared {
    gangs: BTreeMap<(String, u64), Gang>,
    specs: BTreeMap<String, Value>,
    run_s: BTreeMap<String, f64>,
    /// Pieces whose next start on the machine fails, with the machine.
    failing: BTreeSet<(String, String)>,
    /// Pieces that fail on the machine whenever they start.
    mistaken: BTreeSet<(String, String)>,
    runs: Vec<Run>,
    machines: BTreeMap<String, Arc<Machine>>,
    random: u64,
}

/// The world of a run.
pub struct World {
    pub record: Record,
    pub lease_s: f64,
    pub report_s: f64,
    pub nodes: Vec<(String, SocketAddr)>,
    shared: Mutex<Shared>,
}

fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or(piece)
}

impl World {
    pub fn new(
        record: Record,
        lease_s: f64,
        report_s: f64,
        nodes: Vec<(String, SocketAddr)>,
    ) -> World {
        let shared = Shared {
            random: 0x2545_f491_4f6c_dd1d,
            ..Shared::default()
        };
        World {
            record,
            lease_s,
            report_s,
            nodes,
            shared: Mutex::new(shared),
        }
    }

    /// A job's description, which its user uploads before the submission, with the time that each
    /// task runs; `None` for a service.
    pub fn upload(&self, spec: &Value, run_s: Option<f64>) {
        let job = spec["uid"].as_str().unwrap_or("").to_string();
        let mut shared = self.shared.lock().unwrap();
        if let Some(run_s) = run_s {
            shared.run_s.insert(job.clone(), run_s);
        }
        shared.specs.insert(job, spec.clone());
    }

    pub fn spec_of_piece(&self, piece: &str) -> Option<Value> {
        let spec = self
            .shared
            .lock()
            .unwrap()
            .specs
            .get(job_of(piece))
            .cloned()?;
        let index: u64 = piece.split('/').nth(1)?.parse().ok()?;
        (index < spec["pieces"].as_u64()?).then_some(spec)
    }

    pub fn run_s(&self, piece: &str) -> Option<f64> {
        self.shared
            .lock()
            .unwrap()
            .run_s
            .get(job_of(piece))
            .copied()
    }

    /// Lets the next start of a piece on a machine fail, once.
    pub fn fail_once(&self, piece: &str, rig: &str) {
        let key = (piece.to_string(), rig.to_string());
        self.shared.lock().unwrap().failing.insert(key);
    }

    pub fn fails(&self, piece: &str, rig: &str) -> bool {
        let key = (piece.to_string(), rig.to_string());
        let mut shared = self.shared.lock().unwrap();
        shared.mistaken.contains(&key) || shared.failing.remove(&key)
    }

    /// Lets every start of a piece on a machine fail.
    pub fn fail_always(&self, piece: &str, rig: &str) {
        let key = (piece.to_string(), rig.to_string());
        self.shared.lock().unwrap().mistaken.insert(key);
    }

    /// From now on no start fails that has not failed yet.
    pub fn end_failures(&self) {
        self.shared.lock().unwrap().failing.clear();
    }

    pub fn piece_started(&self, piece: &str, machine: &Machine) {
        let rig = &machine.rig;
        self.record.line(&format!(
            "RUN {piece} starts on {rig} in {}",
            machine.kind.yard
        ));
        let run = Run {
            piece: piece.to_string(),
            rig: rig.clone(),
            end: None,
        };
        self.shared.lock().unwrap().runs.push(run);
    }

    pub fn piece_ended(&self, piece: &str, rig: &str, why: &str) {
        self.record
            .line(&format!("RUN {piece} leaves {rig}: {why}"));
        let now_s = self.record.now_s();
        let mut shared = self.shared.lock().unwrap();
        let mut runs = shared.runs.iter_mut().rev();
        let run = runs.find(|run| run.piece == piece && run.rig == rig && run.end.is_none());
        if let Some(run) = run {
            run.end = Some((now_s, why.to_string()));
        }
    }

    /// A task has its image and waits for the others of its attempt.
    pub fn gang_joined(&self, (piece, attempt): &(String, u64), size: u64) {
        let mut shared = self.shared.lock().unwrap();
        let key = (job_of(piece).to_string(), *attempt);
        let new = Gang {
            joined: BTreeSet::new(),
            phase: GangPhase::Gathers,
        };
        let gang = shared.gangs.entry(key).or_insert(new);
        gang.joined.insert(piece.clone());
        if gang.phase == GangPhase::Gathers && gang.joined.len() as u64 == size {
            gang.phase = GangPhase::Runs;
            self.record
                .line(&format!("RUN {} runs with all its tasks", job_of(piece)));
        }
    }

    /// A task of a gang has left its machine.
    pub fn gang_left(&self, (piece, attempt): &(String, u64), done: bool) {
        let mut shared = self.shared.lock().unwrap();
        let key = (job_of(piece).to_string(), *attempt);
        if let Some(gang) = shared.gangs.get_mut(&key) {
            gang.joined.remove(piece);
            if gang.phase == GangPhase::Runs {
                gang.phase = if done {
                    GangPhase::Done
                } else {
                    GangPhase::Broken
                };
            }
        }
    }

    pub fn gang_phase(&self, (piece, attempt): &(String, u64)) -> GangPhase {
        let shared = self.shared.lock().unwrap();
        let gang = shared.gangs.get(&(job_of(piece).to_string(), *attempt));
        gang.map_or(GangPhase::Gathers, |gang| gang.phase)
    }

    /// Whether all tasks of any attempt of a gang have run together.
    pub fn gang_ran(&self, job: &str) -> bool {
        let shared = self.shared.lock().unwrap();
        let mut gangs = shared.gangs.iter().filter(|((known, _), _)| known == job);
        gangs.any(|(_, gang)| gang.phase != GangPhase::Gathers)
    }

    /// All starts so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().unwrap().runs.clone()
    }

    /// The starts of one job's tasks.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let runs = self.runs().into_iter();
        runs.filter(|run| job_of(&run.piece) == job).collect()
    }

    pub fn add_machine(&self, machine: Arc<Machine>) {
        let rig = machine.rig.clone();
        self.shared.lock().unwrap().machines.insert(rig, machine);
    }

    pub fn remove_machine(&self, rig: &str) -> Option<Arc<Machine>> {
        self.shared.lock().unwrap().machines.remove(rig)
    }

    /// The machines that are up.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        self.shared
            .lock()
            .unwrap()
            .machines
            .values()
            .cloned()
            .collect()
    }

    /// A number from 0 to 1.
    pub fn random(&self) -> f64 {
        let mut shared = self.shared.lock().unwrap();
        let mut x = shared.random;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        shared.random = x;
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn first_node(&self, rig: &str) -> usize {
        rig.bytes().map(usize::from).sum::<usize>() % self.nodes.len()
    }

    pub fn next_node(&self, node: usize) -> usize {
        (node + 1) % self.nodes.len()
    }

    pub fn node_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].1
    }

    pub fn node_named(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|(known, _)| known == name)
    }
}
