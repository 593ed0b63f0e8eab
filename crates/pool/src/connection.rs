//! One HTTP/1.1 connection to a target.

use std::{net::SocketAddr, time::Duration};

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
    pub(crate) sender: BoundedSender,
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

    /// Marks the connection as used, and returns whether it was before.
    pub(crate) fn mark_used(&mut self) -> bool {
        std::mem::replace(&mut self.is_used, true)
    }

    pub(crate) fn is_reusable(&self) -> bool {
        self.sender.is_ready()
    }
}
