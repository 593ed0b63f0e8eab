//! Replies of targets, whose connections are closed when a reply does not end.
//!
//! Load pattern: a target in trouble sends bytes as fast as it can, in a head, in interim answers or
//! in a body. Reading them takes the processor time of all other requests.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
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
/// Most pieces of a reply body, so that a body of tiny chunks is given up long before its bytes are
/// used up.
const BODY_PIECES_MAX: usize = 65_536;
/// Bytes that are read of a reply until its head is complete: interim answers, the head, and what has
/// arrived with it.
const HEAD_MAX_BYTES: usize = 512 * 1024;
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
        let (sender, connection) = http1::handshake(TokioIo::new(bounded)).await?;
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
    /// The body was larger than the limit, or in too many pieces.
    TooLarge,
}

/// Reads a whole reply body.
pub(crate) async fn read_reply_body(mut body: Incoming) -> Result<Bytes, BodyFault> {
    let mut bytes = BytesMut::new();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        pieces += 1;
        if bytes.len() + data.len() > REPLY_MAX_BYTES || pieces > BODY_PIECES_MAX {
            return Err(BodyFault::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
