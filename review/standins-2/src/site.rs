//! A small deployment: three controllers, started as separate processes with the commands of the
//! deploy file, and the stand-ins of everything else.

use crate::cloud::{Capacity, Cloud};
use crate::http;
use crate::record::Record;
use crate::state::{Limits, StateService};
use crate::world::World;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["braunston-loop", "tipton-basin", "stoke-wharf"];

/// A user waits this long for the response to a submission or a cancellation, and to a question.
const SUBMIT_LIMIT: Duration = Duration::from_secs(5);
const POLL_LIMIT: Duration = Duration::from_secs(2);

/// What differs from case to case.
pub struct Plan {
    /// The teams of the settings, as TOML.
    pub teams: String,
    pub types: Value,
    pub capacity: Vec<Capacity>,
    pub boot_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// A deployment that runs.
pub struct Site {
    pub world: Arc<World>,
    configs: Vec<PathBuf>,
    logs: PathBuf,
    controllers: Vec<Option<Child>>,
    run: Vec<String>,
    root: PathBuf,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// The words of the `run` line of the deploy file.
fn run_command(root: &Path) -> Option<Vec<String>> {
    let text = fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    let command = line.split('"').nth(1)?;
    Some(command.split_whitespace().map(str::to_string).collect())
}

fn settings(plan: &Plan, node: usize, ports: &[(u16, u16)], cloud: u16, state: u16) -> String {
    let mut text = format!(
        "member = \"walker-{node}\"\ndomain = \"{}\"\npublic_addr = \"127.0.0.1:{}\"\n\
         mesh_addr = \"127.0.0.1:{}\"\n",
        ZONES[node], ports[node].0, ports[node].1
    );
    for (other, (_, mesh)) in ports.iter().enumerate().filter(|(other, _)| *other != node) {
        text += &format!(
            "[[others]]\nmember = \"walker-{other}\"\ndomain = \"{}\"\n\
             endpoint = \"127.0.0.1:{mesh}\"\n",
            ZONES[other]
        );
    }
    let Plan {
        teams,
        report_s,
        lease_s,
        cancel_s,
        ..
    } = plan;
    text + &format!(
        "[outside]\ncloud = \"127.0.0.1:{cloud}\"\nstate = \"127.0.0.1:{state}\"\n\
         [settings]\ninitial_size = 3\nzones = {ZONES:?}\nskew_ms = 5.0\n{teams}\n\
         [settings.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\n\
         gang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = {cancel_s:?}\n\
         [settings.state]\nrps = 250.0\nwrite_rps = 25.0\nvalue_kb = 16.0\ntxn_ops = 24\n\
         [settings.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n\
         [settings.quota]\ncpu_share = 0.096\nmem_mb = 188.0\nfd_limit = 4034\n"
    )
}

impl Site {
    /// Starts the stand-ins and the controllers.
    pub fn start(plan: &Plan, root: &Path, temp: &Path, record: &Path) -> Result<Site, String> {
        let run = run_command(root).ok_or("no deploy file")?;
        let limits = Limits {
            rps: 250.0,
            write_rps: 25.0,
        };
        let state_address = StateService::start(limits);
        let slot = Arc::new(OnceLock::new());
        let cloud_address = Cloud::serve(slot.clone());
        let ports: Vec<(u16, u16)> = ZONES.iter().map(|_| (free_port(), free_port())).collect();
        let nodes = ports.iter().enumerate().map(|(node, (public, _))| {
            (
                format!("walker-{node}"),
                SocketAddr::from(([127, 0, 0, 1], *public)),
            )
        });
        let record = Record::create(record).map_err(|error| error.to_string())?;
        let world = Arc::new(World::new(
            record,
            plan.lease_s,
            plan.report_s,
            nodes.collect(),
        ));
        let boot = Duration::from_secs_f64(plan.boot_s);
        let lag = Duration::from_secs(3);
        let capacity = plan.capacity.clone();
        let cloud = Cloud::new(world.clone(), plan.types.clone(), capacity, boot, lag);
        let _ = slot.set(cloud);
        let mut configs = Vec::new();
        for node in 0..ZONES.len() {
            let text = settings(
                plan,
                node,
                &ports,
                cloud_address.port(),
                state_address.port(),
            );
            let path = temp.join(format!("walker-{node}.toml"));
            fs::write(&path, text).map_err(|error| error.to_string())?;
            configs.push(path);
        }
        let mut site = Site {
            world,
            controllers: configs.iter().map(|_| None).collect(),
            configs,
            logs: temp.to_path_buf(),
            run,
            root: root.to_path_buf(),
        };
        for node in 0..ZONES.len() {
            site.start_controller(node)?;
        }
        Ok(site)
    }

