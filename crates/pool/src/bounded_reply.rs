//! Replies of targets, whose connections are closed when a reply does not end.
//!
//! Load pattern: a target in trouble sends bytes as fast as it can, in a head, in interim answers or
//! in a body. Reading them takes the processor time of all other requests.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, LazyLock,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use fulmarweir_bounds::{LeasedBuffer, MemoryBudget};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, Connection, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest accepted reply body in bytes.
const REPLY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Largest reply body that may use all of [`REPLIES_MAX_BYTES`], of which larger ones leave a part free.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Memory of this process for all reply bodies, in bytes. A body that finds none left is given up.
const REPLIES_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Largest read buffer of a connection in bytes, and so the largest head of a reply.
const READ_BUFFER_MAX_BYTES: usize = 128 * 1024;
/// Most pieces of a reply body, so that a body of tiny chunks is given up long before its bytes are
/// used up.
const BODY_PIECES_MAX: usize = 65_536;
/// Bytes that are read of a reply until its head is complete: interim answers, the head, and what has
/// arrived with it.
const HEAD_MAX_BYTES: usize = 2 * READ_BUFFER_MAX_BYTES;
/// Bytes that are read after the head, with lengths of chunks and trailers.
const BODY_MAX_BYTES: usize = REPLY_MAX_BYTES + 1024 * 1024;

/// A connection whose reads fail once the bytes that a reply may have are used up.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    allowance: Arc<AtomicUsize>,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let left = this.allowance.load(Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("the reply does not end")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        this.allowance.store(left.saturating_sub(read), Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Sends requests on one connection, one at a time. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct BoundedSender {
    sender: SendRequest<Full<Bytes>>,
    allowance: Arc<AtomicUsize>,
}

impl BoundedSender {
    /// Starts HTTP/1.1 on a connection to a target. The returned future drives the connection.
    pub(crate) async fn start(
        stream: TcpStream,
    ) -> hyper::Result<(Self, Connection<TokioIo<BoundedStream>, Full<Bytes>>)> {
        let allowance = Arc::new(AtomicUsize::new(HEAD_MAX_BYTES));
        let bounded = BoundedStream {
            stream,
            allowance: Arc::clone(&allowance),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(bounded))
            .await?;
        Ok((Self { sender, allowance }, connection))
    }

    /// Sends a request and returns its reply once the head is complete.
    ///
    /// # Errors
    ///
    /// The error holds the request if nothing of it was written.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.store(HEAD_MAX_BYTES, Relaxed);
        let response = self.sender.try_send_request(request).await?;
        self.allowance.store(BODY_MAX_BYTES, Relaxed);
        Ok(response)
    }

    /// Whether the connection was closed here, since a reply did not end.
    pub(crate) fn is_used_up(&self) -> bool {
        self.allowance.load(Relaxed) == 0
    }

    /// Waits until the connection can take a request; returns false if it is closed.
    pub(crate) async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Why a reply body was not read whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// The connection broke, or the body was not valid HTTP.
    Broken,
    /// The body was larger than the limit, or in too many pieces, or there was no memory left for it, or it was
    /// slow while others needed the memory.
    TooLarge,
}

/// Memory of the reply bodies of this process.
static REPLY_MEMORY: LazyLock<MemoryBudget> =
    LazyLock::new(|| MemoryBudget::new(REPLIES_MAX_BYTES, SMALL_BODY_BYTES));

/// Returns the memory of the reply bodies of this process.
#[must_use]
pub fn reply_memory() -> &'static MemoryBudget {
    &REPLY_MEMORY
}

/// Reads a whole reply body.
pub(crate) async fn read_reply_body(mut body: Incoming) -> Result<Bytes, BodyFault> {
    let mut buffer = LeasedBuffer::new(REPLY_MEMORY.start_transfer());
    let mut pieces = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.transfer().cancelled() => return Err(BodyFault::TooLarge),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(buffer.freeze());
        };
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        pieces += 1;
        if pieces > BODY_PIECES_MAX {
            return Err(BodyFault::TooLarge);
        }
        if buffer.len() + data.len() > REPLY_MAX_BYTES {
            return Err(BodyFault::TooLarge);
        }
        let appended = buffer.append(&data);
        appended.map_err(|_| BodyFault::TooLarge)?;
    }
}
