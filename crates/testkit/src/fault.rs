//! Faults that a test injects into the simulated platform.

/// A fault that stays active until it is cleared. A `usize` is the index of a controller or
/// of a machine, unless the variant says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The controller's process has ended: users and workers get no response from it, and it
    /// refuses connections of other controllers. The requests that the process sends are stopped
    /// by `ControllerTransport::alive` and not by this fault.
    ControllerStopped(usize),
    /// Simulates a suspended process: all messages to and from the controller are lost, while
    /// its background tasks go on running.
    ControllerFrozen(usize),
    /// The store refuses this controller's requests with status 503. Open watches stay open.
    StoreUnreachable(usize),
    /// The store refuses all requests with status 503. Open watches stay open.
    StoreOutage,
    /// The store delays each request by 0.4 to 0.9 s.
    StoreSlow,
    /// Each commit's response is lost with probability 1/8; the commit itself is processed.
    CommitResponsesLost,
    /// With probability 1/12 a commit is processed 2 to 12 s late and its response is lost.
    FewCommitsDelayed,
    /// With probability 1/4 a commit is processed 2 to 12 s late and its response is lost.
    ManyCommitsDelayed,
    /// Messages between this controller and workers are queued until the fault clears.
    WorkerMessagesDelayed(usize),
    /// No message passes between this controller and workers.
    WorkersUnreachable(usize),
    /// Requests and responses from the first controller to the second are lost; those in the
    /// other direction arrive.
    PeerMessagesLost(usize, usize),
    /// Every controller refuses connections of other controllers.
    PeersRefuseConnections,
    /// No message passes between this controller and the other controllers.
    PeersUnreachable(usize),
    /// Each heartbeat of a worker arrives a second time with probability 1/2, 2 to 60 s later.
    HeartbeatsDuplicated,
    /// Copies of all workers' heartbeats are kept for `SimulatedPlatform::replay_heartbeats`.
    HeartbeatsRecorded,
    /// Each direct call whose commands a worker executed arrives at it a second time with
    /// probability 1/2, 0.5 to 60 s later, whatever has become of its sender.
    CommandsDuplicated,
    /// Copies of all direct calls whose commands a worker executed are kept for
    /// `SimulatedPlatform::replay_commands`.
    CommandsRecorded,
    /// Heartbeats of this machine arrive; responses to them and controllers' direct requests
    /// to the machine are lost.
    MachineInboundLoss(usize),
    /// This machine's heartbeats are lost; controllers' direct requests reach it, and its
    /// responses to them arrive.
    MachineOutboundLoss(usize),
    /// No message passes to or from this machine.
    MachinePartitioned(usize),
    /// This machine is suspended: it sends no heartbeats, and processes direct requests once
    /// it resumes.
    MachineFrozen(usize),
    /// Workers of machines that are rented while the fault is active never start.
    BootsFail,
    /// No message passes between this zone, an index into `ZONES`, and everything else (other
    /// zones, users, store and cloud): its controllers reach only each other and the zone's
    /// workers.
    ZonePartitioned(usize),
}
