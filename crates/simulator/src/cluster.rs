//! Whole controllers against the stand-ins, on paused time.

use poem::endpoint::{BoxEndpoint, EndpointExt};
use poem::{Endpoint, Response};
use rushwalk::clock::use_virtual_time;
use rushwalk::controller::Controller;
use rushwalk::http;
use rushwalk_clients::HttpClient;
use rushwalk_protocol::jobs::{JobSpec, JobStatus, StatusPhase};
use rushwalk_protocol::settings::{PeerSettings, Settings, Team};
use rushwalk_testkit::platform::{Door, Link};
use rushwalk_testkit::{Fault, Limit, Request, World, ZONES};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

const SETTINGS: &str = include_str!("../../protocol/tests/settings.toml");

/// A running controller.
pub struct Process {
    pub loops: Vec<JoinHandle<()>>,
    alive: Arc<AtomicBool>,
    pub node: Arc<Controller>,
}

/// What a site is made with.
#[derive(Debug, Clone)]
pub struct Setup {
    pub controllers: usize,
    /// Limits of teams in GPUs; jobs are the first one's if they don't say.
    pub teams: Vec<(&'static str, f64)>,
    /// Changes a second that the state service takes.
    pub write_rps: f64,
    /// Calls a second that the cloud takes.
    pub cloud_rps: f64,
    /// What one of its values holds.
    pub value_kb: f64,
    /// The state service's last changes that a watch can begin from.
    pub kept_changes: usize,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            controllers: 3,
            teams: vec![("red", 20.0)],
            write_rps: 50.0,
            cloud_rps: 8.0,
            value_kb: 32.0,
            kept_changes: 10_000,
        }
    }
}

/// A platform of stand-ins with controllers on it. Panics where a rule is broken or a
/// user would give up, as tests do.
pub struct Site {
    pub world: Arc<World>,
    pub processes: Vec<Option<Process>>,
    pub jobs: BTreeMap<String, JobSpec>,
    /// As it was made; what is changed holds for controllers started from now on.
    pub setup: Setup,
}

/// A job as its user submits it.
pub fn job(uid: &str, shape: &str, tasks: u32, gpus: f64, seconds: f64) -> String {
    job_with(uid, shape, tasks, gpus, seconds, json!({}))
}

/// The same with other fields than a plain job has.
pub fn job_with(
    uid: &str,
    shape: &str,
    tasks: u32,
    gpus: f64,
    seconds: f64,
    fields: Value,
) -> String {
    let mut job = json!({"uid": uid, "lane": shape, "crew": "red", "shape": shape,
        "rank": "normal", "pieces": tasks, "cpus": 1.0, "gpus": gpus, "memoryGb": 1.0,
        "kit": "i", "sizeGb": 1.0, "together": false, "spread": false, "loaners": false,
        "guessS": seconds, "waypointS": 0.0, "stashS": 0.0});
    for (name, value) in fields.as_object().into_iter().flatten() {
        job[name] = value.clone();
    }
    job.to_string()
}

/// A user's request to one controller, whose answer is judged: the status, and what it
/// says of the job.
pub async fn request(
    world: &World,
    node: usize,
    what: Request,
    uid: &str,
    body: &str,
) -> Option<(u16, Option<JobStatus>)> {
    let (method, path, patience) = match what {
        Request::Submit => ("POST", "/api/jobs".to_string(), 5),
        Request::Ask => ("GET", format!("/api/jobs/{uid}"), 2),
        Request::Cancel => ("POST", format!("/api/jobs/{uid}/abort"), 5),
    };
    let sent = world.rules().sends(what, uid);
    let call = world.ask(node, method, &path, body.as_bytes().to_vec());
    let answer = timeout(Duration::from_secs(patience), call).await;
    let answer = answer.ok().flatten();
    let state = answer.as_ref().filter(|(status, _)| *status < 300);
    let state = state.and_then(|(_, b)| serde_json::from_slice::<JobStatus>(b).ok());
    let stance = state.as_ref().map(|s| s.phase);
    let status = answer.map(|(status, _)| status);
    world.rules().answered(what, uid, sent, status, stance);
    Some((status?, state))
}

/// Asks all controllers about a job, and submits it again, within milliseconds: what is
/// told must not be older than anything told before.
pub async fn close_look(world: &Arc<World>, uid: &str, body: &str) {
    let mut all = JoinSet::new();
    for turn in 0..4 {
        for node in 0..world.nodes_len() {
            let what = match (turn + node) % 4 {
                0 => Request::Submit,
                _ => Request::Ask,
            };
            let (world, uid, body) = (world.clone(), uid.to_string(), body.to_string());
            all.spawn(async move { request(&world, node, what, &uid, &body).await });
        }
        sleep(Duration::from_millis(3)).await;
    }
    all.join_all().await;
}

