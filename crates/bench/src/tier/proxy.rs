//! A TCP proxy that can delay, hold back or reset connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::error::BenchError;

type Result<T> = std::result::Result<T, Report<BenchError>>;

const CHUNK_BYTES: usize = 16 << 10;
/// Limit on chunks in flight in one direction. At the limit, reading pauses, as it does when the
/// TCP window is full.
const CHUNKS_MAX: usize = 256;

/// State of a link, which applies to all connections through the link.
///
/// Held bytes are sent once the link recovers, as TCP would retransmit them. A new connection on
/// a held link opens but stays silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkState {
    /// One-way delay.
    pub delay: Duration,
    /// Whether bytes from the side that connected are held back.
    pub hold_forward: bool,
    /// Whether bytes to the side that connected are held back.
    pub hold_backward: bool,
    /// Whether open connections are closed and new connections are closed immediately.
    pub reset: bool,
}

impl LinkState {
    /// Returns the state of a link that silently holds back bytes in both directions.
    #[must_use]
    pub const fn cut() -> Self {
        Self {
            delay: Duration::ZERO,
            hold_forward: true,
            hold_backward: true,
            reset: false,
        }
    }

    /// Returns the state of a working link with a one-way delay.
    #[must_use]
    pub const fn delayed(delay: Duration) -> Self {
        Self {
            delay,
            hold_forward: false,
            hold_backward: false,
            reset: false,
        }
    }
}

/// Selects the link state for a new connection by the address of the side that connected.
pub(crate) type LinkSelector = Box<dyn Fn(SocketAddr) -> watch::Receiver<LinkState> + Send + Sync>;

/// A TCP proxy in front of one listening address.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl LinkProxy {
    /// Listens on `listen` and forwards connections to `upstream`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, upstream: SocketAddr) -> Result<Self> {
        let state = watch::Sender::new(LinkState::default());
        let link = state.clone();
        let select_link = Box::new(move |_| link.subscribe());
        Self::start_with(listen, upstream, state, select_link).await
    }

    pub(crate) async fn start_with(
        listen: SocketAddr,
        upstream: SocketAddr,
        state: watch::Sender<LinkState>,
        select_link: LinkSelector,
    ) -> Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .change_context(BenchError::Io)?;
        let address = listener.local_addr().change_context(BenchError::Io)?;
        let proxy = Self {
            address,
            state,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let accept = accept_connections(
            listener,
            upstream,
            select_link,
            proxy.stop.clone(),
            proxy.tasks.clone(),
        );
        proxy.tasks.spawn(accept);
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of the link for open and new connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Closes all connections and waits for all tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream: SocketAddr,
    select_link: LinkSelector,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    let select_link = Arc::new(select_link);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((client, source)) = accepted else {
            continue;
        };
        let stop = stop.clone();
        let select_link = Arc::clone(&select_link);
        tasks.spawn(async move {
            let link = select_link(source);
            tokio::select! {
                () = proxy_connection(client, upstream, link) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn proxy_connection(
    client: TcpStream,
    upstream: SocketAddr,
    mut link: watch::Receiver<LinkState>,
) {
    if link.borrow().reset {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = proxy_direction(client_read, server_write, link.clone(), |s| s.hold_forward);
    let backward = proxy_direction(server_read, client_write, link.clone(), |s| s.hold_backward);
    let directions = async { tokio::join!(forward, backward) };
    tokio::select! {
        _ = directions => {}
        _ = link.wait_for(|state| state.reset) => {}
    }
}

/// A chunk of the stream and the time at which it may be sent.
struct TimedChunk {
    due: Instant,
    bytes: Bytes,
}

async fn proxy_direction(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    link: watch::Receiver<LinkState>,
    is_held: fn(&LinkState) -> bool,
) {
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    let reading = read_chunks(read, sender, link.clone());
    let writing = write_chunks(write, receiver, link, is_held);
    tokio::join!(reading, writing);
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<TimedChunk>,
    link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = match read.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        let chunk = TimedChunk {
            due: Instant::now() + link.borrow().delay,
            bytes: Bytes::copy_from_slice(&buffer[..count]),
        };
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<TimedChunk>,
    mut link: watch::Receiver<LinkState>,
    is_held: fn(&LinkState) -> bool,
) {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        if link.wait_for(|state| !is_held(state)).await.is_err() {
            return;
        }
        if write.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    // The end of the stream is held back like its data.
    if link.wait_for(|state| !is_held(state)).await.is_ok() {
        let _ = write.shutdown().await;
    }
}
