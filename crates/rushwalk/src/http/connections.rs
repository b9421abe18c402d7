//! The connections at the public address: how many there may be, and who gives way.
//!
//! Sockets are left for what this controller itself must call: without the state
//! service, the cloud and its own workers it could keep no rule. When the others are
//! all taken, connections are closed in this order: users' that are not in use, the
//! longest unused first, then those of workers that have fallen silent. Machines that
//! die close nothing, so whatever is silent for a lease is closed at any time: with a
//! third of the machines gone, a controller once stayed full of the dead, took no user
//! any more and answered no health probe until the end of the day.

use crate::lock::lock;
use poem::web::RemoteAddr;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep};

/// One connection.
struct Connection {
    /// When something last went through it, in milliseconds since the start.
    used: AtomicU64,
    worker: AtomicBool,
    closed: AtomicBool,
    reader: Mutex<Option<Waker>>,
}

pub struct ConnectionTable {
    most: usize,
    began: Instant,
    all: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

/// When all are taken, one in so many is freed at once, at most.
const FREED: usize = 64;

impl ConnectionTable {
    pub fn new(most: usize) -> ConnectionTable {
        ConnectionTable {
            most,
            began: Instant::now(),
            all: Mutex::default(),
        }
    }

    pub fn full(&self) -> bool {
        lock(&self.all).len() >= self.most
    }

    /// How many are open, and how many of them are workers'.
    pub fn count(&self) -> (usize, usize) {
        let all = lock(&self.all);
        let workers = all.values().filter(|s| s.worker.load(Ordering::Relaxed));
        (all.len(), workers.count())
    }

    /// A worker has reported through this one.
    pub fn worker(&self, from: &RemoteAddr) {
        if let Some(seat) = lock(&self.all).get(&key(from)) {
            seat.worker.store(true, Ordering::Relaxed);
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Frees some, if there are any that may go: users' unused for `unused`, or
    /// anybody's unused for `silent`.
    pub fn shed(&self, unused: Duration, silent: Duration) {
        let now = self.now();
        let mut may_go: Vec<(bool, u64, Arc<Connection>)> = Vec::new();
        for seat in lock(&self.all).values() {
            let used = seat.used.load(Ordering::Relaxed);
            let worker = seat.worker.load(Ordering::Relaxed);
            let limit = if worker { silent } else { unused };
            let open = !seat.closed.load(Ordering::Relaxed);
            if open && seat.unused(now) > limit {
                may_go.push((worker, used, seat.clone()));
            }
        }
        may_go.sort_by_key(|(worker, used, _)| (*worker, *used));
        may_go.truncate((self.most / FREED).max(1));
        may_go.iter().for_each(|(_, _, seat)| seat.close());
    }

    /// Closes all that nothing went through for so long.
    pub fn sweep(&self, silent: Duration) {
        let now = self.now();
        for seat in lock(&self.all).values() {
            if seat.unused(now) > silent {
                seat.close();
            }
        }
    }

    pub async fn sweep_loop(self: Arc<ConnectionTable>, silent: Duration) {
        loop {
            sleep(silent / 4).await;
            self.sweep(silent);
        }
    }
}

fn key(from: &RemoteAddr) -> SocketAddr {
    let unknown = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    from.as_socket_addr().copied().unwrap_or(unknown)
}

impl Connection {
    fn unused(&self, now: u64) -> Duration {
        Duration::from_millis(now.saturating_sub(self.used.load(Ordering::Relaxed)))
    }

    /// To its reader it looks as if the other side had closed it.
    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        if let Some(reader) = lock(&self.reader).take() {
            reader.wake();
        }
    }
}

/// A connection with its seat, which is free once it is dropped.
pub struct TrackedConnection<T> {
    io: T,
    from: SocketAddr,
    seat: Arc<Connection>,
    seats: Arc<ConnectionTable>,
}

impl<T> TrackedConnection<T> {
    pub fn new(io: T, seats: &Arc<ConnectionTable>, from: &RemoteAddr) -> TrackedConnection<T> {
        let seat = Arc::new(Connection {
            used: AtomicU64::new(seats.now()),
            worker: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            reader: Mutex::default(),
        });
        let from = key(from);
        lock(&seats.all).insert(from, seat.clone());
        TrackedConnection {
            io,
            from,
            seat,
            seats: seats.clone(),
        }
    }

