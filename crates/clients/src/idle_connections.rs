//! A pool of idle connections, bounded per address and in all.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Idle connections kept for one address; more would only hold sockets.
const MAX_PER_ADDRESS: usize = 8;

/// The order is compacted when it holds so many times the connections that can be kept.
const MAX_ORDER_FACTOR: usize = 4;

struct IdleConnection<T> {
    id: u64,
    connection: T,
}

struct OrderEntry {
    address: SocketAddr,
    id: u64,
}

/// The pool. A controller calls thousands of workers, each of them rarely, and a
/// connection holds some 25 KB: the least recently used are dropped.
pub(crate) struct IdleConnections<T> {
    capacity: usize,
    by_address: HashMap<SocketAddr, Vec<IdleConnection<T>>>,
    /// In the order of their arrival; those taken meanwhile are still in it.
    order: VecDeque<OrderEntry>,
    last_id: u64,
    len: usize,
}

impl<T> IdleConnections<T> {
    /// An empty pool of at most so many connections.
    pub(crate) fn new(capacity: usize) -> IdleConnections<T> {
        IdleConnections {
            capacity,
            by_address: HashMap::new(),
            order: VecDeque::new(),
            last_id: 0,
            len: 0,
        }
    }

    /// Takes the connection to an address that was used last.
    pub(crate) fn take(&mut self, address: SocketAddr) -> Option<T> {
        let connections = self.by_address.get_mut(&address)?;
        let idle = connections.pop()?;
        self.len -= 1;
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        Some(idle.connection)
    }

    /// Keeps a connection, unless there are enough to that address.
    pub(crate) fn put(&mut self, address: SocketAddr, connection: T) {
        let connections = self.by_address.entry(address).or_default();
        if connections.len() >= MAX_PER_ADDRESS {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        connections.push(IdleConnection { id, connection });
        self.len += 1;
        self.order.push_back(OrderEntry { address, id });
        self.evict();
        self.compact_order();
    }

    fn evict(&mut self) {
        while self.len > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.remove(&oldest);
        }
    }

    fn compact_order(&mut self) {
        if self.order.len() <= MAX_ORDER_FACTOR * self.len.max(self.capacity) {
            return;
        }
        let by_address = &self.by_address;
        self.order.retain(|entry| {
            by_address
                .get(&entry.address)
                .is_some_and(|connections| connections.iter().any(|idle| idle.id == entry.id))
        });
    }

    fn remove(&mut self, entry: &OrderEntry) {
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

    /// Drops all connections to an address.
    pub(crate) fn remove_all(&mut self, address: SocketAddr) {
        let removed = self.by_address.remove(&address);
        self.len -= removed.map_or(0, |connections| connections.len());
    }
}

#[cfg(test)]
mod tests;
