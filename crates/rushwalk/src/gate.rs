//! How many connections are taken, and how fast.
//!
//! After an end of all controllers every worker of the fleet comes at once. Taking
//! them all made each wait behind all others: answers came later than workers wait
//! for them, which brought them back on new connections, and the member's lease was
//! renewed too late, which sent them elsewhere. So no more are taken in one pass over
//! what is ready than keep such a pass short; the others wait in the kernel's queue.
//!
//! Sockets are left for what this controller itself must call: without the state
//! service, the cloud and its own workers it could keep no rule.

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, Listener};
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, sleep};

/// Connections that may be open, and how long a pass over what is ready may take
/// before fewer are taken.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub open: usize,
    pub pass: Duration,
}

pub struct Gate<L> {
    inner: L,
    limits: Limits,
}

impl<L> Gate<L> {
    pub fn new(inner: L, limits: Limits) -> Gate<L> {
        Gate { inner, limits }
    }
}

impl<L: Listener> Listener for Gate<L> {
    type Acceptor = Gated<L::Acceptor>;

    async fn into_acceptor(self) -> io::Result<Self::Acceptor> {
        Ok(Gated {
            inner: self.inner.into_acceptor().await?,
            pace: Pace::new(self.limits.pass),
            open: Arc::default(),
            most: self.limits.open,
        })
    }
}

pub struct Gated<A> {
    inner: A,
    pace: Pace,
    open: Arc<AtomicUsize>,
    most: usize,
}

impl<A: Acceptor> Acceptor for Gated<A> {
    type Io = Counted<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        while self.pace.spent() {
            let before = Instant::now();
            tokio::task::yield_now().await;
            self.pace.passed(before.elapsed());
        }
        while self.open.load(Ordering::Relaxed) >= self.most {
            sleep(self.pace.limit).await;
        }
        match self.inner.accept().await {
            Ok((io, local, remote, scheme)) => {
                self.open.fetch_add(1, Ordering::Relaxed);
                let open = self.open.clone();
                Ok((Counted { io, open }, local, remote, scheme))
            }
            Err(error) => {
                // Out of sockets: asking again at once would only burn time.
                sleep(self.pace.limit).await;
                Err(error)
            }
        }
    }
}

/// How many connections to take in one pass over what is ready.
struct Pace {
    limit: Duration,
    each: usize,
    taken: usize,
}

impl Pace {
    const MOST: usize = 64;

    fn new(limit: Duration) -> Pace {
        Pace {
            limit,
            each: Pace::MOST,
            taken: 0,
        }
    }

    /// Counts one; whether this pass has had its number.
    fn spent(&mut self) -> bool {
        if self.taken >= self.each {
            return true;
        }
        self.taken += 1;
        false
    }

    /// A pass took so long: half as many next time, or one more.
    fn passed(&mut self, took: Duration) {
        self.taken = 0;
        self.each = match took > self.limit {
            true => (self.each / 2).max(1),
            false => (self.each + 1).min(Pace::MOST),
        };
    }
}

/// A connection that is counted until it is gone.
pub struct Counted<T> {
    io: T,
    open: Arc<AtomicUsize>,
}

impl<T> Drop for Counted<T> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use poem::listener::TcpListener;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpStream;

    #[test]
    fn fewer_are_taken_while_passes_are_long() {
        let mut pace = Pace::new(Duration::from_millis(50));
        let pass = |pace: &mut Pace, took: u64| {
            let mut taken = 0;
            while !pace.spent() {
                taken += 1;
            }
            pace.passed(Duration::from_millis(took));
            taken
        };
        assert_eq!(pass(&mut pace, 400), 64);
        for _ in 0..8 {
            pass(&mut pace, 400);
        }
        assert_eq!(pass(&mut pace, 400), 1, "but one always is");
        for _ in 0..100 {
            pass(&mut pace, 5);
        }
        assert_eq!(pass(&mut pace, 5), 64);
    }

    /// At the end of its sockets a controller could call nobody any more, and span
    /// on a listener that it could take nothing from.
    #[tokio::test]
    async fn no_more_are_taken_than_may_be_open() {
        let limits = Limits {
            open: 3,
            pass: Duration::from_millis(1),
        };
        let gate = Gate::new(TcpListener::bind("127.0.0.1:0"), limits);
        let mut gate = gate.into_acceptor().await.unwrap();
        let to = gate.local_addr().remove(0);
        let to = *to.as_socket_addr().unwrap();
        let mut callers = Vec::new();
        for _ in 0..5 {
            callers.push(TcpStream::connect(to).await.unwrap());
        }
        let mut taken = Vec::new();
        for _ in 0..3 {
            taken.push(gate.accept().await.unwrap().0);
        }
        assert_eq!(gate.open.load(Ordering::Relaxed), 3);
        let mut next = std::pin::pin!(gate.accept());
        let early = tokio::time::timeout(Duration::from_millis(30), &mut next).await;
        assert!(early.is_err(), "a fourth was taken");
        drop(taken.pop());
        let (mut io, ..) = next.await.unwrap();
        drop(callers);
        assert_eq!(io.read(&mut [0; 8]).await.unwrap(), 0);
    }
}
