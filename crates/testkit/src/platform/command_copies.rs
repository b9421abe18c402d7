//! Copies of direct calls that a worker has executed and answered: the network delivers them to
//! the same worker once more.

use super::SimulatedPlatform;
use crate::fault::Fault;
use crate::lock;
use rushwalk_protocol::worker::{Command, CommandBatch};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The path of direct calls with commands.
const COMMANDS_PATH: &str = "/orders";
/// Interval at which a copy that is held back checks whether its machine can be reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A direct call that a worker has executed.
#[derive(Clone)]
pub(super) struct CommandCopy {
    /// Index of the machine.
    machine: usize,
    body: Vec<u8>,
}

impl SimulatedPlatform {
    /// Sends a delayed copy of a call that a worker has executed with probability 1/2 while
    /// [`Fault::CommandsDuplicated`] is active, and records it while
    /// [`Fault::CommandsRecorded`] is active.
    pub(super) fn copy_commands(self: &Arc<Self>, machine: usize, path: &str, body: &[u8]) {
        if path != COMMANDS_PATH {
            return;
        }
        let copy = CommandCopy {
            machine,
            body: body.to_vec(),
        };
        if self.is_active(Fault::CommandsDuplicated) && self.one_in(2) {
            let delay = self.random_ms(500, 60_000);
            let (platform, copy) = (self.clone(), copy.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                platform.deliver_copy(copy).await;
            });
        }
        if self.is_active(Fault::CommandsRecorded) {
            lock(&self.recorded_commands).push(copy);
        }
    }

    /// Sends all recorded calls to their workers once more, in the order in which they were
    /// executed, and discards them. Returns how many of them start a task.
    pub async fn replay_commands(self: &Arc<Self>) -> usize {
        let recorded = std::mem::take(&mut *lock(&self.recorded_commands));
        let with_start = recorded.iter().filter(|copy| copy.starts_a_task()).count();
        for copy in recorded {
            tokio::spawn(self.clone().deliver_copy(copy));
        }
        sleep(RETRY_INTERVAL).await;
        with_start
    }

    /// Delivers a copy once its machine can be reached. Nobody waits for the response.
    async fn deliver_copy(self: Arc<Self>, copy: CommandCopy) {
        while self.is_unreachable(copy.machine) {
            sleep(RETRY_INTERVAL).await;
        }
        self.serve_worker(copy.machine, COMMANDS_PATH, &copy.body);
    }

    fn is_unreachable(&self, machine: usize) -> bool {
        let faults = [
            Fault::MachineFrozen(machine),
            Fault::MachinePartitioned(machine),
            Fault::MachineInboundLoss(machine),
        ];
        faults.into_iter().any(|fault| self.is_active(fault))
    }
}

impl CommandCopy {
    fn starts_a_task(&self) -> bool {
        let batch = serde_json::from_slice::<CommandBatch>(&self.body);
        let is_start = |command: &Command| matches!(command, Command::Run { .. });
        batch.is_ok_and(|batch| batch.commands.iter().any(is_start))
    }
}
