//! A TCP stream that can duplicate or truncate a reply.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

const FAULT_NONE: u8 = 0;
const FAULT_DOUBLED: u8 = 1;
const FAULT_TRUNCATED: u8 = 2;

/// Length of a truncated reply in bytes, which ends it within the header block.
const TRUNCATED_BYTES: usize = 40;

/// Fault of the next reply on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamFault {
    code: Arc<AtomicU8>,
}

impl StreamFault {
    pub(crate) fn double_next(&self) {
        self.code.store(FAULT_DOUBLED, Ordering::Relaxed);
    }

    pub(crate) fn truncate_next(&self) {
        self.code.store(FAULT_TRUNCATED, Ordering::Relaxed);
    }

    fn current(&self) -> u8 {
        self.code.load(Ordering::Relaxed)
    }

    fn clear(&self) {
        self.code.store(FAULT_NONE, Ordering::Relaxed);
    }
}

/// A TCP stream with injected write faults.
#[derive(Debug)]
pub(crate) struct FaultStream {
    stream: TcpStream,
    fault: StreamFault,
    copy: Vec<u8>,
}

impl FaultStream {
    pub(crate) fn new(stream: TcpStream, fault: StreamFault) -> Self {
        Self {
            stream,
            fault,
            copy: Vec::new(),
        }
    }

    /// Sends the copy of the bytes written since the fault was injected.
    fn poll_copy(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.copy))?;
            self.copy.drain(..sent);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.fault.current() {
            FAULT_TRUNCATED => {
                let part = &buf[..buf.len().min(TRUNCATED_BYTES)];
                ready!(Pin::new(&mut self.stream).poll_write(cx, part))?;
                Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()))
            }
            FAULT_DOUBLED => {
                let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
                self.copy.extend_from_slice(&buf[..sent]);
                Poll::Ready(Ok(sent))
            }
            _ => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.copy.is_empty() {
            ready!(self.poll_copy(cx))?;
            self.fault.clear();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
