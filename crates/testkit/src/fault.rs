//! Faults that a test injects into the simulated platform.

/// A fault that stays active until it is cleared. Controllers and machines are named by
/// their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The controller's process has ended: it reaches nothing and nobody reaches it.
    ControllerStopped(usize),
    /// The controller's process is suspended: nothing it sends or is sent gets through.
    ControllerFrozen(usize),
    /// The store refuses this controller's requests.
    StoreUnreachable(usize),
    /// The store refuses all requests.
    StoreOutage,
    /// The store takes 0.4 to 0.9 s for each response.
    StoreSlow,
    /// One commit in eight is applied but its response is lost.
    CommitResponsesLost,
    /// One commit in twelve gets no response and is applied 2 to 12 s later.
    FewCommitsDelayed,
    /// One commit in four gets no response and is applied 2 to 12 s later.
    ManyCommitsDelayed,
    /// Messages between this controller and workers are queued until the fault clears.
    WorkerMessagesDelayed(usize),
    /// No message passes between this controller and workers.
    WorkersUnreachable(usize),
    /// Heartbeats from the first controller to the second are lost; the other direction works.
    PeerMessagesLost(usize, usize),
    /// Connections between controllers are refused.
    PeersRefuseConnections,
    /// No message passes between this controller and the other controllers.
    PeersUnreachable(usize),
    /// Half of the workers' heartbeats arrive a second time, 2 to 60 s later.
    HeartbeatsDuplicated,
    /// Copies of all heartbeats are kept for `SimulatedPlatform::replay_heartbeats`.
    HeartbeatsRecorded,
    /// Heartbeats of this machine arrive; responses and direct commands to it are lost.
    MachineInboundLoss(usize),
    /// This machine's heartbeats are lost; direct commands reach it.
    MachineOutboundLoss(usize),
    /// No message passes to or from this machine.
    MachinePartitioned(usize),
    /// This machine is suspended; commands sent to it run when it resumes.
    MachineFrozen(usize),
    /// Rented machines never become ready.
    BootsFail,
    /// No message passes between this zone, an index into `ZONES`, and the others: its
    /// controllers reach its workers only.
    ZonePartitioned(usize),
}
