//! One failure, played and measured.

use crate::Site;
use crate::cluster::job;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk::controller::Controller;
use rushwalk_failure_detector::{PeerHealth, SuspicionReason};
use rushwalk_testkit::Fault;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Nothing.
    None,
    /// The leader ends.
    Crash,
    /// Another controller than the leader ends.
    Other,
    /// The leader ends, and again five times in a row as soon as it is back.
    Five,
    /// The leader ends while it starts, again and again, for 20 s.
    Looping,
    /// The leader and another end within half a second.
    Two,
    /// The successor ends just after it has taken over.
    Successor,
    /// The leader stands still for 45 s, then goes on.
    Frozen,
    /// The leader stands still for 3 s.
    Hiccup,
    /// The leader reaches no worker for 50 s.
    CutFromWorkers,
    /// The leader does not reach the state service for 40 s.
    CutFromState,
    /// It loses the state service for 6 s, five times within a minute.
    Flapping,
    /// No controller reaches another for 40 s; all else goes on.
    PeersRefuse,
    /// The leader hears no other controller, though they hear it, for 40 s.
    OneWay,
    /// The leader's timers are late by half a round for 60 s.
    Slow,
    /// All controllers' timers are.
    AllSlow,
    /// All are ended and started again, one after the other, 20 s apart.
    Roll,
    /// All end at once.
    All,
}

/// What a failure cost.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    pub failure: Failure,
    pub controllers: usize,
    pub seed: u64,
    pub restart_s: f64,
    /// The longest time without a planning round of any leader from the failure on, in
    /// seconds.
    pub no_round_s: f64,
    /// From the failure to the first suspicion, and to the first verdict by evidence or
    /// by the state service, of a controller that failed.
    pub suspected_s: Option<f64>,
    pub judged_s: Option<f64>,
    /// Verdicts on controllers that nothing was wrong with.
    pub false_verdicts: usize,
    /// Of each machine of the failed controllers: from the failure until one that holds
    /// its block has heard it.
    pub heard_s: Vec<f64>,
    /// Those that nobody had heard at the end.
    pub unheard: usize,
    pub leaders: usize,
    pub blocks: usize,
    pub moved: usize,
    pub started: usize,
    pub broken: Vec<String>,
}

/// Looks a second.
const LOOKS: u32 = 20;

/// Machines for each trial: enough for several blocks' worth of reports.
pub const MACHINES: u32 = 60;

struct Watch {
    /// When the failure began, and who it concerns.
    began: Instant,
    failed: BTreeSet<usize>,
    planned: Option<Instant>,
    longest: Duration,
    suspected: Option<Duration>,
    judged: Option<Duration>,
    accused: BTreeSet<(usize, String, u64)>,
    leaders: BTreeSet<u64>,
    holders: BTreeMap<String, String>,
    moved: usize,
    /// Machines not yet heard since, and when the others were.
    waiting: BTreeSet<String>,
    heard: Vec<f64>,
}

impl Watch {
    fn new(site: &Site, failed: &[usize]) -> Watch {
        let mut watch = Watch {
            began: Instant::now(),
            failed: failed.iter().copied().collect(),
            planned: None,
            longest: Duration::ZERO,
            suspected: None,
            judged: None,
            accused: BTreeSet::new(),
            leaders: BTreeSet::new(),
            holders: BTreeMap::new(),
            moved: 0,
            waiting: BTreeSet::new(),
            heard: Vec::new(),
        };
        if let Some((_, node)) = site.nodes().next() {
            let view = node.replica.state();
            let of = |block: &str| view.shard_leases.get(block).map(|g| g.value.owner.clone());
            for (name, row) in &view.machines {
                let holder = of(&row.record.shard);
                let failed = failed.iter().any(|i| holder == Some(format!("node-{i}")));
                if failed && row.record.ready_ms.is_some() {
                    watch.waiting.insert(name.to_string());
                }
            }
            for (block, grant) in &view.shard_leases {
                watch
                    .holders
                    .insert(block.to_string(), grant.value.owner.clone());
            }
        }
        watch.look(site);
        watch
    }

    fn look(&mut self, site: &Site) {
        let now = Instant::now();
        for (i, node) in site.nodes() {
            let planned = node.leadership.last_round();
            self.planned = self.planned.max(planned.filter(|_| !self.mute(site, i)));
            self.standings(i, node);
            self.machines(node, now);
        }
        if let Some(planned) = self.planned {
            let gap = now - planned.max(self.began - Duration::from_secs(1));
            self.longest = self.longest.max(gap);
        }
        // Whoever reads the state service has the newest view.
        let newest = site
            .nodes()
            .max_by_key(|(_, node)| node.replica.state().revision);
        if let Some((_, node)) = newest {
            let view = node.replica.state();
            if let Some(leader) = &view.leader {
                self.leaders.insert(leader.version);
            }
            for (block, grant) in &view.shard_leases {
                let before = self
                    .holders
                    .insert(block.to_string(), grant.value.owner.clone());
                self.moved += usize::from(before.is_some_and(|b| b != grant.value.owner));
            }
        }
    }

