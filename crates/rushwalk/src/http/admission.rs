//! Admission control at the public listener: how many new connections are served in one pass of
//! the event loop, and in which order.
//!
//! After a restart of all controllers, all workers of the fleet connect at the same time. When
//! all these connections were served together, each waited for all others. Responses came later
//! than workers wait for them, so that the workers connected again. The member lease was
//! renewed too late as well, so that workers were sent to other controllers. For this reason the
//! number of connections that are admitted in one pass of the event loop depends on how long
//! passes take.
//!
//! Connections beyond that number are accepted from the kernel and queued here, and the newest is
//! served first. When they were served in order of arrival, two in five were served only after
//! their clients had given up, and the users' health probe waited behind them until its controller
//! counted as failed. Connections that are queued for longer than clients wait are dropped.

mod pacer;

#[cfg(test)]
mod tests;

use crate::connections::{ConnectionTable, TrackedConnection};
use pacer::AdmissionPacer;
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

/// The time limits of admission control.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionLimits {
    /// Maximum duration of a pass of the event loop; if it is exceeded, fewer connections are
    /// admitted in a pass.
    pub pass_limit: Duration,
    /// How long a connection may be queued; also, how long a user's connection may be idle when
    /// the table is full. Clients go to another controller after that time.
    pub queue_timeout: Duration,
    /// How long a worker's connection may be idle when the table is full.
    pub worker_idle_limit: Duration,
}

/// A listener whose connections pass admission control.
pub struct AdmissionListener<L> {
    inner: L,
    connections: Arc<ConnectionTable>,
    limits: AdmissionLimits,
}

impl<L> AdmissionListener<L> {
    /// Wraps a listener; its connections are tracked in `connections`.
    pub fn new(
        inner: L,
        connections: Arc<ConnectionTable>,
        limits: AdmissionLimits,
    ) -> AdmissionListener<L> {
        AdmissionListener {
            inner,
            connections,
            limits,
        }
    }
}

impl<L: Listener> Listener for AdmissionListener<L> {
    type Acceptor = AdmissionAcceptor<L::Acceptor>;

    async fn into_acceptor(self) -> io::Result<Self::Acceptor> {
        Ok(AdmissionAcceptor {
            inner: self.inner.into_acceptor().await?,
            pacer: AdmissionPacer::new(self.limits.pass_limit),
            connections: self.connections,
            limits: self.limits,
            queue: VecDeque::new(),
            last_shed: None,
        })
    }
}

/// The acceptor of an [`AdmissionListener`].
pub struct AdmissionAcceptor<A: Acceptor> {
    inner: A,
    pacer: AdmissionPacer,
    connections: Arc<ConnectionTable>,
    limits: AdmissionLimits,
    /// Connections that are accepted but not served yet, in order of arrival.
    queue: VecDeque<QueuedConnection<TrackedConnection<A::Io>>>,
    /// When idle connections were last closed because the table was full; `None` if never.
    last_shed: Option<Instant>,
}

/// The return type of [`Acceptor::accept`], as poem defines it.
type AcceptedConnection<T> = (T, LocalAddr, RemoteAddr, Scheme);

struct QueuedConnection<T> {
    accepted_at: Instant,
    connection: AcceptedConnection<T>,
}

impl<A: Acceptor> Acceptor for AdmissionAcceptor<A> {
    type Io = TrackedConnection<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let is_full = self.fill_queue().await?;
            if self.queue.is_empty() {
                self.wait_for_connection(is_full).await?;
            } else if !self.pacer.try_admit() {
                self.yield_for_pass().await;
            } else if let Some(newest) = self.queue.pop_back() {
                return Ok(newest.connection);
            }
        }
    }
}

impl<A: Acceptor> AdmissionAcceptor<A> {
    /// Accepts all connections that wait in the kernel's queue, up to the capacity of the table,
    /// and drops those that have been queued here for too long. Returns whether the table is
    /// full.
    async fn fill_queue(&mut self) -> io::Result<bool> {
        let is_full = loop {
            if self.connections.is_full() {
                self.shed_idle();
                break true;
            }
            match self.poll_accept_once().await {
                Poll::Ready(accepted) => self.enqueue(accepted).await?,
                Poll::Pending => break false,
            }
        };
        self.drop_expired();
        Ok(is_full)
    }

    /// Accepts a connection if one is ready, without waiting for it.
    async fn poll_accept_once(&mut self) -> Poll<io::Result<AcceptedConnection<A::Io>>> {
        let mut accept = pin!(self.inner.accept());
        poll_fn(|context| Poll::Ready(accept.as_mut().poll(context))).await
    }

    /// Closes idle connections, at most once in the time limit of a pass: closing them examines
    /// all connections, and those that are closed leave the table only after a pass.
    fn shed_idle(&mut self) {
        let recently = |at: Instant| at.elapsed() <= self.limits.pass_limit;
        if self.last_shed.is_some_and(recently) {
            return;
        }
        self.last_shed = Some(Instant::now());
        let limits = &self.limits;
        self.connections
            .shed(limits.queue_timeout, limits.worker_idle_limit);
    }

    fn drop_expired(&mut self) {
        let timeout = self.limits.queue_timeout;
        let expired = self
            .queue
            .iter()
            .take_while(|queued| queued.accepted_at.elapsed() > timeout)
            .count();
        self.queue.drain(..expired);
    }

    /// Waits for the next connection or, if the table is full, for the time limit of a pass.
    async fn wait_for_connection(&mut self, is_full: bool) -> io::Result<()> {
        if is_full {
            sleep(self.limits.pass_limit).await;
            return Ok(());
        }
        let accepted = self.inner.accept().await;
        self.enqueue(accepted).await
    }

    /// Lets the other tasks run for one pass, and measures how long that takes.
    async fn yield_for_pass(&mut self) {
        let started = Instant::now();
        tokio::task::yield_now().await;
        self.pacer.finish_pass(started.elapsed());
    }

    async fn enqueue(&mut self, accepted: io::Result<AcceptedConnection<A::Io>>) -> io::Result<()> {
        let (io, local, remote, scheme) = match accepted {
            Ok(connection) => connection,
            Err(error) => {
                // If no file descriptor is free, another attempt without a pause would only use
                // CPU time.
                sleep(self.limits.pass_limit).await;
                return Err(error);
            }
        };
        let io = TrackedConnection::new(io, &self.connections, &remote);
        self.queue.push_back(QueuedConnection {
            accepted_at: Instant::now(),
            connection: (io, local, remote, scheme),
        });
        Ok(())
    }
}
