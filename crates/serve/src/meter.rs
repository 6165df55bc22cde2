//! A connection whose other end may send only so many bytes before the head of its answer is whole.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may still be read; shared by a connection and whoever bounds it.
#[derive(Clone, Debug)]
pub struct ByteBound(Rc<Cell<usize>>);

impl Default for ByteBound {
    fn default() -> Self {
        Self(Rc::new(Cell::new(usize::MAX)))
    }
}

impl ByteBound {
    /// Lets the other end send this many bytes more.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Ends the bound.
    pub fn lift(&self) {
        self.0.set(usize::MAX);
    }
}

/// A connection that fails once its bound on bytes is used up.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    bound: ByteBound,
}

impl Metered {
    /// Bounds a connection.
    pub fn new(stream: TcpStream, bound: ByteBound) -> Self {
        Self { stream, bound }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.bound.0.get();
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head of an answer without end");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if left != usize::MAX {
            self.bound.set(left.saturating_sub(buffer.filled().len() - before));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
