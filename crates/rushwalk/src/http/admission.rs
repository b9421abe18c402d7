//! Which callers are served, and when.
//!
//! After an end of all controllers every worker of the fleet comes at once. Serving
//! all of them made each wait behind all others: answers came later than workers wait
//! for them, which brought them back on new connections, and the member's lease was
//! renewed too late, which sent them elsewhere. So no more are served in one pass over
//! what is ready than keep such a pass short.
//!
//! The others are taken from the kernel and wait here, and the newest is served first.
//! In the order of their coming, two of five that were served had already given up,
//! and the users' health probe waited behind them until its node counted as dead.
//! Who has waited for as long as callers wait is let go.

use crate::http::connections::{ConnectionTable, TrackedConnection};
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, Listener};
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a pass over what is ready may take before fewer are served in it, how
/// long a caller may wait to be served, before it has gone elsewhere, and after how
/// much silence a worker may be gone.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionLimits {
    pub pass: Duration,
    pub patience: Duration,
    pub silent: Duration,
}

pub struct AdmissionListener<L> {
    inner: L,
    seats: Arc<ConnectionTable>,
    limits: AdmissionLimits,
}

impl<L> AdmissionListener<L> {
    pub fn new(
        inner: L,
        seats: Arc<ConnectionTable>,
        limits: AdmissionLimits,
    ) -> AdmissionListener<L> {
        AdmissionListener {
            inner,
            seats,
            limits,
        }
    }
}

impl<L: Listener> Listener for AdmissionListener<L> {
    type Acceptor = AdmissionAcceptor<L::Acceptor>;

    async fn into_acceptor(self) -> io::Result<Self::Acceptor> {
        Ok(AdmissionAcceptor {
            inner: self.inner.into_acceptor().await?,
            pace: AcceptPacer::new(self.limits.pass),
            seats: self.seats,
            limits: self.limits,
            waiting: VecDeque::new(),
            shed: None,
        })
    }
}

pub struct AdmissionAcceptor<A: Acceptor> {
    inner: A,
    pace: AcceptPacer,
    seats: Arc<ConnectionTable>,
    limits: AdmissionLimits,
    /// Taken from the kernel, but not served yet, in the order of their coming.
    waiting: VecDeque<(Instant, AcceptedConnection<TrackedConnection<A::Io>>)>,
    /// When idle connections were last closed for want of room.
    shed: Option<Instant>,
}

type AcceptedConnection<T> = (T, LocalAddr, RemoteAddr, Scheme);

impl<A: Acceptor> Acceptor for AdmissionAcceptor<A> {
    type Io = TrackedConnection<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let full = self.take_waiting().await?;
            if self.waiting.is_empty() {
                match full {
                    true => sleep(self.pace.limit).await,
                    false => {
                        let taken = self.inner.accept().await;
                        self.keep(taken).await?;
                    }
                }
                continue;
            }
            if self.pace.spent() {
                let before = Instant::now();
                tokio::task::yield_now().await;
                self.pace.passed(before.elapsed());
                continue;
            }
            if let Some((_, newest)) = self.waiting.pop_back() {
                return Ok(newest);
            }
        }
    }
}

