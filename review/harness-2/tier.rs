//! Starts the processes of a small deployment on loopback, each with an address of its own.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http, proxy};

const CALLERS_PORT: u16 = 8226;
const READY_PORT: u16 = 8227;
const CONTROL_PORT: u16 = 8224;
const PEERS_PORT: u16 = 7740;
const METRICS_PORT: u16 = 9464;
/// Host of the address by which a script claims its network.
const CLAIM_HOST: u8 = 250;
/// Added to the host of a keeper, gives that of the proxy before it.
const PROXY_HOST_OFFSET: u8 = 50;

/// The bounds of the deployment, as its sheet has them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub heartbeat_ms: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub catch_up_s: u64,
    pub retry_budget: f64,
    pub budget_window_s: u64,
    pub budget_extra: u64,
    pub losses_max: u32,
}

/// Those of the sheet of `masamadre-comun`.
pub const MASAMADRE: Bounds = Bounds {
    heartbeat_ms: 1_200,
    drain_ms: 4_000,
    grace_s: 6,
    catch_up_s: 4,
    retry_budget: 0.2,
    budget_window_s: 10,
    budget_extra: 58,
    losses_max: 1,
};

/// Those of the sheet of `tsog-permits`.
pub const TSOG: Bounds = Bounds {
    heartbeat_ms: 1_200,
    drain_ms: 3_000,
    grace_s: 6,
    catch_up_s: 4,
    retry_budget: 0.2,
    budget_window_s: 10,
    budget_extra: 52,
    losses_max: 1,
};

/// A zone and its region.
pub type Zone = (&'static str, &'static str);

/// The zones of `masamadre-comun`.
pub const MASAMADRE_ZONES: [Zone; 3] = [
    ("punta-z1", "costa-este"),
    ("capital-z1", "sur-capital"),
    ("paysandu-z1", "oeste-rio"),
];

/// The zones of `tsog-permits`.
pub const TSOG_ZONES: [Zone; 3] = [
    ("ub-sukhbaatar", "ulaanbaatar"),
    ("dk-central", "darkhan"),
    ("er-bayan", "erdenet"),
];

/// What is between the machines.
pub enum Network {
    /// Nothing but loopback.
    Direct,
    /// What is sent to keepers outside of the first zone takes this time, one way.
    RegionDelay(Duration),
}

pub struct Node {
    pub name: String,
    pub host: u8,
    pub is_keeper: bool,
    pub centre: &'static str,
    child: Option<Child>,
}

pub struct Tier {
    folder: PathBuf,
    program: PathBuf,
    net: [u8; 2],
    bounds: Bounds,
    keepers: u8,
    zones: &'static [Zone],
    network: Network,
    pub nodes: Vec<Node>,
    _claim: TcpListener,
}

impl Tier {
    /// Starts a keeper in each of `zones`, and entry machines in the zones with these numbers.
    pub fn start(
        program: &Path,
        bounds: Bounds,
        zones: &'static [Zone],
        entry_zones: &[usize],
        network: Network,
    ) -> Self {
        let keepers = zones.len() as u8;
        let entries = entry_zones.len() as u8;
        let (net, claim) = claim_net();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let mut tier = Self {
            folder,
            program: program.to_owned(),
            net,
            bounds,
            keepers,
            zones,
            network,
            nodes: Vec::new(),
            _claim: claim,
        };
        for number in 0..keepers + entries {
            let is_keeper = number < keepers;
            let kind = if is_keeper { "core" } else { "front" };
            let in_kind = if is_keeper { number } else { number - keepers };
            let zone = match is_keeper {
                true => usize::from(in_kind),
                false => entry_zones[usize::from(in_kind)],
            };
            let node = Node {
                name: format!("{kind}-{}", in_kind + 1),
                host: 1 + number,
                is_keeper,
                centre: zones[zone].0,
                child: None,
            };
            tier.nodes.push(node);
        }
        for index in 0..usize::from(keepers) {
            let own = tier.address(tier.nodes[index].host, PEERS_PORT);
            let advertised = tier.peers(index);
            if let Network::RegionDelay(delay) = tier.network
                && own != advertised
            {
                proxy::start(advertised, own, delay);
            }
        }
        for index in 0..tier.nodes.len() {
            tier.write_settings(index, true);
            tier.spawn(index);
        }
        sleep(Duration::from_millis(1_500));
        // Every later start is a restart.
        for index in 0..tier.nodes.len() {
            tier.write_settings(index, false);
        }
        tier
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(self.nodes[index].host, CONTROL_PORT)
    }

