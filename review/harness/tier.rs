//! Starts the processes of a small deployment, each on its own loopback address, and signals them.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http,
    proxy::{self, Cuts, Link, Source},
};

pub const CALLERS: u16 = 8226;
pub const READY: u16 = 8227;
pub const CONTROL: u16 = 8224;
pub const PEERS: u16 = 7740;
pub const TARGETS: u16 = 8080;
/// Last octet of the first keeper's proxy.
const PROXY: u8 = 51;
/// One way within a zone.
const NEAR_DELAY: Duration = Duration::from_micros(200);

/// Zones of the deployment, each in a region of its own.
pub const ZONES: [&str; 3] = ["capital-z1", "paysandu-z1", "punta-z1"];
const REGIONS: [&str; 3] = ["sur-capital", "oeste-rio", "costa-este"];

pub struct Node {
    pub name: String,
    pub host: u8,
    pub zone: usize,
    pub settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

/// The processes, their folder and their loopback network. Dropping it ends the processes.
pub struct Tier {
    pub folder: PathBuf,
    net: [u8; 2],
    _claim: TcpListener,
    pub nodes: Vec<Node>,
    /// The links to keepers that are cut.
    pub cuts: Arc<Cuts>,
    root: PathBuf,
}

/// Shape of a tier and the settings that differ between cases.
pub struct Shape {
    pub keepers: u8,
    pub entries_per_zone: u8,
    pub drain_ms: u64,
    /// Machines of the core that may be lost at once.
    pub losses_max: u8,
    /// One-way delay of what processes in other regions send to a keeper, whose links can be cut then;
    /// `None` for direct links.
    pub link_delay: Option<Duration>,
}

impl Tier {
    /// Claims a loopback network and writes the settings. Starts nothing.
    pub fn prepare(shape: &Shape) -> Tier {
        let id = std::process::id();
        let (net, claim) = (0..200u32)
            .find_map(|step| {
                let number = id.wrapping_add(step * 37);
                let net = [64 + (number % 120) as u8, 1 + ((number / 120) % 250) as u8];
                let own = SocketAddr::new(ip(net, 250), PEERS);
                TcpListener::bind(own).ok().map(|claim| (net, claim))
            })
            .expect("a free loopback network");
        let folder = std::env::temp_dir().join(format!("fulmarweir-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let root = std::env::current_dir().expect("the repository's root");
        let mut tier = Tier { folder, net, _claim: claim, nodes: Vec::new(), cuts: Arc::default(), root };
        // With proxies, other processes reach a keeper through a proxy at an address of its own.
        let seed_host = if shape.link_delay.is_some() { PROXY } else { 1 };
        let seeds: Vec<String> = (0..shape.keepers.min(3))
            .map(|index| format!("{}:{CONTROL}", ip(net, seed_host + index)))
            .collect();
        let seeds = seeds.join(",");
        for index in 0..shape.keepers {
            tier.add(true, 1 + index, usize::from(index) % 3, &seeds, shape);
        }
        for index in 0..shape.entries_per_zone * 3 {
            tier.add(false, 11 + index, usize::from(index) % 3, &seeds, shape);
        }
        tier
    }

    fn add(&mut self, keeper: bool, host: u8, zone: usize, seeds: &str, shape: &Shape) {
        let kind = if keeper { "core" } else { "front" };
        let name = format!("{kind}-{}-{host}", ZONES[zone]);
        let address = ip(self.net, host);
        let settings = self.folder.join(format!("{name}.ini"));
        // The template deploy/node.ini as the platform fills it in.
        let role = if keeper { "keeper" } else { "entry" };
        let data = self.folder.join(format!("{name}-data"));
        let mut text = format!("[vm]\nname = {name}\ndata-centre = {}\nrole = {role}\n", ZONES[zone]);
        if keeper {
            text += &format!("data-folder = {}\n", data.display());
        }
        text += "\n[listen]\n";
        if keeper {
            text += &format!("control = {address}:{CONTROL}\n");
        } else {
            text += &format!("callers = {address}:{CALLERS}\nready = {address}:{READY}\n");
        }
        if let Some(delay) = shape.link_delay.filter(|_| keeper) {
            let advertised = SocketAddr::new(ip(self.net, host - 1 + PROXY), PEERS);
            let link = Link { host, zone, near: NEAR_DELAY.min(delay), far: delay };
            proxy::start(advertised, SocketAddr::new(address, PEERS), link, &self.cuts);
            text += &format!("advertise-peers = {advertised}\n");
        }
        text += &format!(
            "peers = {address}:{PEERS}\nmetrics = {address}:9464\n\n[peers]\nseeds = {seeds}\n\
             first-start = true\nlosses-max = {}\n\n[bounds]\nannounce-ms = 1200\n\
             drain-ms = {}\nstop-grace-s = 6\ncatch-up-s = 4\n\n\
             [extra]\nshare = 0.2\nburst = 58\nwindow-s = 10\n\n[regions]\n",
            shape.losses_max, shape.drain_ms
        );
        for (zone, region) in ZONES.iter().zip(REGIONS) {
            text += &format!("{zone} = {region}\n");
        }
        fs::write(&settings, text).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        self.nodes.push(Node { name, host, zone, settings, log, child: None });
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, host), port)
    }

