//! A connection whose reads and writes are observed, and may be refused.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Observes a connection.
pub trait StreamObserver {
    /// So many bytes have been read; none at the end. An error ends the connection.
    fn observe_read(&mut self, bytes: usize) -> io::Result<()>;

    /// So many bytes have been written.
    fn observe_write(&mut self, _bytes: usize) {}

    /// All that was written has been passed on.
    fn observe_flush(&mut self) {}
}

/// A connection with its observer.
pub struct ObservedStream<C, O> {
    connection: C,
    observer: O,
}

impl<C, O> ObservedStream<C, O> {
    /// Has a connection observed.
    pub fn new(connection: C, observer: O) -> ObservedStream<C, O> {
        ObservedStream { connection, observer }
    }
}

impl<C, O> AsyncRead for ObservedStream<C, O>
where
    C: AsyncRead + Unpin,
    O: StreamObserver + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.connection).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(self.observer.observe_read(bytes))
    }
}

impl<C, O> AsyncWrite for ObservedStream<C, O>
where
    C: AsyncWrite + Unpin,
    O: StreamObserver + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.connection).poll_write(context, bytes))?;
        self.observer.observe_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.connection).poll_write_vectored(context, slices))?;
        self.observer.observe_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.connection).poll_flush(context))?;
        self.observer.observe_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(context)
    }
}
