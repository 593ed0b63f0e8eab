//! Proxies before the addresses at which VMs reach each other, by which links between two VMs are cut.
//!
//! A cut works as a network partition does: what was sent is neither delivered nor refused. Bytes on
//! connections from before it arrive once it has healed; connections that were opened meanwhile are
//! closed then.

use std::{
    collections::{HashMap, HashSet},
    fs,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

/// Number of a VM, which is the last octet of its addresses.
pub type Host = u8;

const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct LinkState {
    /// Pairs of VMs whose link is cut, the lower number first.
    cut: HashSet<(Host, Host)>,
    /// VMs by the id of their process.
    processes: HashMap<u32, Host>,
}

/// The links between VMs.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkState>>);

fn pair(a: Host, b: Host) -> (Host, Host) {
    (a.min(b), a.max(b))
}

impl Links {
    pub fn cut(&self, a: Host, b: Host) {
        self.0.lock().unwrap().cut.insert(pair(a, b));
    }

    pub fn heal(&self) {
        self.0.lock().unwrap().cut.clear();
    }

    pub fn add_process(&self, process: u32, host: Host) {
        self.0.lock().unwrap().processes.insert(process, host);
    }

    fn is_cut(&self, a: Host, b: Host) -> bool {
        self.0.lock().unwrap().cut.contains(&pair(a, b))
    }

    /// Starts the proxy before the VM `to`.
    pub fn start_proxy(&self, to: Host, listen: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(listen).expect("the proxy can listen");
        let links = self.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let links = links.clone();
                spawn(move || links.carry(to, stream, target));
            }
        });
    }

    fn carry(&self, to: Host, stream: TcpStream, target: SocketAddr) {
        let Some(from) = self.origin_of(&stream) else {
            return;
        };
        if self.is_cut(from, to) {
            while self.is_cut(from, to) {
                sleep(POLL);
            }
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = (stream.set_nodelay(true), server.set_nodelay(true));
        let (Ok(back_from), Ok(back_to)) = (server.try_clone(), stream.try_clone()) else {
            return;
        };
        let links = self.clone();
        let back = spawn(move || links.copy(from, to, back_from, back_to));
        self.copy(from, to, stream, server);
        let _ = back.join();
    }

    /// Copies one direction of a connection between two VMs until it ends.
    fn copy(&self, a: Host, b: Host, mut source: TcpStream, mut sink: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = match source.read(&mut buffer) {
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            while self.is_cut(a, b) {
                sleep(POLL);
            }
            if read == 0 || sink.write_all(&buffer[..read]).is_err() {
                let _ = sink.shutdown(Shutdown::Write);
                return;
            }
        }
    }

    /// Returns the VM that has opened a connection.
    fn origin_of(&self, stream: &TcpStream) -> Option<Host> {
        let (from, to) = (stream.peer_addr().ok()?, stream.local_addr().ok()?);
        let inode = socket_inode(from, to)?;
        let processes = self.0.lock().unwrap().processes.clone();
        let name = format!("socket:[{inode}]");
        let owns = |process: &u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd"))
                .into_iter()
                .flatten()
                .flatten();
            let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
            links.any(|link| link.to_string_lossy() == name)
        };
        processes
            .into_iter()
            .find(|(process, _)| owns(process))
            .map(|(_, host)| host)
    }
}

/// Returns the inode of the socket at `own` that is connected to `other`.
fn socket_inode(own: SocketAddr, other: SocketAddr) -> Option<u64> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            let ip = u32::from_ne_bytes(address.ip().octets());
            format!("{ip:08X}:{:04X}", address.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let (own, other) = (hex(own), hex(other));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.len() > 9 && row[1] == own && row[2] == other)?;
    row[9].parse().ok()
}
