//! Link states for each ordered pair of daemons.
//!
//! All connections to a daemon pass through the same proxy. The proxy finds the daemon that
//! opened a connection by the owner of the socket in `/proc`, so that a link between two daemons
//! can be cut without affecting other links.

use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
};

use fulmarweir_base::{VmName, lock};
use tokio::sync::watch;

use super::proxy::LinkState;

/// An ordered pair of daemons: the side that opens connections and the side that accepts them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LinkEnds {
    from: VmName,
    to: VmName,
}

/// Link states between daemons, and the process IDs of the daemons.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkMesh {
    links: Arc<Mutex<HashMap<LinkEnds, watch::Sender<LinkState>>>>,
    pids: Arc<Mutex<HashMap<VmName, u32>>>,
}

impl LinkMesh {
    pub(crate) fn set_pid(&self, name: &VmName, pid: u32) {
        lock(&self.pids).insert(name.clone(), pid);
    }

    /// Sets the link state for connections that `from` opens to `to`.
    pub(crate) fn set_state(&self, from: &VmName, to: &VmName, state: LinkState) {
        self.sender(from, to).send_replace(state);
    }

    /// Returns the link state for a connection from `source` to `to`. The default state applies if
    /// no registered daemon owns the socket.
    pub(crate) fn link_of(&self, source: SocketAddr, to: &VmName) -> watch::Receiver<LinkState> {
        match self.socket_owner(source) {
            Some(from) => self.sender(&from, to).subscribe(),
            None => watch::Sender::new(LinkState::default()).subscribe(),
        }
    }

    fn sender(&self, from: &VmName, to: &VmName) -> watch::Sender<LinkState> {
        let ends = LinkEnds {
            from: from.clone(),
            to: to.clone(),
        };
        lock(&self.links).entry(ends).or_default().clone()
    }

    fn socket_owner(&self, source: SocketAddr) -> Option<VmName> {
        let inode = socket_inode(source)?;
        let pids = lock(&self.pids).clone();
        let owner = pids.into_iter().find(|(_, pid)| owns_socket(*pid, &inode));
        owner.map(|(name, _)| name)
    }
}

/// Columns of `/proc/net/tcp`, counted from zero.
const LOCAL_ADDRESS: usize = 1;
const INODE: usize = 9;

fn socket_inode(source: SocketAddr) -> Option<String> {
    let IpAddr::V4(address) = source.ip() else {
        return None;
    };
    let number = u32::from_ne_bytes(address.octets());
    let local = format!("{number:08X}:{:04X}", source.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(str::split_ascii_whitespace);
    let row = rows.find(|row| row.clone().nth(LOCAL_ADDRESS) == Some(&local))?;
    row.clone().nth(INODE).map(str::to_owned)
}

fn owns_socket(pid: u32, inode: &str) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let symlinks = entries
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok());
    let mut texts = symlinks.map(|symlink| symlink.to_string_lossy().into_owned());
    texts.any(|text| text == wanted)
}