impl<A: Acceptor> AdmissionAcceptor<A> {
    /// Takes all that wait in the kernel's queue, and gives up those that have waited
    /// here for too long; whether no more may be open.
    async fn take_waiting(&mut self) -> io::Result<bool> {
        let full = loop {
            if self.seats.full() {
                // Looks at all of them, and those closed take a pass to be gone: not
                // once for each caller that is served meanwhile.
                if self.shed.is_none_or(|at| at.elapsed() > self.pace.limit) {
                    self.shed = Some(Instant::now());
                    self.seats.shed(self.limits.patience, self.limits.silent);
                }
                break true;
            }
            let next = {
                let mut next = pin!(self.inner.accept());
                poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx))).await
            };
            match next {
                Poll::Ready(taken) => self.keep(taken).await?,
                Poll::Pending => break false,
            }
        };
        let late = |(at, _): &(Instant, _)| at.elapsed() > self.limits.patience;
        let late = self.waiting.iter().take_while(|one| late(one)).count();
        self.waiting.drain(..late);
        Ok(full)
    }

    async fn keep(&mut self, taken: io::Result<AcceptedConnection<A::Io>>) -> io::Result<()> {
        match taken {
            Ok((io, local, remote, scheme)) => {
                let io = TrackedConnection::new(io, &self.seats, &remote);
                let one = (io, local, remote, scheme);
                self.waiting.push_back((Instant::now(), one));
                Ok(())
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
struct AcceptPacer {
    limit: Duration,
    each: usize,
    taken: usize,
}

impl AcceptPacer {
    const MOST: usize = 64;

    fn new(limit: Duration) -> AcceptPacer {
        AcceptPacer {
            limit,
            each: AcceptPacer::MOST,
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
            false => (self.each + 1).min(AcceptPacer::MOST),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use poem::listener::{TcpAcceptor, TcpListener};
    use std::net::SocketAddr;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpStream;

    #[test]
    fn fewer_are_taken_while_passes_are_long() {
        let mut pace = AcceptPacer::new(Duration::from_millis(50));
        let pass = |pace: &mut AcceptPacer, took: u64| {
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

    async fn gate(
        most: usize,
        patience: u64,
    ) -> (
        AdmissionAcceptor<TcpAcceptor>,
        SocketAddr,
        Arc<ConnectionTable>,
    ) {
        let limits = AdmissionLimits {
            pass: Duration::from_millis(1),
            patience: Duration::from_millis(patience),
            silent: Duration::from_secs(60),
        };
        let seats = Arc::new(ConnectionTable::new(most));
        let gate = AdmissionListener::new(TcpListener::bind("127.0.0.1:0"), seats.clone(), limits);
        let gate = gate.into_acceptor().await.unwrap();
        let to = gate.local_addr().remove(0);
        let to = *to.as_socket_addr().unwrap();
        (gate, to, seats)
    }

    /// At the end of its sockets a controller could call nobody any more, and span
    /// on a listener that it could take nothing from.
    #[tokio::test]
    async fn no_more_are_taken_than_may_be_open() {
        let (mut gate, to, seats) = gate(3, 60_000).await;
        let mut callers = Vec::new();
        for _ in 0..5 {
            callers.push(TcpStream::connect(to).await.unwrap());
        }
        let mut taken = Vec::new();
        for _ in 0..3 {
            taken.push(gate.accept().await.unwrap().0);
        }
        assert_eq!(seats.count().0, 3);
        let mut next = std::pin::pin!(gate.accept());
        let early = tokio::time::timeout(Duration::from_millis(30), &mut next).await;
        assert!(early.is_err(), "a fourth was taken");
        drop(taken.pop());
        let (mut io, ..) = next.await.unwrap();
        drop(callers);
        assert_eq!(io.read(&mut [0; 8]).await.unwrap(), 0);
    }

    /// Served in the order of their coming, callers got their answers when they had
    /// already gone elsewhere, and came again.
    #[tokio::test]
    async fn the_newest_caller_is_served_first() {
        let (mut gate, to, _seats) = gate(100, 60_000).await;
        let mut callers = Vec::new();
        for _ in 0..4 {
            callers.push(TcpStream::connect(to).await.unwrap());
        }
        let ports = |from: &RemoteAddr| from.as_socket_addr().map(|a| a.port());
        let mut served = Vec::new();
        for _ in 0..4 {
            served.push(ports(&gate.accept().await.unwrap().2).unwrap());
        }
        let port = |caller: &TcpStream| caller.local_addr().unwrap().port();
        let newest_first: Vec<u16> = callers.iter().rev().map(port).collect();
        assert_eq!(served, newest_first);
    }

    #[tokio::test]
    async fn who_has_waited_too_long_is_let_go() {
        let (mut gate, to, seats) = gate(100, 60_000).await;
        let mut gone = TcpStream::connect(to).await.unwrap();
        gate.take_waiting().await.unwrap();
        assert_eq!(seats.count().0, 1);
        gate.limits.patience = Duration::ZERO;
        gate.take_waiting().await.unwrap();
        assert_eq!(seats.count().0, 0);
        assert_eq!(gone.read(&mut [0; 8]).await.unwrap(), 0);
    }
}