    /// Whether a controller's rounds reach nobody.
    fn mute(&self, site: &Site, i: usize) -> bool {
        site.world.has(Fault::Frozen(i)) || site.world.has(Fault::NoState(i))
    }

    fn standings(&mut self, i: usize, node: &Arc<Controller>) {
        let own = node.local_health.local_health();
        let told = node.peers.detector().statuses(node.context.uptime_s(), own);
        for peer in told.into_iter().filter(|p| p.health != PeerHealth::Healthy) {
            let number = peer.member.trim_start_matches("node-").parse().unwrap_or(0);
            if self.failed.contains(&number) {
                let after = Some(self.began.elapsed());
                self.suspected = self.suspected.or(after);
                if peer.health == PeerHealth::Failed {
                    self.judged = self.judged.or(after);
                }
            } else if peer.health == PeerHealth::Failed
                && peer.reason != Some(SuspicionReason::LeaseExpired)
            {
                let since = ((node.context.uptime_s() - peer.since_s) * 2.0) as u64;
                self.accused.insert((i, peer.member, since));
            }
        }
    }

    fn machines(&mut self, node: &Arc<Controller>, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        let view = node.replica.state();
        let reports = node.workers.sessions();
        let began = self.began;
        let heard = |name: &String| {
            let row = view.machines.get(name.as_str())?;
            node.replica.fencing_token(&view, &row.record.shard)?;
            let heard = reports.by_machine.get(name.as_str())?.last_heard?;
            (heard > began).then_some(())
        };
        let all = self.waiting.len();
        self.waiting.retain(|name| heard(name).is_none());
        let after = (now - began).as_secs_f64();
        self.heard
            .extend(std::iter::repeat_n(after, all - self.waiting.len()));
    }
}

/// Plays a failure with some controllers, on a runtime whose time is paused. Processes that end are started again after `restart_s`.
pub async fn play(failure: Failure, controllers: usize, seed: u64, restart_s: f64) -> Figures {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut site = Site::large(controllers, seed, 4000.0).await;
    site.submit(1, "standing", MACHINES, 4.0, 0.0).await;
    site.pass(30).await;
    // Starts in every round: an array each two seconds.
    let mut arrays = 100;
    for _ in 0..5 {
        arrays += 1;
        site.submit(arrays, "sweep", 4, 1.0, 20.0).await;
        site.pass(2).await;
    }
    sleep(Duration::from_millis(random.random_range(0..2000))).await;
    let leader = site.leader();
    let other = (leader + 1) % controllers;
    let failed: Vec<usize> = match failure {
        Failure::None | Failure::PeersRefuse => Vec::new(),
        Failure::Two => vec![leader, other],
        Failure::Other => vec![other],
        Failure::Roll | Failure::All | Failure::AllSlow => (0..controllers).collect(),
        _ => vec![leader],
    };
    let mut watch = Watch::new(&site, &failed);
    let mut script = Script::new(failure, controllers, leader, restart_s);
    let looks = LOOKS * script.seconds;
    for look in 0..looks {
        script.act(&mut site, &mut watch, f64::from(look) / f64::from(LOOKS));
        sleep(Duration::from_secs(1) / LOOKS).await;
        watch.look(&site);
        if look % (2 * LOOKS) == 0 {
            site.world.sweep();
            arrays += 1;
            post(&mut site, arrays);
        }
    }
    let rules = site.world.rules();
    Figures {
        failure,
        controllers,
        seed,
        restart_s,
        no_round_s: watch.longest.as_secs_f64(),
        suspected_s: watch.suspected.map(|d| d.as_secs_f64()),
        judged_s: watch.judged.map(|d| d.as_secs_f64()),
        false_verdicts: watch.accused.len(),
        heard_s: watch.heard,
        unheard: watch.waiting.len(),
        leaders: watch.leaders.len(),
        blocks: watch.holders.len(),
        moved: watch.moved,
        started: rules.started,
        broken: rules.broken.clone(),
    }
}

