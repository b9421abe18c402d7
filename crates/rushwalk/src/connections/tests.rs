use super::*;
use poem::Addr;
use tokio::io::AsyncReadExt;
use tokio::time::advance;

fn remote(port: u16) -> RemoteAddr {
    RemoteAddr(Addr::SocketAddr(SocketAddr::from(([10, 0, 0, 1], port))))
}

fn counts(open: usize, workers: usize) -> ConnectionCounts {
    ConnectionCounts { open, workers }
}

fn closed<T>(connections: &[TrackedConnection<T>]) -> Vec<bool> {
    connections.iter().map(|c| c.state.is_closed()).collect()
}

/// Fault: connections of failed machines and idle users filled the table, so that workers could not
/// connect.
#[tokio::test(start_paused = true)]
async fn idle_users_are_shed_before_idle_workers() {
    let (user_idle, worker_idle) = (Duration::from_secs(3), Duration::from_secs(12));
    let table = Arc::new(ConnectionTable::new(4));
    let mut connections = Vec::new();
    let mut remote_ends = Vec::new();
    for port in 1..=4 {
        let (io, remote_end) = tokio::io::duplex(64);
        connections.push(TrackedConnection::new(io, &table, &remote(port)));
        remote_ends.push(remote_end);
        advance(Duration::from_millis(10)).await;
    }
    table.mark_worker(&remote(1));
    table.mark_worker(&remote(2));
    assert!(table.is_full());
    assert_eq!(table.count(), counts(4, 2));
    table.shed(user_idle, worker_idle);
    assert_eq!(closed(&connections), [false; 4], "all were used recently");
    advance(Duration::from_secs(5)).await;
    table.shed(user_idle, worker_idle);
    assert_eq!(closed(&connections), [false, false, true, false]);
    table.shed(user_idle, worker_idle);
    assert_eq!(closed(&connections), [false, false, true, true]);
    table.shed(user_idle, worker_idle);
    assert_eq!(closed(&connections), [false, false, true, true]);
    advance(Duration::from_secs(8)).await;
    tokio::io::AsyncWriteExt::write_all(&mut remote_ends[0], b"news")
        .await
        .unwrap();
    connections[0].read_u32().await.unwrap();
    table.shed(user_idle, worker_idle);
    assert_eq!(closed(&connections), [false, true, true, true]);
    let read = connections[1].read(&mut [0; 8]).await.unwrap();
    assert_eq!(read, 0, "as if the remote end had closed the connection");
    connections.truncate(1);
    assert_eq!(table.count(), counts(1, 1));
}

/// If the remote end fails, nothing but the sweep closes the connection.
#[tokio::test(start_paused = true)]
async fn a_connection_idle_for_a_lease_is_closed() {
    let table = Arc::new(ConnectionTable::new(4));
    let (io, _remote_end) = tokio::io::duplex(64);
    let mut connection = TrackedConnection::new(io, &table, &remote(1));
    let lease = Duration::from_secs(36);
    let sweep = tokio::spawn(table.clone().sweep_loop(lease));
    let started = Instant::now();
    assert_eq!(connection.read(&mut [0; 8]).await.unwrap(), 0);
    assert!(started.elapsed() > lease && started.elapsed() < 2 * lease);
    sweep.abort();
}
