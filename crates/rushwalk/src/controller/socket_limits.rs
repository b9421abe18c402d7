//! How the limited number of sockets is shared between users' connections, idle connections
//! and calls to workers.

/// The limit of idle connections, and of calls to workers in flight, if the number of sockets
/// is not limited.
const DEFAULT_MAX_IDLE: usize = 256;

/// One socket in this many may hold an idle connection, and as many again a call to a worker.
/// This leaves the other sockets, and the memory, to incoming connections.
const IDLE_SOCKET_DIVISOR: f64 = 16.0;

/// One socket in this many is not available to connections at the public address.
const FREE_SOCKET_DIVISOR: usize = 8;

/// How many idle connections may be kept, which is also the limit of calls to workers in
/// flight. `sockets` is the process's limit of sockets, where 0 means no limit.
pub fn max_idle_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => DEFAULT_MAX_IDLE,
        sockets => sockets.div_ceil(IDLE_SOCKET_DIVISOR as usize),
    }
}

/// How many connections the public address may have. `sockets` is the process's limit of
/// sockets, where 0 means no limit.
pub(super) fn max_public_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => usize::MAX,
        sockets => sockets - sockets / FREE_SOCKET_DIVISOR,
    }
}