    fn used(&self) {
        self.seat.used.store(self.seats.now(), Ordering::Relaxed);
    }
}

impl<T> Drop for TrackedConnection<T> {
    fn drop(&mut self) {
        let mut all = lock(&self.seats.all);
        // Its caller may have come again from the same port.
        if all
            .get(&self.from)
            .is_some_and(|s| Arc::ptr_eq(s, &self.seat))
        {
            all.remove(&self.from);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedConnection<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.seat.closed.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        match &read {
            Poll::Ready(_) => self.used(),
            Poll::Pending => {
                let mut reader = lock(&self.seat.reader);
                if !reader.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                    *reader = Some(cx.waker().clone());
                }
            }
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedConnection<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.used();
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.used();
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use poem::Addr;
    use tokio::io::AsyncReadExt;
    use tokio::time::advance;

    fn from(port: u16) -> RemoteAddr {
        RemoteAddr(Addr::SocketAddr(SocketAddr::from(([10, 0, 0, 1], port))))
    }

    /// The dead, and users who had nothing to ask, once kept workers out.
    #[tokio::test(start_paused = true)]
    async fn idle_users_give_way_first_and_then_the_silent() {
        let (unused, silent) = (Duration::from_secs(3), Duration::from_secs(12));
        let seats = Arc::new(ConnectionTable::new(4));
        let mut ios = Vec::new();
        let mut others = Vec::new();
        for port in 1..=4 {
            let (io, other) = tokio::io::duplex(64);
            ios.push(TrackedConnection::new(io, &seats, &from(port)));
            others.push(other);
            advance(Duration::from_millis(10)).await;
        }
        seats.worker(&from(1));
        seats.worker(&from(2));
        assert!(seats.full());
        assert_eq!(seats.count(), (4, 2));
        let closed = |ios: &[TrackedConnection<_>]| -> Vec<bool> {
            let closed = |io: &TrackedConnection<_>| io.seat.closed.load(Ordering::Relaxed);
            ios.iter().map(closed).collect()
        };
        seats.shed(unused, silent);
        assert_eq!(closed(&ios), [false; 4], "all were in use lately");
        advance(Duration::from_secs(5)).await;
        seats.shed(unused, silent);
        assert_eq!(closed(&ios), [false, false, true, false]);
        seats.shed(unused, silent);
        assert_eq!(closed(&ios), [false, false, true, true]);
        seats.shed(unused, silent);
        assert_eq!(closed(&ios), [false, false, true, true]);
        advance(Duration::from_secs(8)).await;
        tokio::io::AsyncWriteExt::write_all(&mut others[0], b"news")
            .await
            .unwrap();
        ios[0].read_u32().await.unwrap();
        seats.shed(unused, silent);
        assert_eq!(closed(&ios), [false, true, true, true]);
        assert_eq!(ios[1].read(&mut [0; 8]).await.unwrap(), 0, "as if it ended");
        ios.truncate(1);
        assert_eq!(seats.count(), (1, 1));
    }

    /// A connection whose other side died is closed by nobody else.
    #[tokio::test(start_paused = true)]
    async fn a_connection_without_life_is_closed() {
        let seats = Arc::new(ConnectionTable::new(4));
        let (io, _other) = tokio::io::duplex(64);
        let mut io = TrackedConnection::new(io, &seats, &from(1));
        let lease = Duration::from_secs(36);
        let sweep = tokio::spawn(seats.clone().sweep_loop(lease));
        let began = Instant::now();
        assert_eq!(io.read(&mut [0; 8]).await.unwrap(), 0);
        assert!(began.elapsed() > lease && began.elapsed() < 2 * lease);
        sweep.abort();
    }
}
