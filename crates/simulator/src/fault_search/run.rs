//! Runs a schedule of faults against a cluster, and reports violated invariants.

use super::schedule::{FaultEvent, FaultKind, FaultSchedule};
use super::users::{ReportedPhases, User, cancel_on_completion, draw_plans};
use super::{CONTROLLERS, SUBMISSIONS_END_S};
use crate::cluster::{ClusterConfig, SimulatedCluster};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rushwalk::observable::Observable;
use rushwalk_protocol::jobs::{Shape, StatusPhase};
use rushwalk_testkit::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The result of one run of a schedule.
#[derive(Debug, Clone, Serialize)]
pub struct SearchOutcome {
    /// The schedule that was run.
    #[serde(rename = "day")]
    pub schedule: FaultSchedule,
    /// Violations of invariants, one line each; empty if all invariants hold.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// The longest time from a confirmed cancellation to the end of the job's last task, in
    /// seconds.
    #[serde(rename = "cancelled_s")]
    pub longest_cancellation_s: f64,
    /// Number of task starts.
    pub started: usize,
    /// Number of task starts after the cancellation of the task's job was confirmed.
    #[serde(rename = "after_cancel")]
    pub starts_after_cancellation: usize,
    /// The longest time that a job waited after the end of all faults although it could have
    /// started, in seconds.
    #[serde(rename = "waited_s")]
    pub longest_wait_s: f64,
}

/// GPU quota of the team, for even and for odd seeds: 60 suffice for all jobs, with 24 the
/// team reaches its quota.
const TEAM_GPUS: [f64; 2] = [60.0, 24.0];
/// Virtual time between two steps of a run, in seconds.
const STEP_S: f64 = 0.05;
/// Number of steps between two checks of the invariants.
const STEPS_PER_CHECK: usize = 20;
/// When the first user submits a job, in seconds from the start of the run.
const FIRST_SUBMISSION_S: f64 = 8.0;
/// Time from the end of the last fault until the cluster must have recovered, in seconds.
const RECOVERY_S: f64 = 35.0;
/// Time in which all jobs must complete, in seconds. It begins at the end of the recovery
/// time or, if that is later, `SUBMISSIONS_END_S` into the run, about when the last job is
/// submitted.
const COMPLETION_S: f64 = 260.0;
/// After a crash of all controllers: delay between the restart of the first controller and
/// that of the others, in seconds.
const LATER_RESTART_S: f64 = 30.0;
/// Boot time of machines that are rented after `FaultKind::FastBoots`.
const FAST_BOOT: Duration = Duration::from_millis(1_200);

/// The result of a run with its recorded events.
pub struct RecordedRun {
    /// The result of the run.
    pub outcome: SearchOutcome,
    /// The events, one line each; empty if recording was not enabled.
    pub events: Vec<String>,
}

/// Runs a schedule. The current runtime must use simulated time.
pub async fn run(schedule: &FaultSchedule) -> SearchOutcome {
    run_with_events(schedule, false).await.outcome
}

/// Runs a schedule, and records its events if `record_events` is set. The current runtime
/// must use simulated time.
pub async fn run_with_events(schedule: &FaultSchedule, record_events: bool) -> RecordedRun {
    let mut run = Run::new(schedule, record_events);
    let recovered_s = schedule.end_s() + RECOVERY_S;
    let end_s = recovered_s.max(SUBMISSIONS_END_S) + COMPLETION_S;
    for step in 0..(end_s / STEP_S) as usize {
        let now_s = step as f64 * STEP_S;
        run.update_leader();
        run.apply_schedule(now_s);
        run.restart_crashed(now_s);
        sleep(Duration::from_secs_f64(STEP_S)).await;
        if step % STEPS_PER_CHECK == 0 {
            run.cluster.platform.check_invariants();
            if now_s > recovered_s {
                run.cluster.declare_faults_ended();
            }
        }
    }
    run.finish()
}

/// A crashed controller that is to be restarted.
struct PendingRestart {
    /// When it is restarted, in seconds from the start of the run.
    at_s: f64,
    controller: usize,
}

/// The state of a run.
struct Run<'a> {
    schedule: &'a FaultSchedule,
    cluster: SimulatedCluster,
    /// Index of the current leader or, while there is no leader, of the previous one; 0 before the
    /// first election.
    leader: usize,
    /// The tasks of the simulated users.
    users: JoinSet<()>,
    reported_phases: ReportedPhases,
    /// Incremented to make every second user cancel its job.
    cancel_signal: Arc<Observable<usize>>,
    /// Whether every second job that completes is cancelled at that moment.
    cancels_on_completion: Arc<Observable<bool>>,
    /// The active platform faults of each event, by the event's index in the schedule.
    active_faults: BTreeMap<usize, Vec<Fault>>,
    pending_restarts: Vec<PendingRestart>,
}

