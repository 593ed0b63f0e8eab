//! A loopback proxy for one address, whose connections can be harmed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering::SeqCst},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    time::sleep,
};
use tokio_util::task::TaskTracker;

const CHUNK_BYTES: usize = 16 * 1024;
const DELAY_MS: u64 = 120;
const LOOK_MS: u64 = 10;

/// What happens to the bytes of all connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum LinkMode {
    Open,
    Delayed,
    /// Every connection is reset, and new ones as well.
    Reset,
    /// Bytes towards the upstream vanish.
    CutTo,
    /// Bytes from the upstream vanish.
    CutFrom,
    /// Both.
    Silent,
}

impl LinkMode {
    pub(crate) const HARMS: [Self; 5] = [
        Self::Delayed,
        Self::Reset,
        Self::CutTo,
        Self::CutFrom,
        Self::Silent,
    ];

    fn from_number(number: u8) -> Self {
        let all = [Self::Open].into_iter().chain(Self::HARMS);
        let mut found = all.filter(|mode| *mode as u8 == number);
        found.next().unwrap_or(Self::Open)
    }

    const fn loses(self, towards: bool) -> bool {
        matches!(
            (self, towards),
            (Self::Silent, _) | (Self::CutTo, true) | (Self::CutFrom, false)
        )
    }
}

/// The handle to one proxy.
#[derive(Clone, Debug)]
pub(crate) struct LinkProxy {
    mode: Arc<AtomicU8>,
}

impl LinkProxy {
    /// Listens at `address` and forwards to `upstream`.
    pub(crate) async fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        tasks: &TaskTracker,
    ) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("a free loopback address");
        let mode = Arc::new(AtomicU8::new(LinkMode::Open as u8));
        let (shared, spawner) = (Arc::clone(&mode), tasks.clone());
        // Ends with the runtime: daemons may use it until the last of them has gone.
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let mode = Arc::clone(&shared);
                spawner.spawn(carry(caller, upstream, mode));
            }
        });
        Self { mode }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.store(mode as u8, SeqCst);
    }
}

async fn carry(caller: TcpStream, upstream: SocketAddr, mode: Arc<AtomicU8>) {
    if LinkMode::from_number(mode.load(SeqCst)) == LinkMode::Reset {
        return;
    }
    let Ok(target) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (caller_in, caller_out) = caller.into_split();
    let (target_in, target_out) = target.into_split();
    tokio::select! {
        () = pump(caller_in, target_out, true, &mode) => {}
        () = pump(target_in, caller_out, false, &mode) => {}
        () = watch_reset(&mode) => {}
    }
}

async fn watch_reset(mode: &AtomicU8) {
    while LinkMode::from_number(mode.load(SeqCst)) != LinkMode::Reset {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Copies one direction. A connection that has lost bytes stays silent for good.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, towards: bool, mode: &AtomicU8) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut lost = false;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let mode = LinkMode::from_number(mode.load(SeqCst));
        lost |= mode.loses(towards);
        if lost {
            continue;
        }
        if mode == LinkMode::Delayed {
            sleep(Duration::from_millis(DELAY_MS)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