    pub fn keepers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].host < 10).collect()
    }

    pub fn entries(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].host >= 10).collect()
    }

    pub fn control_of(&self, node: usize) -> SocketAddr {
        self.address(self.nodes[node].host, CONTROL)
    }

    pub fn callers_of(&self, node: usize) -> SocketAddr {
        self.address(self.nodes[node].host, CALLERS)
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, node: usize) {
        let program = self.root.join("target/release/fulmarweir-node");
        let node = &mut self.nodes[node];
        let log = fs::OpenOptions::new().create(true).append(true).open(&node.log);
        let log = log.expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be opened twice");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&node.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                let source = Source { process: child.id(), zone: node.zone };
                self.cuts.sources.lock().unwrap().push(source);
                node.child = Some(child);
            }
            Err(error) => {
                // The processes that run are ended as the tier is dropped.
                panic!("the program does not start: {error}");
            }
        }
    }

    pub fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    /// Every later start is one of a deployment that has run before.
    pub fn end_first_start(&self) {
        for node in &self.nodes {
            let text = fs::read_to_string(&node.settings).expect("the settings can be read");
            let text = text.replace("first-start = true", "first-start = false");
            fs::write(&node.settings, text).expect("the settings can be written");
        }
    }

    pub fn id(&self, node: usize) -> u32 {
        self.nodes[node].child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to a process that this tier has started.
    pub fn signal(&self, node: usize, name: &str) {
        let id = self.id(node);
        if id != 0 {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
        }
    }

    /// Ends a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How a process has ended, if it has.
    pub fn ended(&mut self, node: usize) -> Option<std::process::ExitStatus> {
        self.nodes[node].child.as_mut()?.try_wait().ok().flatten()
    }

    /// Removes the disk of a stopped process.
    pub fn wipe(&self, node: usize) {
        let folder = self.folder.join(format!("{}-data", self.nodes[node].name));
        let _ = fs::remove_dir_all(folder);
    }

    /// Cuts a keeper off from all other keepers. Entry VMs reach it.
    pub fn cut_from_core(&self, node: usize) {
        let (own, host) = (self.id(node), self.nodes[node].host);
        for other in self.keepers().into_iter().filter(|other| *other != node) {
            self.cuts.cut(self.id(other), host);
            self.cuts.cut(own, self.nodes[other].host);
        }
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let address = self.address(self.nodes[node].host, READY);
        let limit = Duration::from_secs(1);
        let answer = http::call(address, "GET", "/fulmarweir/ready", &[("host", "p")], &[], limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all entry VMs are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.entries().iter().all(|node| self.is_ready(*node)) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn log_of(&self, node: usize) -> String {
        fs::read_to_string(&self.nodes[node].log).unwrap_or_default()
    }

    /// Ends all processes and removes the folder, unless its logs are wanted.
    pub fn stop(&mut self) {
        for node in 0..self.nodes.len() {
            self.signal(node, "CONT");
            self.kill(node);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    #[allow(dead_code)]
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.stop();
    }
}

fn ip(net: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host))
}
