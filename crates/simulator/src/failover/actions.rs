//! The timed actions of each scenario.

use super::{FailoverScenario, OBSERVATION_INTERVAL_S};
use crate::cluster::SimulatedCluster;
use crate::inspect;
use rushwalk_testkit::Fault;
use std::collections::BTreeMap;

/// One action of a scenario. Controllers are given by their indexes.
#[derive(Debug, Clone, Copy)]
enum Action {
    Inject(Fault),
    Clear(Fault),
    /// Ends a controller's process; a new process is started after the restart delay.
    Crash(usize),
    /// Ends the leader's process, like `Crash`; while there is no leader, the action stays pending.
    CrashSuccessor,
    /// Sets the simulated timer lag, in quarters of the round interval; 0 ends it.
    SetTimerLag {
        /// The affected controller; `None` for all controllers.
        only: Option<usize>,
        quarters_of_round: u32,
    },
}

/// An action and when it is due, in seconds from the failure.
#[derive(Debug, Clone, Copy)]
struct ScheduledAction {
    at_s: f64,
    action: Action,
}

/// A fault and when it is active, in seconds from the failure.
struct FaultWindow {
    fault: Fault,
    from_s: f64,
    until_s: f64,
}

/// The actions of a scenario that have not been taken yet, and the restarts of crashed
/// controllers.
pub(super) struct ActionSchedule {
    /// Delay until a crashed controller is restarted, in seconds.
    restart_s: f64,
    pending: Vec<ScheduledAction>,
    /// When each crashed controller is restarted, by its index, in seconds from the failure.
    restarts_at_s: BTreeMap<usize, f64>,
}

impl ActionSchedule {
    pub(super) fn new(
        scenario: FailoverScenario,
        controllers: usize,
        leader: usize,
        restart_s: f64,
    ) -> ActionSchedule {
        let mut schedule = ActionSchedule {
            restart_s,
            pending: Vec::new(),
            restarts_at_s: BTreeMap::new(),
        };
        for window in fault_windows(scenario, controllers, leader) {
            schedule.add(window.from_s, Action::Inject(window.fault));
            schedule.add(window.until_s, Action::Clear(window.fault));
        }
        schedule.add_crashes(scenario, controllers, leader);
        match scenario {
            FailoverScenario::LeaderSlow => schedule.add_timer_lag(Some(leader)),
            FailoverScenario::AllSlow => schedule.add_timer_lag(None),
            _ => {}
        }
        schedule
    }

    fn add(&mut self, at_s: f64, action: Action) {
        self.pending.push(ScheduledAction { at_s, action });
    }

    fn add_crashes(&mut self, scenario: FailoverScenario, controllers: usize, leader: usize) {
        let follower = (leader + 1) % controllers;
        match scenario {
            FailoverScenario::LeaderCrash => self.add(0.0, Action::Crash(leader)),
            FailoverScenario::FollowerCrash => self.add(0.0, Action::Crash(follower)),
            FailoverScenario::LeaderAndFollowerCrash => {
                self.add(0.0, Action::Crash(leader));
                self.add(0.4, Action::Crash(follower));
            }
            FailoverScenario::SuccessorCrash => {
                self.add(0.0, Action::Crash(leader));
                self.add(OBSERVATION_INTERVAL_S, Action::CrashSuccessor);
            }
            FailoverScenario::LeaderCrashFiveTimes => self.add_crash_loop(leader, 5, 0.5),
            FailoverScenario::LeaderCrashLoop => {
                let times = (20.0 / (self.restart_s + 0.1)) as u32;
                self.add_crash_loop(leader, times, 0.1);
            }
            FailoverScenario::RollingRestart => self.add_crashes_of_all(controllers, 20.0),
            FailoverScenario::AllCrash => self.add_crashes_of_all(controllers, 0.0),
            _ => {}
        }
    }

    /// Schedules `times` crashes of a controller, each `uptime_s` after its latest restart.
    fn add_crash_loop(&mut self, controller: usize, times: u32, uptime_s: f64) {
        for repetition in 0..times {
            let at_s = f64::from(repetition) * (self.restart_s + uptime_s);
            self.add(at_s, Action::Crash(controller));
        }
    }