    /// Starts a controller, which is not running.
    pub fn start_controller(&mut self, node: usize) -> Result<(), String> {
        let log = self.logs.join(format!("walker-{node}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .arg(&self.configs[node])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.run[0]))?;
        let pids = File::options()
            .create(true)
            .append(true)
            .open(self.logs.join("pids"));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.world.record.line(&format!("walker-{node} started"));
        self.controllers[node] = Some(child);
        Ok(())
    }

    /// Kills a controller.
    pub fn kill_controller(&mut self, node: usize) {
        if let Some(mut child) = self.controllers[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world.record.line(&format!("walker-{node} killed"));
        }
    }

    /// The first controller that ended by itself.
    pub fn ended_controller(&mut self) -> Option<usize> {
        let ended = |child: &mut Option<Child>| {
            child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        self.controllers.iter_mut().position(ended)
    }

    /// Waits until all controllers are healthy.
    pub fn wait_healthy(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let healthy = (0..self.world.nodes.len()).all(|node| {
                let to = self.world.node_address(node);
                let answer = http::call(to, "GET", "/healthz", None, Duration::from_secs(1));
                matches!(answer, Some((200, _)))
            });
            if healthy {
                self.world.record.line("all controllers are healthy");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the controllers did not become healthy".into())
    }

    /// Submits a job as a user does, at one controller after the other, until it is accepted.
    pub fn submit(&self, spec: &Value, run_s: Option<f64>) -> Result<(), String> {
        self.world.upload(spec, run_s);
        let until = Instant::now() + Duration::from_secs(60);
        for node in (0..self.world.nodes.len()).cycle() {
            let answer = self.request(node, "POST", "/api/jobs", Some(spec), SUBMIT_LIMIT);
            match answer {
                Some((200 | 201, _)) => return Ok(()),
                Some((status @ (400 | 422), body)) => {
                    return Err(format!("submission answered {status} {body}"));
                }
                _ if Instant::now() > until => break,
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
        Err("submission not accepted within 60 s".into())
    }

    /// Asks one controller about a job.
    pub fn poll(&self, node: usize, job: &str) -> Option<(u16, Value)> {
        self.request(node, "GET", &format!("/api/jobs/{job}"), None, POLL_LIMIT)
    }

    /// Cancels a job as a user does, until that is confirmed; returns the stance.
    pub fn cancel(&self, job: &str, first: usize) -> Option<String> {
        let path = format!("/api/jobs/{job}/abort");
        for attempt in 0..60 {
            let node = (first + attempt) % self.world.nodes.len();
            if let Some((200, body)) = self.request(node, "POST", &path, None, SUBMIT_LIMIT) {
                return Some(body["stance"].as_str().unwrap_or("").to_string());
            }
            thread::sleep(Duration::from_secs(1));
        }
        None
    }

    fn request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let sent_s = self.world.record.now_s();
        let answer = http::call(self.world.node_address(node), method, path, body, limit);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_string(),
        };
        let sent = body.map(Value::to_string).unwrap_or_default();
        self.world.record.line(&format!(
            "USER walker-{node} {method} {path} {sent} sent {sent_s:.3} -> {text}"
        ));
        answer
    }

    /// Waits until a condition holds; an error names what was awaited.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn() -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if condition() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{what}: not within {} s", limit.as_secs()))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in 0..self.controllers.len() {
            self.kill_controller(node);
        }
    }
}

/// A job with the values of the protocol page that matter least.
pub fn job(uid: &str, lane: &str, shape: &str, rank: &str, guess_s: f64) -> Value {
    json!({
        "uid": uid, "lane": lane, "crew": "brassworks", "shape": shape, "rank": rank, "pieces": 1,
        "cpus": 4.0, "gpus": 1.0, "memoryGb": 14.0, "kit": "img-01", "sizeGb": 0.2,
        "builds": null, "yard": null, "together": false, "spread": false, "loaners": false,
        "guessS": guess_s, "waypointS": 0.0, "stashS": 0.0, "dueS": null,
    })
}
