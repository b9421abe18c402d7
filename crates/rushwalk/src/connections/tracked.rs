//! A stream that records its use in the connection table, and that the table can close.

use super::{ConnectionState, ConnectionTable, connection_key};
use poem::web::RemoteAddr;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that counts as open in a [`ConnectionTable`] until it is dropped.
pub struct TrackedConnection<T> {
    io: T,
    remote: SocketAddr,
    pub(super) state: Arc<ConnectionState>,
    table: Arc<ConnectionTable>,
}

impl<T> TrackedConnection<T> {
    /// Adds a connection from `remote` to the table.
    pub fn new(io: T, table: &Arc<ConnectionTable>, remote: &RemoteAddr) -> TrackedConnection<T> {
        let remote = connection_key(remote);
        TrackedConnection {
            io,
            remote,
            state: table.insert(remote),
            table: table.clone(),
        }
    }

    fn record_use(&self) {
        let now_ms = self.table.elapsed_ms();
        self.state.last_used_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Keeps the waker of the task that waits for data, so that closing the connection wakes it.
    fn register_reader(&self, context: &Context<'_>) {
        let mut reader = self.state.reader.lock();
        let waker = context.waker();
        if !reader.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *reader = Some(waker.clone());
        }
    }
}

impl<T> Drop for TrackedConnection<T> {
    fn drop(&mut self) {
        self.table.remove(self.remote, &self.state);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedConnection<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.state.is_closed() {
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if read.is_ready() {
            self.record_use();
        } else {
            self.register_reader(context);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedConnection<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_use();
        Pin::new(&mut self.io).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_use();
        Pin::new(&mut self.io).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