/// An interface as the stand-ins call it.
fn door(endpoint: BoxEndpoint<'static, Response>) -> Door {
    let endpoint = Arc::new(endpoint);
    Arc::new(move |method: String, path: String, body: Vec<u8>| {
        let endpoint = endpoint.clone();
        Box::pin(async move {
            let request = poem::Request::builder()
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
        Site::with(Setup::default(), seed)
    }

    pub fn with(setup: Setup, seed: u64) -> Site {
        use_virtual_time(seed);
        let report = Duration::from_secs(3);
        let world = World::new(setup.controllers, seed, report, Duration::from_secs(40));
        world.keep_changes(setup.kept_changes);
        {
            let mut rules = world.rules();
            rules.cancel = Duration::from_secs(65);
            for (name, gpus) in &setup.teams {
                let limit = Limit {
                    gpus: *gpus,
                    ..Limit::default()
                };
                rules.limits.insert(name.to_string(), limit);
            }
        }
        let mut site = Site {
            world,
            processes: (0..setup.controllers).map(|_| None).collect(),
            jobs: BTreeMap::new(),
            setup,
        };
        (0..site.processes.len()).for_each(|i| site.start(i));
        site
    }

    /// The same with room for so many GPUs, four a machine, and ten seconds later.
    pub async fn large(controllers: usize, seed: u64, gpus: f64) -> Site {
        let setup = Setup {
            controllers,
            teams: vec![("red", gpus)],
            ..Setup::default()
        };
        let site = Site::with(setup, seed);
        site.pass(10).await;
        site
    }

    fn settings(&self, i: usize) -> Settings {
        let mut settings = Settings::parse(SETTINGS).unwrap();
        let zone = |i: usize| ZONES[i % ZONES.len()].to_string();
        settings.member = format!("node-{i}");
        settings.zone = zone(i);
        let others = (0..self.processes.len()).filter(|k| *k != i);
        let peer = |k: usize| PeerSettings {
            member: format!("node-{k}"),
            zone: zone(k),
            endpoint: World::mesh_address(k),
        };
        settings.peers = others.map(peer).collect();
        let first = settings.site.teams[0].clone();
        let teams = self.setup.teams.iter().map(|(name, gpus)| Team {
            name: name.to_string(),
            gpus_max: *gpus,
            ..first.clone()
        });
        settings.site.teams = teams.collect();
        settings.site.store.write_rps = self.setup.write_rps;
        settings.site.store.value_kb = self.setup.value_kb;
        settings.site.cloud.rps = self.setup.cloud_rps;
        settings
    }

    pub fn start(&mut self, i: usize) {
        let alive = Arc::new(AtomicBool::new(true));
        let link = Link {
            world: self.world.clone(),
            node: i,
            alive: alive.clone(),
        };
        let (node, loops) =
            Controller::new(self.settings(i), HttpClient::with_transport(Arc::new(link))).unwrap();
        let public = http::public_routes(&node).map_to_response().boxed();
        let between = http::peer_routes(&node).map_to_response().boxed();
        self.world.clear(Fault::Dead(i));
        self.world.open(i, node.context.member(), door(public));
        self.world.open_mesh(i, door(between));
        self.processes[i] = Some(Process {
            loops: loops.spawn(),
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
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Arc<Controller>)> {
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
        self.submit_with(n, shape, tasks, gpus, seconds, json!({}))
            .await
    }

    pub async fn submit_with(
        &mut self,
        n: u32,
        shape: &str,
        tasks: u32,
        gpus: f64,
        seconds: f64,
        fields: Value,
    ) -> String {
        let uid = format!("j-{n:06}");
        let body = job_with(&uid, shape, tasks, gpus, seconds, fields);
        self.expect(&uid, &body);
        let (status, _) = self.insist(Request::Submit, &uid, &body).await;
        assert!(matches!(status, 200 | 201), "{uid}: {status}");
        uid
    }

    /// The checker is told of a job that is about to be submitted.
    pub fn expect(&mut self, uid: &str, body: &str) {
        let spec = JobSpec::parse(body.as_bytes()).unwrap();
        self.world.rules().jobs.insert(uid.into(), spec.clone());
        self.jobs.insert(uid.into(), spec);
    }

    /// Asks one node after the other, as users do, until one answers.
    async fn insist(&self, what: Request, uid: &str, body: &str) -> (u16, Option<JobStatus>) {
        for attempt in 0..90 {
            let node = attempt % self.processes.len();
            let answer = request(&self.world, node, what, uid, body).await;
            if let Some(answer) = answer.filter(|(status, _)| !matches!(status, 429 | 503)) {
                return answer;
            }
            sleep(Duration::from_secs(1)).await;
        }
        panic!("{what:?} {uid}: no answer");
    }

    pub async fn state(&self, uid: &str) -> JobStatus {
        let (status, state) = self.insist(Request::Ask, uid, "").await;
        assert_eq!(status, 200, "an accepted job was forgotten: {uid}");
        state.unwrap()
    }

    pub async fn cancel(&self, uid: &str) {
        let (status, _) = self.insist(Request::Cancel, uid, "").await;
        assert_eq!(status, 200);
    }

    pub async fn all_done(&self, uids: &[String], within: u64) {
        for _ in 0..within {
            let mut open = 0;
            for uid in uids {
                open += usize::from(self.state(uid).await.phase != StatusPhase::Done);
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
            self.world.sweep();
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
        self.nodes()
            .find(|(_, node)| node.leadership.is_leader())
            .map(|(i, _)| i)
    }
}
