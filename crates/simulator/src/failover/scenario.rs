//! The scenarios, and whom they affect for how long.

use crate::value_name::serialize_value_name;
use clap::ValueEnum;
use serde::{Serialize, Serializer};

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FailoverScenario {
    /// Nothing.
    None,
    /// The leader crashes.
    #[value(name = "crash")]
    LeaderCrash,
    /// Another controller than the leader crashes.
    #[value(name = "other")]
    FollowerCrash,
    /// The leader crashes five times in a row, as soon as it is back.
    #[value(name = "five")]
    LeaderCrashFiveTimes,
    /// The leader crashes while it starts, again and again, for 20 s.
    #[value(name = "looping")]
    LeaderCrashLoop,
    /// The leader and another controller crash within half a second.
    #[value(name = "two")]
    LeaderAndFollowerCrash,
    /// The leader crashes, and its successor just after it has taken over.
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
    /// The leader loses the store for 6 s, five times within a minute.
    #[value(name = "flapping")]
    LeaderStoreFlapping,
    /// No controller reaches another for 40 s; all else works.
    #[value(name = "peers-refuse")]
    PeersRefuseConnections,
    /// Heartbeats of the other controllers to the leader are lost for 40 s; its own arrive.
    #[value(name = "one-way")]
    LeaderInboundLoss,
    /// The leader's timers are late by half a round for 60 s.
    #[value(name = "slow")]
    LeaderSlow,
    /// All controllers' timers are late by half a round for 60 s.
    #[value(name = "all-slow")]
    AllSlow,
    /// All controllers are restarted, one after the other, 20 s apart.
    #[value(name = "roll")]
    RollingRestart,
    /// All controllers crash at once.
    #[value(name = "all")]
    AllCrash,
}

impl Serialize for FailoverScenario {
    /// By the name that it has on the command line.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize_value_name(self, serializer)
    }
}

impl FailoverScenario {
    /// The controllers that fail, by the one that leads at the beginning.
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

    /// How long the scenario is observed, in seconds.
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
