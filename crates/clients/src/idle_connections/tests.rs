//! Tests of the pool's bounds.

use super::*;

/// With one controller left for 2,100 workers, a connection kept to each of
/// them would have taken its memory.
#[test]
fn the_least_recently_used_connections_are_dropped() {
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
    assert_eq!(all.len(), MAX_PER_ADDRESS);
    idle.put(address(7), (0, 7));
    idle.remove_all(address(7));
    assert_eq!(idle.take(address(7)), None);
}
