//! A worker: runs tasks, rejects commands whose fencing token is lower than one it has seen,
//! and drops its tasks when its lease expires.

mod heartbeat_loop;

pub use heartbeat_loop::run_worker;

use crate::invariants::{FreeCapacity, InvariantChecker, Placement};
use crate::machine_type::MachineType;
use crate::platform::SimulatedPlatform;
use rushwalk_protocol::ids::TaskId;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::worker::{
    Command, CommandBatch, ExitCause, Heartbeat, TaskPhase, TaskStatus,
};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A rented machine and its worker.
pub struct Worker {
    /// The machine's name: `i-` and the machine's index with six digits.
    pub name: String,
    /// The zone that the rental request named.
    pub zone: String,
    /// The machine's type, which determines its capacity.
    pub machine_type: MachineType,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// When the cloud reclaims the machine; `None` if the cloud has given no notice.
    pub reclaim_at: Option<Instant>,
    /// Address (host:port) at which the worker serves controllers' direct requests.
    pub address: String,
    /// The worker session (epoch): 1 at first, incremented by each restart.
    pub session: u64,
    /// Sequence number of the last heartbeat or direct response; 0 before the first.
    /// Continues across restarts.
    pub sequence: u64,
    /// The highest fencing token that a controller has sent; 0 before the first.
    pub token: u64,
    /// Tasks that run, and exited ones until a controller acknowledges their exit with a
    /// `Forget` command.
    pub tasks: Vec<WorkerTask>,
    /// Start of the worker lease: when the worker sent the last heartbeat whose response it
    /// accepted. Without such a heartbeat since the boot or the last restart, the end of the
    /// boot or the time of that restart.
    pub lease_renewed_at: Instant,
    /// Whether the machine was deleted or reclaimed.
    pub deleted: bool,
    /// When the machine was rented.
    pub rented_at: Instant,
    /// When the machine was deleted or reclaimed; `None` while it exists.
    pub deleted_at: Option<Instant>,
}

/// An attempt of a task on a worker.
pub struct WorkerTask {
    status: TaskStatus,
    started_at: Instant,
    /// Time from the start of the attempt until the task completes.
    run_time: Duration,
}

/// A worker's response to a direct request of a controller.
pub(crate) struct DirectResponse {
    /// The HTTP status: 200, or 409 if the commands were rejected.
    pub(crate) status: u16,
    /// The worker's state after the request, in the form of a heartbeat.
    pub(crate) heartbeat: Heartbeat,
}

impl WorkerTask {
    /// Whether the task has not exited.
    fn is_active(&self) -> bool {
        self.status.phase != TaskPhase::Exited
    }

    fn is_attempt(&self, task: &str, attempt: u64) -> bool {
        self.status.task == task && self.status.attempt == attempt
    }

    /// Whether the task has reached its run time but is not yet marked as exited.
    fn is_finished(&self) -> bool {
        self.status.phase == TaskPhase::Running && self.started_at.elapsed() >= self.run_time
    }
}

impl Worker {
    /// Builds the next heartbeat, and increments the sequence number.
    pub(crate) fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let notice = self
            .reclaim_at
            .map(|at| at.duration_since(Instant::now()).as_secs_f64());
        Heartbeat {
            machine: self.name.clone(),
            address: self.address.clone(),
            machine_type: self.machine_type.label.into(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            sequence: self.sequence,
            token: self.token,
            notice_s: notice,
            tasks: self.tasks.iter().map(|task| task.status.clone()).collect(),
        }
    }

    /// The machine's capacity less what its active tasks use.
    pub(crate) fn free_capacity(&self, jobs: &HashMap<String, JobSpec>) -> FreeCapacity {
        let mut free = FreeCapacity {
            machine: self.name.clone(),
            zone: self.zone.clone(),
            machine_type: self.machine_type.label.into(),
            spot: self.spot,
            cpus: self.machine_type.cpus,
            gpus: self.machine_type.gpus,
            memory_gb: self.machine_type.memory_gb,
        };
        let active = self.tasks.iter().filter(|task| task.is_active());
        for spec in active.filter_map(|task| jobs.get(&*TaskId::parse(&task.status.task)?.job)) {
            free.cpus -= spec.cpus;
            free.gpus -= spec.gpus;
            free.memory_gb -= spec.memory_gb;
        }
        free
    }

    /// The response to a status query.
    pub(crate) fn report_status(&mut self) -> DirectResponse {
        DirectResponse {
            status: 200,
            heartbeat: self.next_heartbeat(),
        }
    }

    /// Executes direct commands. Rejects them with status 409 if they are for another session
    /// or if their fencing token is lower than the highest one seen.
    pub(crate) fn handle_commands(
        &mut self,
        platform: &SimulatedPlatform,
        batch: &CommandBatch,
    ) -> DirectResponse {
        if batch.token < self.token || batch.session != self.session {
            return DirectResponse {
                status: 409,
                heartbeat: self.next_heartbeat(),
            };
        }
        self.token = batch.token;
        self.execute(platform, &batch.commands);
        DirectResponse {
            status: 200,
            heartbeat: self.next_heartbeat(),
        }
    }

