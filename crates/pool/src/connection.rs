//! One HTTP/1.1 connection to a target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::TrySendError};
use tokio::{net::TcpStream, time::sleep};
use tokio_util::task::TaskTracker;

use crate::{bounded_reply::BoundedSender, slots::ConnectionSlot};

/// Time that a target may need to detect a closed connection, in milliseconds.
///
/// The connection slot stays occupied for this time, so that the target never holds a new
/// connection together with the one that it replaces.
const CLOSE_SETTLE_MS: u64 = 25;

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: BoundedSender,
    /// Whether it has carried a request. The late copy of a reply to that may still arrive.
    is_used: bool,
}

impl TargetConnection {
    /// Opens a connection that occupies `slot` until [`CLOSE_SETTLE_MS`] after it has closed.
    pub(crate) async fn open(
        address: SocketAddr,
        slot: ConnectionSlot,
        tasks: &TaskTracker,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = BoundedSender::start(stream).await.ok()?;
        tasks.spawn(async move {
            let _ = connection.await;
            sleep(Duration::from_millis(CLOSE_SETTLE_MS)).await;
            drop(slot);
        });
        Some(Self {
            sender,
            is_used: false,
        })
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
        self.is_used = true;
        self.sender.send(request).await
    }

    pub(crate) fn is_used(&self) -> bool {
        self.is_used
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    pub(crate) fn is_reusable(&self) -> bool {
        self.sender.is_ready()
    }
}
