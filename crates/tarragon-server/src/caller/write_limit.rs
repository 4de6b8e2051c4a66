//! A connection whose writes may not wait for ever: a caller that reads nothing would otherwise keep its
//! connection and what waits in it until it goes.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A connection that fails when a write has waited for too long.
pub struct WriteLimit<C> {
    connection: C,
    limit: Duration,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<C> WriteLimit<C> {
    /// Limits the waits of a connection's writes.
    pub fn new(connection: C, limit: Duration) -> WriteLimit<C> {
        WriteLimit { connection, limit, timer: None }
    }

    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the other side reads nothing")))
    }
}

impl<C> AsyncRead for WriteLimit<C>
where
    C: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_read(context, buffer)
    }
}

impl<C> AsyncWrite for WriteLimit<C>
where
    C: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write_vectored(context, slices);
        self.watch(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.connection).poll_flush(context);
        self.watch(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(context)
    }
}