    fn execute(&mut self, platform: &SimulatedPlatform, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Run { task, attempt } => self.start(platform, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    self.exit(platform, task, *attempt, ExitCause::Stopped);
                }
                Command::Forget { task, attempt } => self
                    .tasks
                    .retain(|known| !known.is_attempt(task, *attempt) || known.is_active()),
            }
        }
    }

    /// Starts an attempt of a task, unless the worker already knows it. A refused attempt is
    /// kept as an exited one, with the cause of the refusal.
    fn start(&mut self, platform: &SimulatedPlatform, task: &str, attempt: u64) {
        if self
            .tasks
            .iter()
            .any(|known| known.is_attempt(task, attempt))
        {
            return;
        }
        let mut same_task = self.tasks.iter().filter(|known| known.status.task == task);
        let busy = same_task.any(WorkerTask::is_active);
        let Some(TaskId { job, index }) = TaskId::parse(task) else {
            return;
        };
        let mut checker = platform.checker();
        let refusal = self.start_refusal(&mut checker, &job, busy);
        platform.record_event(|| format!("{} {task} {attempt} {refusal:?}", self.name));
        if refusal.is_none() {
            let placement = Placement {
                machine: &self.name,
                zone: &self.zone,
                machine_type: self.machine_type.label,
                spot: self.spot,
            };
            checker.task_started(&job, index, &placement);
        }
        let phase = match refusal {
            Some(_) => TaskPhase::Exited,
            None => TaskPhase::Running,
        };
        self.tasks.push(WorkerTask {
            status: TaskStatus {
                task: task.to_string(),
                attempt,
                phase,
                exit_cause: refusal,
                saved: None,
            },
            started_at: Instant::now(),
            run_time: checker.run_time(&job, index),
        });
    }

    /// The reason why a task can't start; `None` if it can. `busy` is true if another attempt
    /// of the task is active on this worker.
    fn start_refusal(
        &self,
        checker: &mut InvariantChecker,
        job: &str,
        busy: bool,
    ) -> Option<ExitCause> {
        if busy {
            return Some(ExitCause::Busy);
        }
        let spec = checker.jobs.get(job);
        if spec.is_some_and(|spec| !self.free_capacity(&checker.jobs).fits(spec)) {
            return Some(ExitCause::NoRoom);
        }
        checker
            .fails_at_start(job, &self.name)
            .then_some(ExitCause::Error)
    }

    /// Ends an active attempt of a task; does nothing if the worker has no such attempt.
    fn exit(&mut self, platform: &SimulatedPlatform, task: &str, attempt: u64, cause: ExitCause) {
        let is_target =
            |known: &&mut WorkerTask| known.is_attempt(task, attempt) && known.is_active();
        for known in self.tasks.iter_mut().filter(is_target) {
            platform.record_event(|| format!("{} {task} {attempt} ends {cause:?}", self.name));
            known.status.phase = TaskPhase::Exited;
            known.status.exit_cause = Some(cause);
            if let Some(TaskId { job, index }) = TaskId::parse(task) {
                let done = cause == ExitCause::Done;
                platform.checker().task_ended(&job, index, &self.name, done);
            }
        }
    }

    /// Applies what has become due by now: restarts the worker if its lease has expired, and
    /// completes tasks that have reached their run time.
    pub(crate) fn advance(&mut self, platform: &SimulatedPlatform, lease: Duration) {
        self.check_lease(platform, lease);
        let finished = self.tasks.iter().filter(|task| task.is_finished());
        let finished: Vec<_> = finished
            .map(|task| (task.status.task.clone(), task.status.attempt))
            .collect();
        for (task, attempt) in finished {
            self.exit(platform, &task, attempt, ExitCause::Done);
        }
    }

    /// Restarts the worker if its lease has expired.
    fn check_lease(&mut self, platform: &SimulatedPlatform, lease: Duration) {
        if self.lease_renewed_at.elapsed() > lease {
            self.restart(platform);
        }
    }

    /// Restarts the worker without delay: drops its tasks, and begins the next session with a
    /// new lease.
    pub fn restart(&mut self, platform: &SimulatedPlatform) {
        self.drop_tasks(platform);
        self.session += 1;
        self.lease_renewed_at = Instant::now();
    }

    /// Ends all tasks and removes them, so that no heartbeat reports their exit.
    pub(crate) fn drop_tasks(&mut self, platform: &SimulatedPlatform) {
        for task in std::mem::take(&mut self.tasks) {
            if let Some(TaskId { job, index }) = TaskId::parse(&task.status.task) {
                platform
                    .checker()
                    .task_ended(&job, index, &self.name, false);
            }
        }
    }
}
