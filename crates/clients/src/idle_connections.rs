//! A pool of idle connections, bounded per address and in total.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of idle connections to one address. Further ones would only occupy sockets.
const MAX_PER_ADDRESS: usize = 8;

/// Maximum length of the eviction queue, as a multiple of the pool's capacity. Beyond it,
/// entries of connections that are no longer in the pool are removed.
const MAX_QUEUE_FACTOR: usize = 4;

struct IdleConnection<T> {
    /// The id is assigned when the connection is put into the pool, and differs each time.
    id: u64,
    connection: T,
}

/// An entry of the eviction queue, which identifies a connection in the pool by its id.
struct QueueEntry {
    address: SocketAddr,
    id: u64,
}

/// A pool of idle connections. A controller calls thousands of workers, but each of them
/// rarely, and a connection takes about 25 KB of memory. The pool therefore has a capacity and
/// drops the least recently used connections.
pub(crate) struct IdleConnections<T> {
    /// Maximum number of connections in the pool.
    capacity: usize,
    /// The connections to each address, the most recently used last.
    by_address: HashMap<SocketAddr, Vec<IdleConnection<T>>>,
    /// The connections in the order in which they were put into the pool, the oldest first.
    /// Entries of connections that have left the pool since are removed only by eviction or
    /// compaction.
    eviction_queue: VecDeque<QueueEntry>,
    last_id: u64,
    /// Number of connections in the pool.
    len: usize,
}

impl<T> IdleConnections<T> {
    /// Creates an empty pool that keeps at most `capacity` connections.
    pub(crate) fn new(capacity: usize) -> IdleConnections<T> {
        IdleConnections {
            capacity,
            by_address: HashMap::new(),
            eviction_queue: VecDeque::new(),
            last_id: 0,
            len: 0,
        }
    }

    /// Takes the most recently used connection to an address out of the pool.
    pub(crate) fn take(&mut self, address: SocketAddr) -> Option<T> {
        let connections = self.by_address.get_mut(&address)?;
        let idle = connections.pop()?;
        self.len -= 1;
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        Some(idle.connection)
    }

    /// Puts a connection into the pool. It is dropped instead if the pool already has
    /// [`MAX_PER_ADDRESS`] connections to that address.
    pub(crate) fn put(&mut self, address: SocketAddr, connection: T) {
        let connections = self.by_address.entry(address).or_default();
        if connections.len() >= MAX_PER_ADDRESS {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        connections.push(IdleConnection { id, connection });
        self.len += 1;
        self.eviction_queue.push_back(QueueEntry { address, id });
        self.evict();
        self.compact_eviction_queue();
    }

    /// Drops the least recently used connections until the pool is within its capacity.
    fn evict(&mut self) {
        while self.len > self.capacity {
            let Some(oldest) = self.eviction_queue.pop_front() else {
                break;
            };
            self.remove(&oldest);
        }
    }

    /// If the eviction queue is too long, removes entries of connections that are no longer in
    /// the pool.
    fn compact_eviction_queue(&mut self) {
        if self.eviction_queue.len() <= MAX_QUEUE_FACTOR * self.len.max(self.capacity) {
            return;
        }
        let by_address = &self.by_address;
        self.eviction_queue.retain(|entry| {
            by_address
                .get(&entry.address)
                .is_some_and(|connections| connections.iter().any(|idle| idle.id == entry.id))
        });
    }

    fn remove(&mut self, entry: &QueueEntry) {
        let Some(connections) = self.by_address.get_mut(&entry.address) else {
            return;
        };
        let before = connections.len();
        connections.retain(|idle| idle.id != entry.id);
        self.len -= before - connections.len();
        if connections.is_empty() {
            self.by_address.remove(&entry.address);
        }
    }

    /// Drops all pooled connections to an address.
    pub(crate) fn remove_all(&mut self, address: SocketAddr) {
        let removed = self.by_address.remove(&address);
        self.len -= removed.map_or(0, |connections| connections.len());
    }
}

#[cfg(test)]
mod tests;
