//! Connections kept for later, few for an address and not many in all.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Idle connections kept for one address; more would only hold sockets.
const EACH: usize = 8;

/// What is kept. A controller speaks to thousands of workers, to each of them
/// rarely, and a connection holds some 25 KB: the longest unused give way.
pub struct IdleConnections<T> {
    most: usize,
    kept: HashMap<SocketAddr, Vec<(u64, T)>>,
    /// In the order of their coming; those taken meanwhile are still in it.
    order: VecDeque<(SocketAddr, u64)>,
    next: u64,
    len: usize,
}

impl<T> IdleConnections<T> {
    pub fn new(most: usize) -> IdleConnections<T> {
        IdleConnections {
            most,
            kept: HashMap::new(),
            order: VecDeque::new(),
            next: 0,
            len: 0,
        }
    }

    /// The one that came last for an address.
    pub fn take(&mut self, address: SocketAddr) -> Option<T> {
        let list = self.kept.get_mut(&address)?;
        let (_, one) = list.pop()?;
        self.len -= 1;
        if list.is_empty() {
            self.kept.remove(&address);
        }
        Some(one)
    }

    pub fn put(&mut self, address: SocketAddr, one: T) {
        let list = self.kept.entry(address).or_default();
        if list.len() >= EACH {
            return;
        }
        self.next += 1;
        list.push((self.next, one));
        self.len += 1;
        self.order.push_back((address, self.next));
        while self.len > self.most {
            let Some((address, id)) = self.order.pop_front() else {
                break;
            };
            self.remove(address, id);
        }
        if self.order.len() > 4 * self.len.max(self.most) {
            let kept = &self.kept;
            let there = |a: &SocketAddr, id: u64| kept.get(a).is_some_and(|l| has(l, id));
            self.order.retain(|(address, id)| there(address, *id));
        }
    }

    fn remove(&mut self, address: SocketAddr, id: u64) {
        let Some(list) = self.kept.get_mut(&address) else {
            return;
        };
        let before = list.len();
        list.retain(|(i, _)| *i != id);
        self.len -= before - list.len();
        if list.is_empty() {
            self.kept.remove(&address);
        }
    }

    /// Drops all that is kept for an address.
    pub fn forget(&mut self, address: SocketAddr) {
        self.len -= self.kept.remove(&address).map_or(0, |list| list.len());
    }
}

fn has<T>(list: &[(u64, T)], id: u64) -> bool {
    list.iter().any(|(i, _)| *i == id)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// With one controller left for 2,100 workers, a connection kept to each of
    /// them would have taken its memory.
    #[test]
    fn the_longest_unused_give_way() {
        let address = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
        let mut idle = IdleConnections::new(100);
        for round in 0..50 {
            for n in 0..1000 {
                idle.put(address(n), (round, n));
            }
            // One that is used all the time is there all the time.
            let busy = idle.take(address(999)).unwrap();
            idle.put(address(999), busy);
        }
        assert_eq!(idle.len, 100);
        assert!(idle.order.len() <= 400);
        assert_eq!(idle.take(address(0)), None);
        assert_eq!(idle.take(address(998)), Some((49, 998)));
        (0..20).for_each(|n| idle.put(address(7), (n, 7)));
        let all: Vec<_> = std::iter::from_fn(|| idle.take(address(7))).collect();
        assert_eq!(all.len(), EACH);
        idle.put(address(7), (0, 7));
        idle.forget(address(7));
        assert_eq!(idle.take(address(7)), None);
    }
}
