//! The controllers: processes that are started with the deploy file's command, killed, stopped
//! and continued.

use crate::record::Record;
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;

/// The first port that is tried; the ports are below those of outgoing connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A free port on the loopback address.
pub fn free_port() -> u16 {
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    let _ = NEXT_PORT.compare_exchange(0, first, Ordering::SeqCst, Ordering::SeqCst);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub public: String,
    pub mesh: String,
}

pub struct Nodes {
    pub nodes: Vec<Node>,
    record: Arc<Record>,
    folder: PathBuf,
    run: Vec<String>,
    children: Vec<Option<Child>>,
}

impl Nodes {
    /// Controllers, one in each zone. `settings` are those of the site.
    pub fn new(
        record: Arc<Record>,
        zones: &[&'static str],
        state: &[String],
        cloud: &str,
        settings: &str,
    ) -> Nodes {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
        let address = || format!("127.0.0.1:{}", free_port());
        let nodes: Vec<Node> = zones
            .iter()
            .enumerate()
            .map(|(index, zone)| Node {
                name: format!("walker-{index}"),
                zone,
                public: address(),
                mesh: address(),
            })
            .collect();
        for (index, node) in nodes.iter().enumerate() {
            let mut text = format!(
                "member = \"{}\"\ndomain = \"{}\"\npublic_addr = \"{}\"\nmesh_addr = \"{}\"\n",
                node.name, node.zone, node.public, node.mesh
            );
            for other in nodes.iter().filter(|other| other.name != node.name) {
                text += &format!(
                    "\n[[others]]\nmember = \"{}\"\ndomain = \"{}\"\nendpoint = \"{}\"\n",
                    other.name, other.zone, other.mesh
                );
            }
            let store = &state[index];
            text += &format!("\n[outside]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n\n{settings}");
            fs::write(folder.join(format!("{}.toml", node.name)), text).expect("settings");
        }
        let children = nodes.iter().map(|_| None).collect();
        Nodes {
            nodes,
            record,
            folder,
            run: run_command(),
            children,
        }
    }

    pub fn public(&self) -> Vec<(String, String)> {
        let nodes = self.nodes.iter();
        nodes.map(|n| (n.name.clone(), n.public.clone())).collect()
    }

    pub fn start(&mut self, index: usize) {
        let name = &self.nodes[index].name;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.folder.join(format!("{name}.toml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            println!("the program can't be started: {error}");
            std::process::exit(2);
        });
        self.record.say(&format!("{name}: started"));
        self.note_pid(child.id());
        self.children[index] = Some(child);
    }

    /// Notes a process id for the script, which ends what is left.
    fn note_pid(&self, pid: u32) {
        use std::io::Write;
        let file = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .say(&format!("{}: killed", self.nodes[index].name));
        }
    }

    /// Sends `STOP` or `CONT` to a controller.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.children[index] {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
            self.record
                .say(&format!("{}: {signal}", self.nodes[index].name));
        }
    }

    /// The controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (index, child) in self.children.iter_mut().enumerate() {
            if let Some(child) = child {
                if let Ok(Some(_)) = child.try_wait() {
                    ended.push(self.nodes[index].name.clone());
                }
            }
        }
        ended
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The deploy file's command.
fn run_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let line = text.lines().find(|line| line.starts_with("run"));
    let command = line.and_then(|line| line.split('"').nth(1)).expect("run");
    command.split_whitespace().map(String::from).collect()
}
