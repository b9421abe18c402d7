//! How the limited number of sockets is shared between users' connections, idle connections
//! and calls to workers.

/// How many idle connections may be kept, and calls to workers be under way, if the number
/// of sockets is not limited.
const DEFAULT_MAX_IDLE: usize = 256;

/// One in so many sockets is for idle connections, which leaves the others and the memory to
/// callers; as many are for calls to workers.
const IDLE_SOCKET_SHARE: f64 = 16.0;

/// One in so many sockets is left free by the public address.
const FREE_SOCKET_SHARE: usize = 8;

/// How many idle connections may be kept; 0 sockets means no limit.
pub fn max_idle_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => DEFAULT_MAX_IDLE,
        sockets => sockets.div_ceil(IDLE_SOCKET_SHARE as usize),
    }
}

/// How many connections the public address may have; 0 sockets means no limit.
pub(super) fn max_public_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => usize::MAX,
        sockets => sockets - sockets / FREE_SOCKET_SHARE,
    }
}
