//! The connections that are open at the public address: how many may be open, and which are
//! closed first when the limit is reached.
//!
//! The limit leaves file descriptors for the calls that the controller itself must make: without
//! contact to the key-value store, the cloud and its workers it can't keep its guarantees. At the
//! limit, connections are closed in this order: those of users that are idle, the longest idle
//! first, then those of workers that no longer send heartbeats.
//!
//! A machine that fails does not close its connections, so any connection that is idle for as
//! long as a worker lease is closed even below the limit. Without this, when a third of the
//! machines had failed, a controller stayed at its limit, accepted no users and answered no
//! health probe until the end of the day.

mod tracked;

#[cfg(test)]
mod tests;

pub(crate) use tracked::TrackedConnection;

use parking_lot::Mutex;
use poem::web::RemoteAddr;
use serde::Serialize;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::Waker;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// [`ConnectionTable::shed`] closes at most one in this many of the connections that may be open,
/// but at least one.
const SHED_DIVISOR: usize = 64;

/// How many times per idle limit [`ConnectionTable::sweep_loop`] closes idle connections.
const SWEEPS_PER_IDLE_LIMIT: u32 = 4;

/// The connections that are open at the public address.
pub struct ConnectionTable {
    /// Maximum number of open connections.
    capacity: usize,
    /// When the table was created.
    started: Instant,
    /// The open connections, by the address of the remote end.
    connections: Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>,
}

/// How many connections are open at the public address, as the administration API shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ConnectionCounts {
    /// All open connections, of users and workers.
    pub open: usize,
    /// Open connections through which a worker has sent a heartbeat.
    pub workers: usize,
}

/// The state of one connection, shared by the table and the stream.
struct ConnectionState {
    /// When data was last read or written, in milliseconds since the table was created.
    last_used_ms: AtomicU64,
    /// Whether a worker has sent a heartbeat through the connection.
    is_worker: AtomicBool,
    /// Whether the table has closed the connection; it stays in the table until the stream is
    /// dropped.
    closed: AtomicBool,
    /// The waker of the task that last waited to read from the connection; `None` before the
    /// first wait, and once the connection is closed.
    reader: Mutex<Option<Waker>>,
}

/// A connection that may be closed to make room.
struct ShedCandidate {
    is_worker: bool,
    last_used_ms: u64,
    connection: Arc<ConnectionState>,
}

impl ConnectionTable {
    /// An empty table for at most `capacity` connections.
    pub fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable {
            capacity,
            started: Instant::now(),
            connections: Mutex::default(),
        }
    }

    /// Whether the table is at its limit, so that no further connection may be accepted.
    pub(super) fn is_full(&self) -> bool {
        self.connections.lock().len() >= self.capacity
    }

    /// How many connections are open now.
    pub fn count(&self) -> ConnectionCounts {
        let connections = self.connections.lock();
        let workers = connections.values().filter(|c| c.is_worker());
        ConnectionCounts {
            open: connections.len(),
            workers: workers.count(),
        }
    }

    /// Records that a worker has sent a heartbeat from `remote`.
    pub fn mark_worker(&self, remote: &RemoteAddr) {
        if let Some(connection) = self.connections.lock().get(&connection_key(remote)) {
            connection.is_worker.store(true, Ordering::Relaxed);
        }
    }

    /// Closes some connections to make room: those of users that are idle for longer than
    /// `user_idle`, then those of workers that are idle for longer than `worker_idle`, the
    /// longest idle first.
    pub(super) fn shed(&self, user_idle: Duration, worker_idle: Duration) {
        let mut candidates = self.shed_candidates(user_idle, worker_idle);
        candidates.sort_by_key(|candidate| (candidate.is_worker, candidate.last_used_ms));
        candidates.truncate((self.capacity / SHED_DIVISOR).max(1));
        for candidate in &candidates {
            candidate.connection.close();
        }
    }

    /// Closes all connections that are idle for longer than `idle_limit`.
    fn close_idle(&self, idle_limit: Duration) {
        let now_ms = self.elapsed_ms();
        for connection in self.connections.lock().values() {
            if connection.idle_time(now_ms) > idle_limit {
                connection.close();
            }
        }
    }

    /// Closes connections that are idle for longer than `idle_limit`, until the process ends.
    pub async fn sweep_loop(self: Arc<ConnectionTable>, idle_limit: Duration) {
        loop {
            sleep(idle_limit / SWEEPS_PER_IDLE_LIMIT).await;
            self.close_idle(idle_limit);
        }
    }

    fn shed_candidates(&self, user_idle: Duration, worker_idle: Duration) -> Vec<ShedCandidate> {
        let now_ms = self.elapsed_ms();
        let mut candidates = Vec::new();
        for connection in self.connections.lock().values() {
            let is_worker = connection.is_worker();
            let idle_limit = if is_worker { worker_idle } else { user_idle };
            if !connection.is_closed() && connection.idle_time(now_ms) > idle_limit {
                candidates.push(ShedCandidate {
                    is_worker,
                    last_used_ms: connection.last_used_ms.load(Ordering::Relaxed),
                    connection: connection.clone(),
                });
            }
        }
        candidates
    }

    /// Adds a connection from an address; it counts as open until [`ConnectionTable::remove`].
    fn insert(&self, address: SocketAddr) -> Arc<ConnectionState> {
        let connection = Arc::new(ConnectionState {
            last_used_ms: AtomicU64::new(self.elapsed_ms()),
            is_worker: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            reader: Mutex::default(),
        });
        let mut connections = self.connections.lock();
        connections.insert(address, connection.clone());
        connection
    }

    /// Removes a connection, unless its entry was replaced because the remote end has connected
    /// again from the same port.
    fn remove(&self, address: SocketAddr, connection: &Arc<ConnectionState>) {
        let mut connections = self.connections.lock();
        let registered = connections.get(&address);
        if registered.is_some_and(|registered| Arc::ptr_eq(registered, connection)) {
            connections.remove(&address);
        }
    }

    /// Milliseconds since the table was created.
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl ConnectionState {
    fn is_worker(&self) -> bool {
        self.is_worker.load(Ordering::Relaxed)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    fn idle_time(&self, now_ms: u64) -> Duration {
        let last_used_ms = self.last_used_ms.load(Ordering::Relaxed);
        Duration::from_millis(now_ms.saturating_sub(last_used_ms))
    }

    /// Closes the connection: its reader sees the end of the stream, as if the remote end had
    /// closed it.
    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        if let Some(reader) = self.reader.lock().take() {
            reader.wake();
        }
    }
}

/// The key of a connection in the table: the address of its remote end.
fn connection_key(remote: &RemoteAddr) -> SocketAddr {
    let unknown = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    remote.as_socket_addr().copied().unwrap_or(unknown)
}