impl Run<'_> {
    fn new(schedule: &FaultSchedule, record_events: bool) -> Run<'_> {
        let config = ClusterConfig {
            controllers: CONTROLLERS,
            // The number of log entries between two snapshots is proportional to this rate: with
            // a low rate, snapshots are written continually.
            write_rps: 12.0,
            // The store retains so few changes that a controller that does not read it for half a
            // minute has to list it completely.
            retained_changes: 200,
            value_kb: schedule.value_kb,
            ..ClusterConfig::with_gpus(TEAM_GPUS[(schedule.seed % 2) as usize])
        };
        let cluster = SimulatedCluster::with_config(config, schedule.seed);
        if record_events {
            cluster.platform.record_events();
        }
        let mut run = Run {
            schedule,
            cluster,
            leader: 0,
            users: JoinSet::new(),
            reported_phases: ReportedPhases::default(),
            cancel_signal: Arc::default(),
            cancels_on_completion: Arc::default(),
            active_faults: BTreeMap::new(),
            pending_restarts: Vec::new(),
        };
        run.start_users();
        run
    }

    fn start_users(&mut self) {
        let platform = &self.cluster.platform;
        let (completion_sender, completions) = mpsc::unbounded_channel();
        platform.checker().completions = Some(completion_sender);
        self.users.spawn(cancel_on_completion(
            platform.clone(),
            completions,
            self.cancels_on_completion.clone(),
        ));
        let mut random = SmallRng::seed_from_u64(self.schedule.seed ^ 0x5eed);
        for (number, plan) in draw_plans(&mut random).into_iter().enumerate() {
            let submit_at = Duration::from_secs_f64(FIRST_SUBMISSION_S + plan.submit_at_s);
            let user = User {
                platform: platform.clone(),
                plan,
                number,
                reported_phases: self.reported_phases.clone(),
                cancel_signal: self.cancel_signal.clone(),
            };
            self.users.spawn(async move {
                sleep(submit_at).await;
                user.run().await;
            });
        }
    }

    /// Updates the current leader. When it has changed, replays the recorded heartbeats of
    /// workers: outdated heartbeats do the most harm at the beginning of a leader's term.
    fn update_leader(&mut self) {
        let previous = self.leader;
        self.leader = self.cluster.elected_leader().unwrap_or(previous);
        if self.leader != previous {
            let platform = self.cluster.platform.clone();
            self.users
                .spawn(async move { platform.replay_heartbeats().await });
        }
    }

    /// Begins and ends the events that are due.
    fn apply_schedule(&mut self, now_s: f64) {
        let schedule = self.schedule;
        for (index, event) in schedule.events.iter().enumerate() {
            if now_s >= event.at_s && now_s < event.at_s + STEP_S {
                self.begin_event(index, event, now_s);
            }
            if now_s >= event.end_s() {
                self.end_event(index, event);
            }
        }
    }

    fn begin_event(&mut self, index: usize, event: &FaultEvent, now_s: f64) {
        let crashed = event.crashed_controllers(self.leader, CONTROLLERS);
        for (order, controller) in crashed.into_iter().enumerate() {
            self.cluster.crash(controller);
            let extra_delay_s = if order == 0 { 0.0 } else { LATER_RESTART_S };
            self.pending_restarts.push(PendingRestart {
                at_s: now_s + event.duration_s + extra_delay_s,
                controller,
            });
        }
        let platform = &self.cluster.platform;
        match event.kind {
            FaultKind::CancelHalf => self.cancel_signal.update(|signal| *signal += 1),
            FaultKind::CancelOnCompletion => self.cancels_on_completion.update(|on| *on = true),
            FaultKind::FastBoots => platform.set_boot_time(FAST_BOOT),
            FaultKind::MachinesRestart => {
                let mut workers = platform.workers();
                let third = workers.iter_mut().skip(event.target % 3).step_by(3);
                third.for_each(|worker| worker.restart(platform));
            }
            _ => {}
        }
        let machines = platform.workers().len();
        let faults = event.platform_faults(self.leader, machines);
        faults.iter().for_each(|fault| platform.inject(*fault));
        self.active_faults.insert(index, faults);
    }

    fn end_event(&mut self, index: usize, event: &FaultEvent) {
        let Some(ended) = self.active_faults.remove(&index) else {
            return;
        };
        // A fault that is also part of another active event stays active.
        let still_active: Vec<Fault> = self.active_faults.values().flatten().copied().collect();
        let ended = ended.iter().filter(|fault| !still_active.contains(fault));
        ended.for_each(|fault| self.cluster.platform.clear(*fault));
        if event.kind == FaultKind::CancelOnCompletion {
            self.cancels_on_completion.update(|on| *on = false);
        }
    }

    fn restart_crashed(&mut self, now_s: f64) {
        let due = |restart: &PendingRestart| restart.at_s <= now_s;
        for restart in self.pending_restarts.extract_if(.., |restart| due(restart)) {
            self.cluster.start_if_stopped(restart.controller);
        }
    }

    fn finish(mut self) -> RecordedRun {
        self.users.abort_all();
        let mut violations = std::mem::take(&mut self.cluster.platform.checker().violations);
        violations.extend(self.cluster.platform.checker().service_violations());
        violations.extend(self.unserved_jobs());
        violations.dedup();
        let platform = &self.cluster.platform;
        let checker = platform.checker();
        let outcome = SearchOutcome {
            schedule: self.schedule.clone(),
            violations,
            longest_cancellation_s: checker.longest_cancellation.as_secs_f64(),
            started: checker.started,
            starts_after_cancellation: checker.starts_after_cancellation.count,
            longest_wait_s: checker.longest_wait.as_secs_f64(),
        };
        RecordedRun {
            outcome,
            events: platform.take_events(),
        }
    }

    /// A violation for each accepted job that is neither done nor cancelled. Services only have
    /// to be running.
    fn unserved_jobs(&self) -> Vec<String> {
        let checker = self.cluster.platform.checker();
        let is_service = |job: &String| {
            let spec = checker.jobs.get(job);
            spec.is_some_and(|spec| spec.shape == Shape::Service)
        };
        let is_served = |job: &String, phase: Option<StatusPhase>| match phase {
            Some(StatusPhase::Done | StatusPhase::Cancelled) => true,
            Some(StatusPhase::Running) => is_service(job),
            _ => false,
        };
        let reported = self.reported_phases.lock();
        let unserved = reported
            .iter()
            .filter(|(job, phase)| !is_served(job, **phase));
        unserved
            .map(|(job, phase)| format!("not served: {job} {phase:?}"))
            .collect()
    }
}
