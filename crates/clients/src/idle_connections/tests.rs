//! Tests of the bounds of the connection pool.

use super::*;

/// A controller that is the only one left calls all 2,100 workers. If it kept an idle
/// connection to each of them, the connections would exhaust its memory.
#[test]
fn least_recently_used_connections_are_dropped() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let mut pool = IdleConnections::new(100);
    for round in 0..50 {
        for port in 0..1000 {
            pool.put(address(port), (round, port));
        }
        // A connection that is used in every round is never evicted.
        let busy = pool.take(address(999)).unwrap();
        pool.put(address(999), busy);
    }
    assert_eq!(pool.len, 100);
    assert!(pool.eviction_queue.len() <= 400);
    assert_eq!(pool.take(address(0)), None);
    assert_eq!(pool.take(address(998)), Some((49, 998)));
    (0..20).for_each(|n| pool.put(address(7), (n, 7)));
    let kept: Vec<_> = std::iter::from_fn(|| pool.take(address(7))).collect();
    assert_eq!(kept.len(), MAX_PER_ADDRESS);
    pool.put(address(7), (0, 7));
    pool.remove_all(address(7));
    assert_eq!(pool.take(address(7)), None);
}
