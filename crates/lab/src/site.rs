//! Whole controllers against the stand-ins, on paused time.

use poem::endpoint::{BoxEndpoint, EndpointExt};
use poem::{Endpoint, Request, Response};
use rushwalk::node::{Node, start, virtual_time};
use rushwalk::{api, mesh};
use rushwalk_clients::Http;
use rushwalk_testkit::world::{Door, Link};
use rushwalk_testkit::{Fault, World};
use rushwalk_wire::jobs::{JobSpec, JobState, Stance};
use rushwalk_wire::settings::{Peer, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const SETTINGS: &str = include_str!("../../wire/tests/settings.toml");
const ZONES: [&str; 3] = ["east", "west", "north"];

/// A running controller.
pub struct Process {
    pub loops: Vec<JoinHandle<()>>,
    alive: Arc<AtomicBool>,
    pub node: Arc<Node>,
}

/// A platform of stand-ins with controllers on it. Panics where a rule is broken or a
/// user would give up, as tests do.
pub struct Site {
    pub world: Arc<World>,
    pub processes: Vec<Option<Process>>,
    pub jobs: BTreeMap<String, JobSpec>,
    /// The team's limit, for controllers started from now on.
    pub gpus: f64,
    /// Changes a second that the state service takes, likewise.
    pub write_rps: f64,
    /// Calls a second that the cloud takes, likewise.
    pub cloud_rps: f64,
}

/// A job as its user submits it.
pub fn job(uid: &str, shape: &str, tasks: u32, gpus: f64, seconds: f64) -> String {
    serde_json::json!({"uid": uid, "lane": shape, "crew": "red", "shape": shape,
        "rank": "normal", "pieces": tasks, "cpus": 1.0, "gpus": gpus, "memoryGb": 1.0,
        "kit": "i", "sizeGb": 1.0, "together": false, "spread": false, "loaners": false,
        "guessS": seconds, "waypointS": 0.0, "stashS": 0.0})
    .to_string()
}

/// An interface as the stand-ins call it.
fn door(endpoint: BoxEndpoint<'static, Response>) -> Door {
    let endpoint = Arc::new(endpoint);
    Arc::new(move |method: String, path: String, body: Vec<u8>| {
        let endpoint = endpoint.clone();
        Box::pin(async move {
            let request = Request::builder()
                .method(method.parse().unwrap())
                .uri(path.parse().unwrap())
                .body(body);
            let response = match endpoint.call(request).await {
                Ok(response) => response,
                Err(error) => error.into_response(),
            };
            let status = response.status().as_u16();
            let body = response.into_body().into_bytes().await.unwrap_or_default();
            (status, body.to_vec())
        })
    })
}

impl Site {
    /// Three controllers in as many zones.
    pub fn new(seed: u64) -> Site {
        Site::with(3, seed)
    }

    pub fn with(controllers: usize, seed: u64) -> Site {
        virtual_time();
        let report = Duration::from_secs(3);
        let world = World::new(controllers, seed, report, Duration::from_secs(40));
        {
            let mut rules = world.rules();
            rules.cancel = Duration::from_secs(65);
            rules.limits.insert("red".into(), 20.0);
        }
        let mut site = Site {
            world,
            processes: (0..controllers).map(|_| None).collect(),
            jobs: BTreeMap::new(),
            gpus: 20.0,
            write_rps: 50.0,
            cloud_rps: 8.0,
        };
        (0..controllers).for_each(|i| site.start(i));
        site
    }

    /// The same with room for so many GPUs, four a machine.
    pub async fn large(controllers: usize, seed: u64, gpus: f64) -> Site {
        let mut site = Site::with(controllers, seed);
        site.world.rules().limits.insert("red".into(), gpus);
        (0..controllers).for_each(|i| site.crash(i));
        site.gpus = gpus;
        (0..controllers).for_each(|i| site.start(i));
        site.pass(10).await;
        site
    }

    fn settings(&self, i: usize) -> Settings {
        let mut settings = Settings::parse(SETTINGS).unwrap();
        let zone = |i: usize| ZONES[i % ZONES.len()].to_string();
        settings.member = format!("node-{i}");
        settings.zone = zone(i);
        let others = (0..self.processes.len()).filter(|k| *k != i);
        let peer = |k: usize| Peer {
            member: format!("node-{k}"),
            zone: zone(k),
            endpoint: World::mesh_address(k),
        };
        settings.peers = others.map(peer).collect();
        settings.site.teams[0].gpus_max = self.gpus;
        settings.site.state.write_rps = self.write_rps;
        settings.site.cloud.rps = self.cloud_rps;
        settings
    }

    pub fn start(&mut self, i: usize) {
        let alive = Arc::new(AtomicBool::new(true));
        let link = Link {
            world: self.world.clone(),
            node: i,
            alive: alive.clone(),
        };
        let node = Node::new(self.settings(i), Http::over(Arc::new(link))).unwrap();
        let public = api::routes(node.clone()).map_to_response().boxed();
        let between = mesh::routes(node.clone()).map_to_response().boxed();
        self.world.clear(Fault::Dead(i));
        self.world.open(i, node.me(), door(public));
        self.world.open_mesh(i, door(between));
        self.processes[i] = Some(Process {
            loops: start(&node),
            alive,
            node,
        });
    }

    pub fn crash(&mut self, i: usize) {
        self.world.set(Fault::Dead(i));
        if let Some(process) = self.processes[i].take() {
            process.alive.store(false, Ordering::Relaxed);
            process.loops.iter().for_each(JoinHandle::abort);
        }
    }

    /// Controllers that run, with their places.
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Arc<Node>)> {
        let all = self.processes.iter().enumerate();
        all.filter_map(|(i, p)| Some((i, &p.as_ref()?.node)))
    }

    /// Asks one node after the other, as users do.
    pub async fn ask(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        for attempt in 0..90 {
            let node = attempt % self.processes.len();
            let call = self.world.ask(node, method, path, body.to_vec());
            if let Ok(Some((status, body))) =
                tokio::time::timeout(Duration::from_secs(5), call).await
                && !matches!(status, 429 | 503)
            {
                return Some((status, body));
            }
            sleep(Duration::from_secs(1)).await;
        }
        None
    }

    pub async fn submit(
        &mut self,
        n: u32,
        shape: &str,
        tasks: u32,
        gpus: f64,
        seconds: f64,
    ) -> String {
        let uid = format!("j-{n:06}");
        let body = job(&uid, shape, tasks, gpus, seconds);
        let spec = JobSpec::parse(body.as_bytes()).unwrap();
        self.world.rules().jobs.insert(uid.clone(), spec.clone());
        self.jobs.insert(uid.clone(), spec);
        let answer = self.ask("POST", "/api/jobs", body.as_bytes()).await;
        let (status, _) = answer.unwrap();
        assert!(matches!(status, 200 | 201), "{uid}: {status}");
        self.world.rules().submitted(&uid, status);
        uid
    }

    pub async fn state(&self, uid: &str) -> JobState {
        let path = format!("/api/jobs/{uid}");
        let (status, body) = self.ask("GET", &path, b"").await.unwrap();
        assert_eq!(status, 200, "an accepted job was forgotten: {uid}");
        let state: JobState = serde_json::from_slice(&body).unwrap();
        let stance = Some(state.state);
        self.world.rules().asked(uid, Some(status), stance);
        state
    }

    pub async fn cancel(&self, uid: &str) {
        let path = format!("/api/jobs/{uid}/abort");
        self.world.rules().asks_to_cancel(uid);
        let (status, body) = self.ask("POST", &path, b"").await.unwrap();
        assert_eq!(status, 200);
        let state: JobState = serde_json::from_slice(&body).unwrap();
        self.world
            .rules()
            .asked(uid, Some(status), Some(state.state));
    }

    pub async fn all_done(&self, uids: &[String], within: u64) {
        for _ in 0..within {
            let mut open = 0;
            for uid in uids {
                open += usize::from(self.state(uid).await.state != Stance::Done);
            }
            if open == 0 {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
        let mut states = Vec::new();
        for uid in uids {
            states.push(self.state(uid).await);
        }
        panic!("not done after {within} s: {states:?}");
    }

    pub async fn pass(&self, seconds: u64) {
        for _ in 0..seconds {
            sleep(Duration::from_secs(1)).await;
            self.world.rules().sweep();
        }
    }

    pub fn check(&self) {
        let rules = self.world.rules();
        assert!(rules.broken.is_empty(), "{:#?}", rules.broken);
        assert!(rules.started > 0, "nothing ran");
    }

    /// Who leads; the first controller if nobody does.
    pub fn leader(&self) -> usize {
        self.leads().unwrap_or(0)
    }

    pub fn leads(&self) -> Option<usize> {
        let leads = |node: &Arc<Node>| {
            let view = node.view();
            node.leadership(&view).is_some()
        };
        self.nodes().find(|(_, node)| leads(node)).map(|(i, _)| i)
    }
}
