//! A loopback TCP proxy that delays, drops or resets the traffic to one address.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering::SeqCst},
    },
    time::Duration,
};

use fulmarweir_base::lock;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

const CHUNK_BYTES: usize = 16 * 1024;
const DELAY_MS: u64 = 120;
const RESET_POLL_MS: u64 = 10;

/// What a proxy does with the bytes of all its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum LinkMode {
    Open,
    Delayed,
    /// Every connection is reset, also each new one.
    Reset,
    /// Bytes to the upstream are dropped.
    CutTo,
    /// Bytes from the upstream are dropped.
    CutFrom,
    /// Bytes in both directions are dropped.
    Silent,
}

impl LinkMode {
    pub(crate) const FAULTS: [Self; 5] = [
        Self::Delayed,
        Self::Reset,
        Self::CutTo,
        Self::CutFrom,
        Self::Silent,
    ];

    fn from_number(number: u8) -> Self {
        let all = [Self::Open].into_iter().chain(Self::FAULTS);
        let mut found = all.filter(|mode| *mode as u8 == number);
        found.next().unwrap_or(Self::Open)
    }

    const fn drops(self, to_upstream: bool) -> bool {
        matches!(
            (self, to_upstream),
            (Self::Silent, _) | (Self::CutTo, true) | (Self::CutFrom, false)
        )
    }
}

/// Links that are cut between all targets and single VMs, by the address that a VM connects from.
#[derive(Clone, Debug, Default)]
pub(crate) struct VmCuts {
    modes: Arc<Mutex<HashMap<IpAddr, LinkMode>>>,
}

impl VmCuts {
    pub(crate) const MODES: [LinkMode; 3] = [LinkMode::Reset, LinkMode::CutTo, LinkMode::Silent];

    pub(crate) fn set(&self, vm: IpAddr, mode: LinkMode) {
        lock(&self.modes).insert(vm, mode);
    }

    pub(crate) fn clear(&self) {
        lock(&self.modes).clear();
    }

    fn mode_of(&self, vm: IpAddr) -> LinkMode {
        lock(&self.modes)
            .get(&vm)
            .copied()
            .unwrap_or(LinkMode::Open)
    }
}

/// The mode of one connection: that of its proxy, or that of the VM which has opened it.
#[derive(Clone)]
struct ConnectionMode {
    of_proxy: Arc<AtomicU8>,
    cuts: VmCuts,
    vm: IpAddr,
}

impl ConnectionMode {
    fn get(&self) -> LinkMode {
        match LinkMode::from_number(self.of_proxy.load(SeqCst)) {
            LinkMode::Open => self.cuts.mode_of(self.vm),
            mode => mode,
        }
    }
}

/// The tasks that accept connections for all proxies of a run.
///
/// Daemons use the proxies until the last daemon has stopped, so these tasks end after all others.
#[derive(Debug, Default)]
pub(crate) struct ProxyListeners {
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl ProxyListeners {
    /// Closes all listeners, so that another run can use their addresses.
    pub(crate) async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Handle of a running proxy, which sets its mode.
#[derive(Clone, Debug)]
pub(crate) struct LinkProxy {
    mode: Arc<AtomicU8>,
}

impl LinkProxy {
    /// Listens at `address` and forwards to `upstream`. `tasks` runs the open connections.
    pub(crate) async fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        cuts: &VmCuts,
        listeners: &ProxyListeners,
        tasks: &TaskTracker,
    ) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the loopback address is free");
        let mode = Arc::new(AtomicU8::new(LinkMode::Open as u8));
        let (shared, spawner, cuts) = (Arc::clone(&mode), tasks.clone(), cuts.clone());
        let stop = listeners.stop.clone();
        listeners.tasks.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((caller, from)) = accepted else {
                    return;
                };
                let mode = ConnectionMode {
                    of_proxy: Arc::clone(&shared),
                    cuts: cuts.clone(),
                    vm: from.ip(),
                };
                spawner.spawn(forward_connection(caller, upstream, mode));
            }
        });
        Self { mode }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.store(mode as u8, SeqCst);
    }
}

async fn forward_connection(caller: TcpStream, upstream: SocketAddr, mode: ConnectionMode) {
    if mode.get() == LinkMode::Reset {
        return;
    }
    let Ok(upstream_stream) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), upstream_stream.set_nodelay(true));
    let (caller_in, caller_out) = caller.into_split();
    let (upstream_in, upstream_out) = upstream_stream.into_split();
    tokio::select! {
        () = forward_direction(caller_in, upstream_out, true, &mode) => {}
        () = forward_direction(upstream_in, caller_out, false, &mode) => {}
        () = wait_for_reset(&mode) => {}
    }
}

async fn wait_for_reset(mode: &ConnectionMode) {
    while mode.get() != LinkMode::Reset {
        sleep(Duration::from_millis(RESET_POLL_MS)).await;
    }
}

/// Forwards one direction. Once bytes were dropped, the direction drops all later bytes as well.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    to_upstream: bool,
    mode: &ConnectionMode,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut has_dropped = false;
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let mode = mode.get();
        has_dropped |= mode.drops(to_upstream);
        if has_dropped {
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