    /// The address by which other machines know this one.
    fn peers(&self, index: usize) -> SocketAddr {
        let node = &self.nodes[index];
        let has_proxy = match self.network {
            Network::Direct => false,
            Network::RegionDelay(_) => node.is_keeper && node.centre != self.zones[0].0,
        };
        let offset = if has_proxy { PROXY_HOST_OFFSET } else { 0 };
        self.address(node.host + offset, PEERS_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let keepers = 0..usize::from(self.keepers);
        keepers.map(|index| self.control(index)).collect()
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.address(self.nodes[index].host, CALLERS_PORT)
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        let entries = usize::from(self.keepers)..self.nodes.len();
        entries.map(|index| self.callers(index)).collect()
    }

    /// Waits until all entry machines say that they are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        let entries = usize::from(self.keepers)..self.nodes.len();
        let request = http::encode(
            "GET /fulmarweir/ready HTTP/1.1",
            &[("Host", "ready".into())],
            b"",
        );
        for index in entries {
            let address = self.address(self.nodes[index].host, READY_PORT);
            loop {
                let reply = http::call(address, &request, Duration::from_millis(500));
                if matches!(&reply, Ok(Some(reply)) if reply.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return false;
                }
                sleep(Duration::from_millis(50));
            }
        }
        true
    }

    pub fn spawn(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))
            .expect("the log can be opened");
        let settings = self.folder.join(format!("{}.conf", node.name));
        let child = Command::new(&self.program)
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        node.child = Some(child.expect("the program starts"));
    }

    /// Sends a signal to a process that this script started, by its id.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(child) = &self.nodes[index].child {
            let id = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &id])
                .status();
        }
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}-data", self.nodes[index].name))
    }

    /// Fills in what `deploy/node.ini` has.
    fn write_settings(&self, index: usize, is_first_start: bool) {
        let node = &self.nodes[index];
        let bounds = self.bounds;
        let mut text = format!(
            "[vm]\nname = {}\ndata-centre = {}\n",
            node.name, node.centre
        );
        text += &format!(
            "role = {}\n",
            if node.is_keeper { "keeper" } else { "entry" }
        );
        if node.is_keeper {
            text += &format!("data-folder = {}\n", self.data_folder(index).display());
        }
        text += "[listen]\n";
        if node.is_keeper {
            text += &format!("control = {}\n", self.control(index));
        } else {
            text += &format!("callers = {}\n", self.callers(index));
            text += &format!("ready = {}\n", self.address(node.host, READY_PORT));
        }
        text += &format!("peers = {}\n", self.address(node.host, PEERS_PORT));
        text += &format!("metrics = {}\n", self.address(node.host, METRICS_PORT));
        let own = self.address(node.host, PEERS_PORT);
        if self.peers(index) != own {
            text += &format!("advertise-peers = {}\n", self.peers(index));
        }
        let seeds =
            (0..usize::from(self.keepers).min(3)).map(|keeper| self.peers(keeper).to_string());
        let seeds: Vec<String> = seeds.collect();
        text += &format!(
            "[peers]\nseeds = {}\nfirst-start = {is_first_start}\n",
            seeds.join(",")
        );
        text += &format!("losses-max = {}\n", bounds.losses_max);
        text += &format!(
            "[bounds]\nannounce-ms = {}\ndrain-ms = {}\n",
            bounds.heartbeat_ms, bounds.drain_ms
        );
        text += &format!(
            "stop-grace-s = {}\ncatch-up-s = {}\n",
            bounds.grace_s, bounds.catch_up_s
        );
        text += &format!(
            "[extra]\nshare = {}\nburst = {}\n",
            bounds.retry_budget, bounds.budget_extra
        );
        text += &format!("window-s = {}\n[regions]\n", bounds.budget_window_s);
        for (centre, region) in self.zones {
            text += &format!("{centre} = {region}\n");
        }
        let path = self.folder.join(format!("{}.conf", node.name));
        fs::write(path, text).expect("the settings can be written");
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Claims a loopback network that no other script uses.
fn claim_net() -> ([u8; 2], TcpListener) {
    let first = std::process::id();
    for step in 0..1_000 {
        let number = first.wrapping_add(step * 7);
        let net = [64 + (number % 128) as u8, 1 + (number / 128 % 250) as u8];
        let address = Ipv4Addr::new(127, net[0], net[1], CLAIM_HOST);
        if let Ok(claim) = TcpListener::bind((address, PEERS_PORT)) {
            return (net, claim);
        }
    }
    panic!("no loopback network is free");
}
