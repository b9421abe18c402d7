//! A deployment with the limits and the machine types of the small `midland-fittings` site, and
//! its platform.

use crate::cloud::{Capacity, MachineType, Phase, Platform, WorkerTiming};
use crate::http::{serve, Handler};
use crate::nodes::Nodes;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::users::Users;
use std::net::TcpListener;
use std::sync::Arc;

pub const ZONES: [&str; 3] = ["braunston-loop", "tipton-basin", "stoke-wharf"];

pub const SETTINGS: &str = r#"[settings]
initial_size = 3
zones = ["braunston-loop", "stoke-wharf", "tipton-basin"]
skew_ms = 5.0

[[settings.teams]]
name = "brassworks"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
#TEAMS
[settings.workers]
report_s = 3.0
lease_s = 36.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 61.0

[settings.state]
rps = 250.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24

[settings.cloud]
rps = 6.0
list_lag_s = 3.0

[settings.quota]
cpu_share = 0.12
mem_mb = 200.0
fd_limit = 5000
"#;

pub struct Site {
    pub record: Arc<Record>,
    pub state: Arc<State>,
    pub platform: Arc<Platform>,
    pub nodes: Nodes,
    pub users: Arc<Users>,
}

pub fn lockkeeper(boot_s: f64) -> MachineType {
    MachineType {
        label: "lockkeeper",
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 96.0,
        local_gb: 60.0,
        pull_gb_per_s: 0.4,
        hourly: 5.41,
        low_price: 2.02,
        startup_s: 35.0,
        boot_s,
    }
}

pub fn towpath(boot_s: f64) -> MachineType {
    MachineType {
        label: "towpath",
        cpus: 48.0,
        gpus: 8.0,
        memory_gb: 192.0,
        local_gb: 120.0,
        pull_gb_per_s: 0.6,
        hourly: 27.29,
        low_price: 10.78,
        startup_s: 50.0,
        boot_s,
    }
}

fn listen(handler: Handler) -> String {
    let port = crate::nodes::free_port();
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("bind");
    serve(listener, handler);
    format!("127.0.0.1:{port}")
}

impl Site {
    /// The platform, and controllers that are not started yet.
    pub fn new(record: Arc<Record>, types: Vec<MachineType>, capacity: Vec<Capacity>) -> Site {
        Site::with_teams(record, types, capacity, "")
    }

    /// The same, with further teams, as TOML.
    pub fn with_teams(
        record: Arc<Record>,
        types: Vec<MachineType>,
        capacity: Vec<Capacity>,
        teams: &str,
    ) -> Site {
        let limits = Limits {
            rps: 250.0,
            write_rps: 30.0,
            value_kb: 16,
            txn_ops: 24,
        };
        let state = State::new(limits, ZONES.len());
        let store: Vec<String> = (0..ZONES.len())
            .map(|index| {
                let state = state.clone();
                listen(Arc::new(move |request| state.handle(index, request)))
            })
            .collect();
        let platform_cell: Arc<std::sync::OnceLock<Arc<Platform>>> = Arc::default();
        let cell = platform_cell.clone();
        let cloud = listen(Arc::new(move |request| cell.get()?.handle(request)));
        let nodes = Nodes::new(
            record.clone(),
            &ZONES,
            &store,
            &cloud,
            &SETTINGS.replace("#TEAMS", teams),
        );
        let timing = WorkerTiming {
            report_s: 3.0,
            lease_s: 36.0,
            gang_wait_s: 45.0,
            gang_peer_s: 4.0,
        };
        let platform = Platform::new(record.clone(), types, capacity, timing, 3.0, nodes.public());
        let _ = platform_cell.set(platform.clone());
        let users = Users::new(platform.clone(), nodes.public());
        Site {
            record,
            state,
            platform,
            nodes,
            users,
        }
    }

    /// Starts all controllers and waits until they are healthy.
    pub fn start(&mut self) -> bool {
        (0..ZONES.len()).for_each(|index| self.nodes.start(index));
        (0..ZONES.len()).all(|index| self.users.wait_healthy(index, 20.0))
    }

    /// How many tasks of a job are on a machine, or on their way to one.
    pub fn on_machines(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        let world = self.platform.world();
        let tasks = world.machines.iter().flat_map(|machine| &machine.tasks);
        tasks
            .filter(|task| task.piece.starts_with(&prefix) && task.phase != Phase::Ended)
            .count()
    }
}
