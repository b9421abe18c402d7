//! What happens between this controller and the workers: log lines that show why a task was
//! started, stopped or forgotten, and the figures that the usage report logs.

use super::event_limiter::EventLimiter;
use rushwalk_protocol::ids::{AttemptId, MachineId};
use rushwalk_protocol::worker::{Command, ExitCause, TaskPhase};
use rushwalk_state::Revision;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum number of lines of each kind in a second.
const MAX_LINES: u64 = 10;

/// Maximum number of attempts that a line names for each kind of command.
const MAX_NAMED: usize = 4;

/// Commands to a worker, and what this controller knows when it sends them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentCommands<'a> {
    /// The worker's machine.
    pub(crate) machine: &'a MachineId,
    /// Fencing token under which the commands are sent.
    pub(crate) token: Revision,
    /// Worker session that they are for.
    pub(crate) session: u64,
    /// The commands.
    pub(crate) commands: &'a [Command],
    /// Revision of the state that they follow from.
    pub(crate) revision: Revision,
    /// How long ago the newest successful read of the store was sent.
    pub(crate) read_age: Duration,
}

/// Log lines and figures about workers.
#[derive(Debug)]
pub(crate) struct WorkerEvents {
    commands: EventLimiter,
    exits_never_running: EventLimiter,
    unplaced_attempts: EventLimiter,
    token_advances: AtomicU64,
    most_kept_attempts: AtomicUsize,
    largest_heartbeat_bytes: AtomicUsize,
}

/// The figures since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerFigures {
    /// How often this process advanced the fencing token of a shard that it owns.
    pub(crate) token_advances: u64,
    /// The largest number of exited attempts that a worker had to keep because copies of their
    /// starts might arrive.
    pub(crate) most_kept_attempts: usize,
    /// The size of the largest heartbeat, in bytes.
    pub(crate) largest_heartbeat_bytes: usize,
}

impl Default for WorkerEvents {
    fn default() -> WorkerEvents {
        WorkerEvents {
            commands: EventLimiter::new(MAX_LINES),
            exits_never_running: EventLimiter::new(MAX_LINES),
            unplaced_attempts: EventLimiter::new(MAX_LINES),
            token_advances: AtomicU64::default(),
            most_kept_attempts: AtomicUsize::default(),
            largest_heartbeat_bytes: AtomicUsize::default(),
        }
    }
}

impl WorkerEvents {
    /// Logs the commands of a call to a worker's own address or of a response to its heartbeat, and
    /// what they follow from.
    pub(crate) fn commands_sent(&self, sent: SentCommands) {
        if sent.commands.is_empty() {
            return;
        }
        if let Some(omitted) = self.commands.admit() {
            tracing::info!(
                machine = &**sent.machine,
                token = sent.token,
                session = sent.session,
                revision = sent.revision,
                read_age_ms = sent.read_age.as_millis() as u64,
                commands = %CommandNames(sent.commands),
                omitted,
                "commands sent"
            );
        }
    }

    /// Logs the exit of an attempt that no heartbeat showed running.
    pub(crate) fn exit_never_running(
        &self,
        machine: &MachineId,
        attempt: &AttemptId,
        token: Revision,
        cause: Option<ExitCause>,
    ) {
        if let Some(omitted) = self.exits_never_running.admit() {
            tracing::info!(
                machine = &**machine,
                task = %attempt.task,
                attempt = attempt.attempt,
                token,
                ?cause,
                omitted,
                "exit of an attempt that was never seen running"
            );
        }
    }

    /// Logs an attempt on a machine on which the state does not place it.
    pub(crate) fn unplaced_attempt(
        &self,
        machine: &MachineId,
        attempt: &AttemptId,
        token: Revision,
        phase: TaskPhase,
    ) {
        if let Some(omitted) = self.unplaced_attempts.admit() {
            tracing::info!(
                machine = &**machine,
                task = %attempt.task,
                attempt = attempt.attempt,
                token,
                ?phase,
                omitted,
                "attempt reported where the state does not place it"
            );
        }
    }

    /// Counts an advance of a shard's fencing token.
    pub(crate) fn token_advanced(&self) {
        self.token_advances.fetch_add(1, Ordering::Relaxed);
    }

    /// Records how many exited attempts a worker has to keep.
    pub(crate) fn attempts_kept(&self, kept: usize) {
        self.most_kept_attempts.fetch_max(kept, Ordering::Relaxed);
    }

    /// Records the size of a heartbeat.
    pub(crate) fn heartbeat_received(&self, bytes: usize) {
        self.largest_heartbeat_bytes
            .fetch_max(bytes, Ordering::Relaxed);
    }

    /// The figures since the start of the process.
    pub(crate) fn figures(&self) -> WorkerFigures {
        WorkerFigures {
            token_advances: self.token_advances.load(Ordering::Relaxed),
            most_kept_attempts: self.most_kept_attempts.load(Ordering::Relaxed),
            largest_heartbeat_bytes: self.largest_heartbeat_bytes.load(Ordering::Relaxed),
        }
    }
}

/// The kinds of command, each with the attempts that it names and their number.
struct CommandNames<'a>(&'a [Command]);

impl fmt::Display for CommandNames<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in ["start", "stop", "forget"] {
            let named = self.0.iter().map(named_command);
            let mut of_kind = named.filter(|command| command.kind == kind).peekable();
            if of_kind.peek().is_none() {
                continue;
            }
            write!(formatter, "{kind}:")?;
            for command in of_kind.by_ref().take(MAX_NAMED) {
                write!(formatter, " {}@{}", command.task, command.attempt)?;
            }
            match of_kind.count() {
                0 => formatter.write_str("; ")?,
                more => write!(formatter, " and {more} more; ")?,
            }
        }
        Ok(())
    }
}

/// A command in the form of the log line.
struct NamedCommand<'a> {
    kind: &'static str,
    task: &'a str,
    attempt: u64,
}

fn named_command(command: &Command) -> NamedCommand<'_> {
    let (kind, task, attempt) = match command {
        Command::Run { task, attempt } => ("start", task, attempt),
        Command::Stop { task, attempt, .. } => ("stop", task, attempt),
        Command::Forget { task, attempt } => ("forget", task, attempt),
    };
    NamedCommand {
        kind,
        task,
        attempt: *attempt,
    }
}
