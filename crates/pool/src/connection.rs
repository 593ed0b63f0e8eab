//! One HTTP/1.1 connection to a target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::sleep};
use tokio_util::task::TaskTracker;

use crate::slots::ConnectionSlot;

/// Time that a target may need to notice a closed connection, in milliseconds.
///
/// The slot stays taken for as long, so a new connection never overlaps at the target with the one it replaces.
const CLOSE_SETTLE_MS: u64 = 25;

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
}

impl TargetConnection {
    /// Connects within a slot that is given back some time after the connection has closed.
    pub(crate) async fn open(
        address: SocketAddr,
        slot: ConnectionSlot,
        tasks: &TaskTracker,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tasks.spawn(async move {
            let _ = connection.await;
            sleep(Duration::from_millis(CLOSE_SETTLE_MS)).await;
            drop(slot);
        });
        Some(Self { sender })
    }

    pub(crate) fn is_reusable(&self) -> bool {
        self.sender.is_ready()
    }
}
