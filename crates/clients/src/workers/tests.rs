//! Tests of the limits on calls in flight.

use super::*;
use crate::http::{Exchange, Transport};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A transport to workers that never respond. It counts the calls in flight.
#[derive(Default)]
struct UnresponsiveWorkers {
    in_flight: AtomicUsize,
    max_in_flight: AtomicUsize,
}

/// Counts a call as in flight until it is dropped.
struct InFlight(Arc<UnresponsiveWorkers>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Transport for Arc<UnresponsiveWorkers> {
    fn call(&self, _: SocketAddr, _: Method, _: String, _: Vec<u8>) -> Exchange {
        let workers = self.clone();
        Box::pin(async move {
            let now = workers.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
            workers.max_in_flight.fetch_max(now, Ordering::Relaxed);
            let _in_flight = InFlight(workers);
            std::future::pending().await
        })
    }
}

/// Fault: during a network partition, a thousand status queries waited for their timeouts, each
/// on a socket of its own, until no socket was left for calls to the store.
#[tokio::test(start_paused = true)]
async fn unanswered_status_queries_hold_few_sockets_and_do_not_delay_commands() {
    let unresponsive = Arc::new(UnresponsiveWorkers::default());
    let http = HttpClient::with_transport(Arc::new(unresponsive.clone()));
    let workers = WorkerClient::new(http, 8);
    let timeout = Duration::from_secs(2);
    let queries: Vec<_> = (0..100)
        .map(|_| {
            let workers = workers.clone();
            tokio::spawn(async move { workers.query_status("10.0.0.1:9000", timeout).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(unresponsive.in_flight.load(Ordering::Relaxed), 4);
    let client = workers.clone();
    let command = tokio::spawn(async move {
        let commands = CommandBatch {
            token: 1,
            session: 1,
            commands: Vec::new(),
        };
        client.command("10.0.0.1:9000", &commands, timeout).await
    });
    tokio::task::yield_now().await;
    assert_eq!(unresponsive.in_flight.load(Ordering::Relaxed), 5);
    for query in queries {
        assert!(query.await.unwrap().is_err());
    }
    assert!(command.await.unwrap().is_err());
    assert_eq!(unresponsive.max_in_flight.load(Ordering::Relaxed), 5);
}
