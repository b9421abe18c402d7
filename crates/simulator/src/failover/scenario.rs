//! The failover scenarios, the controllers that fail in them, and how long they are observed.

use crate::value_name::serialize_value_name;
use clap::ValueEnum;
use serde::{Serialize, Serializer};

/// The failure that a run simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FailoverScenario {
    /// Nothing fails.
    None,
    /// The leader crashes.
    #[value(name = "crash")]
    LeaderCrash,
    /// A follower crashes.
    #[value(name = "other")]
    FollowerCrash,
    /// The controller that leads at the start crashes five times, each 0.5 s after its restart.
    #[value(name = "five")]
    LeaderCrashFiveTimes,
    /// The controller that leads at the start crashes repeatedly for 20 s, each time 0.1 s after
    /// its restart, while it is still starting.
    #[value(name = "looping")]
    LeaderCrashLoop,
    /// The leader crashes, and a follower 0.4 s later.
    #[value(name = "two")]
    LeaderAndFollowerCrash,
    /// The leader crashes, and its successor as soon as it is elected.
    #[value(name = "successor")]
    SuccessorCrash,
    /// The leader is suspended for 45 s.
    #[value(name = "frozen")]
    LeaderFrozen,
    /// The leader is suspended for 3 s.
    #[value(name = "hiccup")]
    LeaderFrozenBriefly,
    /// The leader reaches no worker for 50 s.
    #[value(name = "cut-from-workers")]
    LeaderWorkersUnreachable,
    /// The leader does not reach the store for 40 s.
    #[value(name = "cut-from-state")]
    LeaderStoreUnreachable,
    /// The leader does not reach the store for 6 s, five times within a minute.
    #[value(name = "flapping")]
    LeaderStoreFlapping,
    /// Connections between controllers are refused for 40 s; all other connections work.
    #[value(name = "peers-refuse")]
    PeersRefuseConnections,
    /// Heartbeats and responses from the other controllers to the leader are lost for 40 s; the
    /// leader's own heartbeats and responses arrive.
    #[value(name = "one-way")]
    LeaderInboundLoss,
    /// The leader's timers are late by half a round for 60 s.
    #[value(name = "slow")]
    LeaderSlow,
    /// All controllers' timers are late by half a round for 60 s.
    #[value(name = "all-slow")]
    AllSlow,
    /// The controllers crash and restart one after the other, 20 s apart.
    #[value(name = "roll")]
    RollingRestart,
    /// All controllers crash at the same time.
    #[value(name = "all")]
    AllCrash,
}

impl Serialize for FailoverScenario {
    /// Writes the scenario's name on the command line.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize_value_name(self, serializer)
    }
}

impl FailoverScenario {
    /// Indexes of the controllers that fail, given the `leader` at the start. A successor that
    /// crashes later is not among them.
    pub(super) fn failed_controllers(self, leader: usize, controllers: usize) -> Vec<usize> {
        let follower = (leader + 1) % controllers;
        match self {
            FailoverScenario::None | FailoverScenario::PeersRefuseConnections => Vec::new(),
            FailoverScenario::LeaderAndFollowerCrash => vec![leader, follower],
            FailoverScenario::FollowerCrash => vec![follower],
            FailoverScenario::RollingRestart
            | FailoverScenario::AllCrash
            | FailoverScenario::AllSlow => (0..controllers).collect(),
            _ => vec![leader],
        }
    }

    /// How long the scenario is observed, in seconds from the failure.
    pub(super) fn duration_s(self, controllers: usize) -> u32 {
        match self {
            FailoverScenario::RollingRestart => 20 * controllers as u32 + 30,
            FailoverScenario::LeaderFrozen
            | FailoverScenario::LeaderWorkersUnreachable
            | FailoverScenario::LeaderSlow => 75,
            FailoverScenario::LeaderStoreFlapping => 80,
            _ => 60,
        }
    }
}