/// Submits without waiting for the answer: the failure goes on meanwhile.
fn post(site: &mut Site, n: u32) {
    let uid = format!("j-{n:06}");
    let body = job(&uid, "sweep", 4, 1.0, 20.0);
    if let Ok(spec) = rushwalk_protocol::jobs::JobSpec::parse(body.as_bytes()) {
        site.world.rules().jobs.insert(uid, spec);
    }
    let (world, controllers) = (site.world.clone(), site.processes.len());
    tokio::spawn(async move {
        for attempt in 0..20 {
            let node = attempt % controllers;
            let call = world.ask(node, "POST", "/api/jobs", body.clone().into_bytes());
            let answer = tokio::time::timeout(Duration::from_secs(5), call).await;
            if let Ok(Some((200 | 201, _))) = answer {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    });
}

/// What is done when, in seconds from the failure.
struct Script {
    failure: Failure,
    controllers: usize,
    leader: usize,
    seconds: u32,
    done: BTreeSet<u32>,
    restart_s: f64,
    /// When processes that ended are started again.
    back: BTreeMap<usize, f64>,
}

impl Script {
    fn new(failure: Failure, controllers: usize, leader: usize, restart_s: f64) -> Script {
        let seconds = match failure {
            Failure::Roll => 20 * controllers as u32 + 30,
            Failure::Frozen | Failure::CutFromWorkers | Failure::Slow => 75,
            Failure::Flapping => 80,
            _ => 60,
        };
        Script {
            failure,
            controllers,
            leader,
            seconds,
            done: BTreeSet::new(),
            restart_s,
            back: BTreeMap::new(),
        }
    }

    /// Ends a process, which is started again in a while.
    fn end(&mut self, site: &mut Site, i: usize, now: f64) {
        site.crash(i);
        self.back.insert(i, now + self.restart_s);
    }

    fn restart(&mut self, site: &mut Site, now: f64) {
        let due = self.back.iter().filter(|(_, at)| **at <= now).map(|b| *b.0);
        for i in due.collect::<Vec<_>>() {
            self.back.remove(&i);
            site.start(i);
        }
    }

    /// True once, from `at` on.
    fn due(&mut self, id: u32, at: f64, now: f64) -> bool {
        now >= at && self.done.insert(id)
    }

    fn act(&mut self, site: &mut Site, watch: &mut Watch, now: f64) {
        let (leader, other) = (self.leader, (self.leader + 1) % self.controllers);
        self.restart(site, now);
        let fault = match self.failure {
            Failure::Frozen => Some((Fault::Frozen(leader), 45.0)),
            Failure::Hiccup => Some((Fault::Frozen(leader), 3.0)),
            Failure::CutFromWorkers => Some((Fault::NoWorkers(leader), 50.0)),
            Failure::CutFromState => Some((Fault::NoState(leader), 40.0)),
            Failure::PeersRefuse => Some((Fault::PeersRefuse, 40.0)),
            _ => None,
        };
        if let Some((fault, until)) = fault {
            if self.due(0, 0.0, now) {
                site.world.set(fault);
            }
            if self.due(1, until, now) {
                site.world.clear(fault);
            }
        }
        match self.failure {
            Failure::Crash | Failure::Other | Failure::Two | Failure::Successor => {
                if self.due(0, 0.0, now) {
                    let first = match self.failure {
                        Failure::Other => other,
                        _ => leader,
                    };
                    self.end(site, first, now);
                }
                if self.failure == Failure::Two && self.due(1, 0.4, now) {
                    self.end(site, other, now);
                }
                // Whoever has just come to lead.
                if self.failure == Failure::Successor
                    && !self.done.contains(&2)
                    && let Some(next) = site.leads().filter(|_| now > 0.0)
                {
                    self.done.insert(2);
                    watch.failed.insert(next);
                    self.end(site, next, now);
                }
            }
            Failure::Five | Failure::Looping => {
                let (times, lives) = match self.failure {
                    Failure::Five => (5, 0.5),
                    _ => ((20.0 / (self.restart_s + 0.1)) as u32, 0.1),
                };
                for n in 0..times {
                    let at = f64::from(n) * (self.restart_s + lives);
                    if self.due(n, at, now) {
                        self.end(site, leader, now);
                    }
                }
            }
            Failure::Flapping => {
                for n in 0..5u32 {
                    let at = 12.0 * f64::from(n);
                    if self.due(2 * n, at, now) {
                        site.world.set(Fault::NoState(leader));
                    }
                    if self.due(2 * n + 1, at + 6.0, now) {
                        site.world.clear(Fault::NoState(leader));
                    }
                }
            }
            Failure::OneWay => {
                for k in (0..self.controllers).filter(|k| *k != leader) {
                    if self.due(k as u32, 0.0, now) {
                        site.world.set(Fault::Deaf(k, leader));
                    }
                    if self.due(1000 + k as u32, 40.0, now) {
                        site.world.clear(Fault::Deaf(k, leader));
                    }
                }
            }
            Failure::Slow | Failure::AllSlow => {
                let one = self.failure == Failure::Slow;
                let late = [(0, 0.0, 2), (1, 60.0, 0)];
                for (id, at, halves) in late {
                    if !self.due(id, at, now) {
                        continue;
                    }
                    let all = site.nodes().filter(|(i, _)| !one || *i == leader);
                    all.for_each(|(_, node)| {
                        node.runtime_lag
                            .set_simulated_lag(node.context.timing.round * halves / 4)
                    });
                }
            }
            Failure::Roll | Failure::All => {
                let apart = match self.failure {
                    Failure::Roll => 20.0,
                    _ => 0.0,
                };
                for i in 0..self.controllers {
                    if self.due(i as u32, apart * i as f64, now) {
                        self.end(site, i, now);
                    }
                }
            }
            _ => {}
        }
    }
}
