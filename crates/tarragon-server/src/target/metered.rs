//! A connection to a target that is cut if the target sends many bytes which are no part of an answer: a line
//! that never ends, for example. Such bytes bring neither a head nor a part of a body. It is also cut if the
//! target has sent anything, or has closed it, before a call is written.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that a target may send without completing a head or a part of a body: more than twice the read buffer
/// of the HTTP library, which holds what arrives ahead of its reader.
const MOST_UNFRAMED: usize = 1 << 20;

/// Bytes that a connection may still read before the next head or part of a body.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> ReadAllowance {
        ReadAllowance(Arc::new(AtomicUsize::new(MOST_UNFRAMED)))
    }
}

impl ReadAllowance {
    /// A call has been sent, or a part of its answer has been taken.
    pub fn renew(&self) {
        self.0.store(MOST_UNFRAMED, Ordering::Relaxed);
    }

    /// Counts bytes. Returns false if there are too many.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        left >= bytes
    }
}

/// Whether bytes of the connection's current call may have been written.
#[derive(Debug, Clone, Default)]
pub struct WriteMark(Arc<AtomicBool>);

impl WriteMark {
    /// A call is about to be written.
    pub fn begin_call(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Whether bytes of the call may have been written.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection whose reads are counted and whose calls are written only while the target is silent.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    mark: WriteMark,
}

impl MeteredStream {
    /// Counts the reads of a connection and checks it before each call.
    pub fn new(stream: TcpStream, allowance: ReadAllowance, mark: WriteMark) -> MeteredStream {
        MeteredStream { stream, allowance, mark }
    }

    /// Fails before the first byte of a call if something has arrived. The socket is asked itself, since the
    /// runtime may learn of it only after the call has been written.
    fn check_silence(&self) -> io::Result<()> {
        if self.mark.is_written() {
            return Ok(());
        }
        let mut byte = [0_u8];
        match recv(&self.stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
            Err(Errno::WOULDBLOCK) => {
                self.mark.0.store(true, Ordering::Release);
                Ok(())
            }
            Ok((_, 0)) => {
                let message = "the target closed the connection before the call";
                Err(io::Error::new(io::ErrorKind::UnexpectedEof, message))
            }
            Ok(_) => {
                let message = "the target sent bytes before the call";
                Err(io::Error::new(io::ErrorKind::InvalidData, message))
            }
            Err(errno) => Err(errno.into()),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.take(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let message = "the target sends bytes that are no part of an answer";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_silence()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_silence()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a target's answer. Each part that is taken renews the connection's allowance.
#[derive(Debug)]
pub struct TargetBody {
    body: Incoming,
    allowance: ReadAllowance,
}

impl TargetBody {
    /// The body of an answer that a connection brings.
    pub fn new(body: Incoming, allowance: ReadAllowance) -> TargetBody {
        TargetBody { body, allowance }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.allowance.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