    /// Schedules a crash of each controller, in the order of their indexes and `interval_s` apart.
    fn add_crashes_of_all(&mut self, controllers: usize, interval_s: f64) {
        for controller in 0..controllers {
            self.add(interval_s * controller as f64, Action::Crash(controller));
        }
    }

    /// Schedules a timer lag of half a round that lasts for the first 60 s.
    fn add_timer_lag(&mut self, only: Option<usize>) {
        for (at_s, quarters_of_round) in [(0.0, 2), (60.0, 0)] {
            let action = Action::SetTimerLag {
                only,
                quarters_of_round,
            };
            self.add(at_s, action);
        }
    }

    /// Restarts the controllers whose restart is due, and takes the actions that are due. Returns
    /// the indexes of the leaders that [`Action::CrashSuccessor`] crashed.
    pub(super) fn run_due(&mut self, cluster: &mut SimulatedCluster, now_s: f64) -> Vec<usize> {
        self.restart_due(cluster, now_s);
        let mut successors = Vec::new();
        for scheduled in std::mem::take(&mut self.pending) {
            if now_s < scheduled.at_s {
                self.pending.push(scheduled);
                continue;
            }
            match scheduled.action {
                Action::Inject(fault) => cluster.platform.inject(fault),
                Action::Clear(fault) => cluster.platform.clear(fault),
                Action::Crash(controller) => self.crash(cluster, controller, now_s),
                Action::CrashSuccessor => match cluster.elected_leader() {
                    Some(successor) => {
                        self.crash(cluster, successor, now_s);
                        successors.push(successor);
                    }
                    None => self.pending.push(scheduled),
                },
                Action::SetTimerLag {
                    only,
                    quarters_of_round,
                } => set_timer_lag(cluster, only, quarters_of_round),
            }
        }
        successors
    }

    fn crash(&mut self, cluster: &mut SimulatedCluster, controller: usize, now_s: f64) {
        cluster.crash(controller);
        self.restarts_at_s
            .insert(controller, now_s + self.restart_s);
    }

    /// Restarts the crashed controllers whose restart is due.
    fn restart_due(&mut self, cluster: &mut SimulatedCluster, now_s: f64) {
        let due = self
            .restarts_at_s
            .iter()
            .filter(|(_, at_s)| **at_s <= now_s);
        let due: Vec<usize> = due.map(|(controller, _)| *controller).collect();
        for controller in due {
            self.restarts_at_s.remove(&controller);
            cluster.start(controller);
        }
    }
}

fn set_timer_lag(cluster: &SimulatedCluster, only: Option<usize>, quarters_of_round: u32) {
    let affected = cluster
        .controllers()
        .filter(|(index, _)| only.is_none_or(|only| only == *index));
    for (_, controller) in affected {
        inspect::set_timer_lag(controller, quarters_of_round);
    }
}

/// The platform faults of a scenario. `leader` is the index of the leader when it starts.
fn fault_windows(
    scenario: FailoverScenario,
    controllers: usize,
    leader: usize,
) -> Vec<FaultWindow> {
    let window = |fault, from_s, until_s| FaultWindow {
        fault,
        from_s,
        until_s,
    };
    match scenario {
        FailoverScenario::LeaderFrozen => vec![window(Fault::ControllerFrozen(leader), 0.0, 45.0)],
        FailoverScenario::LeaderFrozenBriefly => {
            vec![window(Fault::ControllerFrozen(leader), 0.0, 3.0)]
        }
        FailoverScenario::LeaderWorkersUnreachable => {
            vec![window(Fault::WorkersUnreachable(leader), 0.0, 50.0)]
        }
        FailoverScenario::LeaderStoreUnreachable => {
            vec![window(Fault::StoreUnreachable(leader), 0.0, 40.0)]
        }
        FailoverScenario::LeaderStoreFlapping => {
            let starts_s = (0..5).map(|repetition| 12.0 * f64::from(repetition));
            starts_s
                .map(|from_s| window(Fault::StoreUnreachable(leader), from_s, from_s + 6.0))
                .collect()
        }
        FailoverScenario::PeersRefuseConnections => {
            vec![window(Fault::PeersRefuseConnections, 0.0, 40.0)]
        }
        FailoverScenario::LeaderInboundLoss => (0..controllers)
            .filter(|other| *other != leader)
            .map(|other| window(Fault::PeerMessagesLost(other, leader), 0.0, 40.0))
            .collect(),
        _ => Vec::new(),
    }
}
