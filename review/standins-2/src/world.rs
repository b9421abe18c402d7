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
    pub from_s: f64,
    /// When it left the machine, and why; `None` while it is on it.
    pub end: Option<(f64, String)>,
}

#[derive(Default)]
struct Shared {
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
            from_s: self.record.now_s(),
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
