//! Random schedules of faults, drawn from a seed.

use crate::value_name::serialize_value_name;
use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_testkit::{Fault, ZONES};
use serde::{Serialize, Serializer};

/// A kind of event that can be scheduled: a fault, cancellations by users, or faster boots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FaultKind {
    /// The store refuses the leader's requests, but no other controller's.
    #[value(name = "refused-leader")]
    LeaderStoreUnreachable,
    /// The leader reaches neither the store nor the other controllers.
    #[value(name = "cut-leader")]
    LeaderIsolated,
    /// The store refuses all requests.
    #[value(name = "outage")]
    StoreOutage,
    /// The store takes 0.4 to 0.9 s for each response.
    #[value(name = "slow-state")]
    StoreSlow,
    /// One commit in four gets no response and is applied 2 to 12 s later.
    #[value(name = "late-writes")]
    CommitsDelayed,
    /// One commit in eight is applied but its response is lost.
    #[value(name = "lost-answers")]
    CommitResponsesLost,
    /// Half of the workers' heartbeats arrive a second time, 2 to 60 s later.
    #[value(name = "late-reports")]
    HeartbeatsDuplicated,
    /// Half of the direct calls that workers executed arrive a second time, 0.5 to 60 s later.
    #[value(name = "command-copies")]
    CommandsDuplicated,
    /// Responses and direct commands to a third of the machines are lost.
    #[value(name = "deaf-machines")]
    MachinesInboundLoss,
    /// A third of the machines is suspended; commands sent to them run when they resume.
    #[value(name = "hung-machines")]
    MachinesFrozen,
    /// Messages between the leader and workers are queued until the fault ends.
    #[value(name = "held-from-workers")]
    LeaderWorkerMessagesDelayed,
    /// No message passes between the leader and workers.
    #[value(name = "no-workers")]
    LeaderWorkersUnreachable,
    /// The leader's process is suspended.
    #[value(name = "frozen")]
    LeaderFrozen,
    /// The leader crashes and restarts after the event's duration.
    #[value(name = "end-leader")]
    LeaderCrash,
    /// A follower crashes and restarts after the event's duration.
    #[value(name = "end-other")]
    FollowerCrash,
    /// All controllers crash; one restarts after the event's duration, the others 30 s later.
    #[value(name = "end-all")]
    AllCrash,
    /// Heartbeats of a third of the machines are lost; direct commands reach them.
    #[value(name = "mute-machines")]
    MachinesOutboundLoss,
    /// No message passes to or from a third of the machines.
    #[value(name = "cut-machines")]
    MachinesPartitioned,
    /// A third of the workers restarts: their tasks are lost and new sessions begin.
    #[value(name = "restart-machines")]
    MachinesRestart,
    /// A zone with its workers and its controllers is partitioned from the other zones, the users,
    /// the store and the cloud.
    #[value(name = "cut-zone")]
    ZonePartitioned,
    /// Workers' heartbeats are recorded, and replayed to all controllers after each change of
    /// the leader.
    #[value(name = "kept-reports")]
    HeartbeatsReplayed,
    /// Every second user immediately cancels its job, unless the job has ended.
    #[value(name = "cancel-now")]
    CancelHalf,
    /// Every second job that completes is cancelled at that moment.
    #[value(name = "cancel-at-end")]
    CancelOnCompletion,
    /// Machines rented from the beginning of the event to the end of the run are ready within two
    /// seconds.
    #[value(name = "quick-boots")]
    FastBoots,
}

impl FaultKind {
    /// The durations from which an event of this kind draws, in seconds.
    fn durations_s(self) -> &'static [f64] {
        match self {
            FaultKind::LeaderCrash | FaultKind::FollowerCrash | FaultKind::AllCrash => {
                &[0.05, 0.3, 0.9, 4.0]
            }
            _ => &[3.0, 12.0, 25.0, 45.0, 75.0, 100.0],
        }
    }
}

impl Serialize for FaultKind {
    /// Writes the value's name on the command line.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize_value_name(self, serializer)
    }
}

/// A scheduled event. Its kind, time, duration and target are random.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FaultEvent {
    /// The kind of event.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
    /// When the event begins, in seconds from the start of the run.
    pub at_s: f64,
    /// How long the event lasts, in seconds; for crashes, the delay until the first restart.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// A random number that selects the machines or the zone.
    #[serde(rename = "victim")]
    pub target: usize,
}

/// The earliest time at which an event begins, in seconds from the start of the run.
const FIRST_FAULT_S: f64 = 35.0;
/// Length of the period in which events begin, in seconds.
const FAULT_SPREAD_S: f64 = 70.0;

