//! Limits the bytes that are read from a connection before a response head is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::progress::Progress;

/// Most bytes of one read. A connection's buffer grows to twice its size whenever a read fills it,
/// up to the largest head; one byte less than a power of two keeps it at that power.
pub const MAX_READ_BYTES: usize = 16 * 1024 - 1;

/// Reads at most [`MAX_READ_BYTES`] and returns their number.
pub fn poll_read_some(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    let length = buffer.remaining().min(MAX_READ_BYTES);
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    let read = part.filled().len();
    buffer.advance(read);
    Poll::Ready(Ok(read))
}

/// Number of bytes that may still be read; shared by a stream and the code that sets the limit.
#[derive(Clone, Debug)]
pub struct ReadLimit(Rc<Cell<usize>>);

impl Default for ReadLimit {
    fn default() -> Self {
        Self(Rc::new(Cell::new(usize::MAX)))
    }
}

impl ReadLimit {
    /// Allows this many more bytes to be read.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Removes the limit.
    pub fn clear(&self) {
        self.0.set(usize::MAX);
    }
}

/// A TCP stream whose reads fail once the limit is used up.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
    progress: Progress,
}

impl LimitedStream {
    /// Wraps a stream with a limit; `progress` is told of reads and writes.
    pub fn new(stream: TcpStream, limit: ReadLimit, progress: Progress) -> Self {
        Self { stream, limit, progress }
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        self.progress.note_end();
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.limit.0.get();
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head of an answer without end");
            return Poll::Ready(Err(error));
        }
        let read = poll_read_some(&mut self.stream, cx, buffer);
        self.progress.note_read(&read);
        let read = ready!(read)?;
        if left != usize::MAX {
            self.limit.set(left.saturating_sub(read));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.progress.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.progress.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
