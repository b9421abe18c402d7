use super::*;
use poem::listener::{TcpAcceptor, TcpListener};
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Admits as many connections as one pass may, ends the pass after `duration_ms`, and returns how
/// many were admitted.
fn run_pass(pacer: &mut AdmissionPacer, duration_ms: u64) -> usize {
    let mut admitted = 0;
    while pacer.try_admit() {
        admitted += 1;
    }
    pacer.finish_pass(Duration::from_millis(duration_ms));
    admitted
}

#[test]
fn fewer_connections_are_admitted_while_passes_are_long() {
    let mut pacer = AdmissionPacer::new(Duration::from_millis(50));
    assert_eq!(run_pass(&mut pacer, 400), 64);
    for _ in 0..8 {
        run_pass(&mut pacer, 400);
    }
    assert_eq!(
        run_pass(&mut pacer, 400),
        1,
        "at least one connection is admitted"
    );
    for _ in 0..100 {
        run_pass(&mut pacer, 5);
    }
    assert_eq!(run_pass(&mut pacer, 5), 64);
}

struct TestListener {
    acceptor: AdmissionAcceptor<TcpAcceptor>,
    address: SocketAddr,
    connections: Arc<ConnectionTable>,
}

impl TestListener {
    async fn bind(capacity: usize, queue_timeout_ms: u64) -> TestListener {
        let limits = AdmissionLimits {
            pass_limit: Duration::from_millis(1),
            queue_timeout: Duration::from_millis(queue_timeout_ms),
            worker_idle_limit: Duration::from_secs(60),
        };
        let connections = Arc::new(ConnectionTable::new(capacity));
        let inner = TcpListener::bind("127.0.0.1:0");
        let listener = AdmissionListener::new(inner, connections.clone(), limits);
        let acceptor = listener.into_acceptor().await.unwrap();
        let address = *acceptor.local_addr()[0].as_socket_addr().unwrap();
        TestListener {
            acceptor,
            address,
            connections,
        }
    }

    async fn connect(&self, count: usize) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        for _ in 0..count {
            clients.push(TcpStream::connect(self.address).await.unwrap());
        }
        clients
    }
}

/// Fault: without free file descriptors, a controller could make no calls any more, and its accept
/// loop retried without pause on a listener from which it could accept nothing.
#[tokio::test]
async fn no_connection_is_accepted_beyond_the_capacity() {
    let mut listener = TestListener::bind(3, 60_000).await;
    let clients = listener.connect(5).await;
    let mut accepted = Vec::new();
    for _ in 0..3 {
        accepted.push(listener.acceptor.accept().await.unwrap().0);
    }
    assert_eq!(listener.connections.count().open, 3);
    let mut next = std::pin::pin!(listener.acceptor.accept());
    let early = tokio::time::timeout(Duration::from_millis(30), &mut next).await;
    assert!(early.is_err(), "a fourth connection was accepted");
    drop(accepted.pop());
    let (mut io, ..) = next.await.unwrap();
    drop(clients);
    assert_eq!(io.read(&mut [0; 8]).await.unwrap(), 0);
}

/// Fault: when connections were served in order of arrival, clients got responses only after they
/// had gone to another controller, and connected again.
#[tokio::test]
async fn the_newest_connection_is_served_first() {
    let mut listener = TestListener::bind(100, 60_000).await;
    let clients = listener.connect(4).await;
    let mut served = Vec::new();
    for _ in 0..4 {
        let (_, _, remote, _) = listener.acceptor.accept().await.unwrap();
        served.push(remote.as_socket_addr().unwrap().port());
    }
    let port = |client: &TcpStream| client.local_addr().unwrap().port();
    let newest_first: Vec<u16> = clients.iter().rev().map(port).collect();
    assert_eq!(served, newest_first);
}

#[tokio::test]
async fn connections_queued_for_too_long_are_dropped() {
    let mut listener = TestListener::bind(100, 60_000).await;
    let mut expired = TcpStream::connect(listener.address).await.unwrap();
    listener.acceptor.fill_queue().await.unwrap();
    assert_eq!(listener.connections.count().open, 1);
    listener.acceptor.limits.queue_timeout = Duration::ZERO;
    listener.acceptor.fill_queue().await.unwrap();
    assert_eq!(listener.connections.count().open, 0);
    assert_eq!(expired.read(&mut [0; 8]).await.unwrap(), 0);
}