impl FaultEvent {
    fn draw(random: &mut SmallRng, kinds: &[FaultKind]) -> FaultEvent {
        let kind = kinds[random.random_range(0..kinds.len())];
        let durations_s = kind.durations_s();
        let duration_s = durations_s[random.random_range(0..durations_s.len())];
        let offset_s = (random.random_range(0.0..FAULT_SPREAD_S) * 10.0_f64).round() / 10.0;
        FaultEvent {
            kind,
            at_s: FIRST_FAULT_S + offset_s,
            duration_s,
            target: random.random_range(0..64),
        }
    }

    /// When the event ends, in seconds from the start of the run.
    pub(super) fn end_s(&self) -> f64 {
        self.at_s + self.duration_s
    }

    /// The platform faults that are active during the event. `leader` is the index of the
    /// leader and `machines` the number of machines when the event begins.
    pub(super) fn platform_faults(&self, leader: usize, machines: usize) -> Vec<Fault> {
        let on_machines = |fault: fn(usize) -> Fault| {
            let third = machines.div_ceil(3);
            let indexes = (0..third).map(|k| (self.target + 3 * k) % machines.max(1));
            indexes.map(fault).collect()
        };
        match self.kind {
            FaultKind::LeaderStoreUnreachable => vec![Fault::StoreUnreachable(leader)],
            FaultKind::LeaderIsolated => vec![
                Fault::StoreUnreachable(leader),
                Fault::PeersUnreachable(leader),
            ],
            FaultKind::StoreOutage => vec![Fault::StoreOutage],
            FaultKind::StoreSlow => vec![Fault::StoreSlow],
            FaultKind::CommitsDelayed => vec![Fault::ManyCommitsDelayed],
            FaultKind::CommitResponsesLost => vec![Fault::CommitResponsesLost],
            FaultKind::HeartbeatsDuplicated => vec![Fault::HeartbeatsDuplicated],
            FaultKind::CommandsDuplicated => vec![Fault::CommandsDuplicated],
            FaultKind::MachinesInboundLoss => on_machines(Fault::MachineInboundLoss),
            FaultKind::MachinesFrozen => on_machines(Fault::MachineFrozen),
            FaultKind::LeaderWorkerMessagesDelayed => vec![Fault::WorkerMessagesDelayed(leader)],
            FaultKind::LeaderWorkersUnreachable => vec![Fault::WorkersUnreachable(leader)],
            FaultKind::LeaderFrozen => vec![Fault::ControllerFrozen(leader)],
            FaultKind::MachinesOutboundLoss => on_machines(Fault::MachineOutboundLoss),
            FaultKind::MachinesPartitioned => on_machines(Fault::MachinePartitioned),
            FaultKind::ZonePartitioned => {
                vec![Fault::ZonePartitioned(self.target % ZONES.len())]
            }
            FaultKind::HeartbeatsReplayed => vec![Fault::HeartbeatsRecorded],
            FaultKind::LeaderCrash
            | FaultKind::FollowerCrash
            | FaultKind::AllCrash
            | FaultKind::MachinesRestart
            | FaultKind::CancelHalf
            | FaultKind::CancelOnCompletion
            | FaultKind::FastBoots => Vec::new(),
        }
    }

    /// Indexes of the controllers that crash when the event begins.
    pub(super) fn crashed_controllers(&self, leader: usize, controllers: usize) -> Vec<usize> {
        match self.kind {
            FaultKind::LeaderCrash => vec![leader],
            FaultKind::FollowerCrash => vec![(leader + 1) % controllers],
            FaultKind::AllCrash => (0..controllers).collect(),
            _ => Vec::new(),
        }
    }
}

/// The events of one run, drawn from a seed.
#[derive(Debug, Clone, Serialize)]
pub struct FaultSchedule {
    /// The seed of all random choices of the run.
    pub seed: u64,
    /// The events, in the order in which they were drawn.
    pub events: Vec<FaultEvent>,
    /// Limit on the size of a value in the store, in KB. If it is small, nearly all mutations with
    /// a list are split.
    pub value_kb: f64,
}

/// The limit on the size of a value in the store unless another one is set, in KB.
const DEFAULT_VALUE_KB: f64 = 32.0;

impl FaultSchedule {
    /// Draws `events` events of the given kinds.
    pub fn draw(seed: u64, events: usize, kinds: &[FaultKind]) -> FaultSchedule {
        let mut random = SmallRng::seed_from_u64(seed);
        let events = (0..events).map(|_| FaultEvent::draw(&mut random, kinds));
        FaultSchedule {
            seed,
            events: events.collect(),
            value_kb: DEFAULT_VALUE_KB,
        }
    }

    /// The schedule without the event at `index`.
    pub fn without(&self, index: usize) -> FaultSchedule {
        let mut schedule = self.clone();
        schedule.events.remove(index);
        schedule
    }

    /// When the last event ends, in seconds from the start of the run; 0 without events.
    pub(super) fn end_s(&self) -> f64 {
        self.events
            .iter()
            .map(FaultEvent::end_s)
            .fold(0.0, f64::max)
    }
}
