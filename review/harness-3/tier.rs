//! The processes of a tier on loopback addresses, started as the deploy file starts them.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::call_once,
    links::{Host, Links},
    targets::{FailurePlan, RunLog, Server, ServerPlace},
};

const CALLERS_PORT: u16 = 8_226;
const READY_PORT: u16 = 8_227;
const CONTROL_PORT: u16 = 8_224;
const PEERS_PORT: u16 = 7_740;
const METRICS_PORT: u16 = 9_464;
const SERVER_PORT: u16 = 8_080;

/// Third octets of the addresses of VMs, of the proxies before them, and of servers.
const VM_OCTET: u8 = 1;
const PROXY_OCTET: u8 = 2;
const SERVER_OCTET: u8 = 3;

const OPERATOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings that all VMs of a tier share.
#[derive(Clone)]
pub struct TierSettings {
    /// Counted machines that may be lost at the same time.
    pub losses_max: u32,
    pub catch_up_s: u32,
    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
}

/// Writes what a case sends and sees.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

/// The tier. Dropping it ends its processes.
pub struct Tier {
    pub record: Record,
    pub links: Links,
    pub runs: RunLog,
    settings: TierSettings,
    folder: PathBuf,
    octet: u8,
    vms: Vec<Child>,
    servers: Vec<Arc<Server>>,
    _claim: TcpListener,
}

impl Tier {
    pub fn new(settings: TierSettings, record: Record) -> Self {
        let (octet, claim) = claim_octet();
        let folder =
            std::env::temp_dir().join(format!("fulmarweir-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        Self {
            record,
            links: Links::default(),
            runs: RunLog::default(),
            settings,
            folder,
            octet,
            vms: Vec::new(),
            servers: Vec::new(),
            _claim: claim,
        }
    }

    fn address(&self, octet: u8, host: Host, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.octet, octet, host)),
            port,
        )
    }

    pub fn callers(&self, host: Host) -> SocketAddr {
        self.address(VM_OCTET, host, CALLERS_PORT)
    }

    pub fn control(&self, host: Host) -> SocketAddr {
        self.address(VM_OCTET, host, CONTROL_PORT)
    }

    /// Starts a keeper with an empty disk. Others reach it through a proxy.
    pub fn start_keeper(&mut self, host: Host, zone: &str, seeds: &[Host], is_first_start: bool) {
        let proxy = self.address(PROXY_OCTET, host, PEERS_PORT);
        let peers = self.address(VM_OCTET, host, PEERS_PORT);
        self.links.start_proxy(host, proxy, peers);
        let listen = format!(
            "control = {}\nadvertise-peers = {proxy}",
            self.control(host)
        );
        let data = self.folder.join(format!("data-{host}"));
        let vm = format!("role = keeper\ndata-folder = {}", data.display());
        self.start_vm(host, zone, &vm, &listen, seeds, is_first_start);
    }

    pub fn start_entry(&mut self, host: Host, zone: &str, seeds: &[Host]) {
        let ready = self.address(VM_OCTET, host, READY_PORT);
        let listen = format!("callers = {}\nready = {ready}", self.callers(host));
        self.start_vm(host, zone, "role = entry", &listen, seeds, true);
    }

    fn start_vm(
        &mut self,
        host: Host,
        zone: &str,
        vm: &str,
        listen: &str,
        seeds: &[Host],
        is_first_start: bool,
    ) {
        let seeds = seeds
            .iter()
            .map(|seed| self.address(PROXY_OCTET, *seed, CONTROL_PORT).to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut text = format!(
            "[vm]\nname = vm-{host}\ndata-centre = {zone}\n{vm}\n\n[listen]\n{listen}\npeers = {}\nmetrics = {}\n\n\
             [peers]\nseeds = {seeds}\nfirst-start = {is_first_start}\nlosses-max = {}\n\n\
             [bounds]\nannounce-ms = 1200\ndrain-ms = 4000\nstop-grace-s = 6\ncatch-up-s = {}\n\n\
             [extra]\nshare = 0.2\nburst = 58\nwindow-s = 10\n\n[regions]\n",
            self.address(VM_OCTET, host, PEERS_PORT),
            self.address(VM_OCTET, host, METRICS_PORT),
            self.settings.losses_max,
            self.settings.catch_up_s,
        );
        for (zone, region) in &self.settings.zones {
            text.push_str(&format!("{zone} = {region}\n"));
        }
        let path = self.folder.join(format!("vm-{host}.conf"));
        fs::write(&path, text).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("vm-{host}.log")))
            .expect("the log can be written");
        let child = Command::new("target/release/fulmarweir-node")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        self.links.add_process(child.id(), host);
        self.record.line(format!(
            "vm {host} started in zone {zone} with seeds {seeds}"
        ));
        self.vms.push(child);
    }

    pub fn start_server(&mut self, number: u8, service: &str, zone: &str, keepers: &[Host]) {
        self.start_failing_server(number, service, zone, keepers, FailurePlan::none());
    }

    /// Starts a server that fails some of its requests after it has run them.
    pub fn start_failing_server(
        &mut self,
        number: u8,
        service: &str,
        zone: &str,
        keepers: &[Host],
        failures: Arc<FailurePlan>,
    ) {
        let place = ServerPlace {
            id: format!("i-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: self.address(SERVER_OCTET, number, SERVER_PORT),
            slots: 6,
            failures,
        };
        let controls = keepers.iter().map(|keeper| self.control(*keeper)).collect();
        self.record.line(format!(
            "server {} of {service} started in zone {zone}",
            place.id
        ));
        self.servers
            .push(Server::start(place, controls, &self.runs));
    }

    /// Starts a server with this id whose heartbeats the case sends.
    pub fn start_silent_server(
        &mut self,
        number: u8,
        id: &str,
        service: &str,
        zone: &str,
    ) -> Arc<Server> {
        let place = ServerPlace {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: self.address(SERVER_OCTET, number, SERVER_PORT),
            slots: 6,
            failures: FailurePlan::none(),
        };
        self.record.line(format!(
            "server {id} of {service} started in zone {zone} at {}",
            place.address
        ));
        Server::start(place, Vec::new(), &self.runs)
    }

    /// Sends a configuration to each of `keepers` in turn until one has acknowledged it.
    pub fn submit(&self, keepers: &[Host], version: u64, document: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(12);
        while Instant::now() < deadline {
            for keeper in keepers {
                let headers = [("Host", "control"), ("Content-Type", "application/json")];
                let address = self.control(*keeper);
                let sent = call_once(
                    address,
                    "PUT",
                    "/fulmarweir/config",
                    &headers,
                    document.as_bytes(),
                    OPERATOR_TIMEOUT,
                );
                let status = sent.map_or(0, |answer| answer.status);
                self.record.line(format!(
                    "operator: version {version} to keeper {keeper}: {status}"
                ));
                if status == 200 {
                    return true;
                }
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    /// Whether the entry VM counts as ready.
    pub fn is_ready(&self, host: Host) -> bool {
        let address = self.address(VM_OCTET, host, READY_PORT);
        let headers = [("Host", "ready")];
        let answer = call_once(
            address,
            "GET",
            "/fulmarweir/ready",
            &headers,
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all of these entry VMs are ready.
    pub fn wait_ready(&self, hosts: &[Host]) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if hosts.iter().all(|host| self.is_ready(*host)) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether all processes that were started still run.
    pub fn all_run(&mut self) -> bool {
        self.vms
            .iter_mut()
            .all(|vm| matches!(vm.try_wait(), Ok(None)))
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for server in &self.servers {
            server.stop();
        }
        for vm in &mut self.vms {
            let _ = (vm.kill(), vm.wait());
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a second octet of loopback addresses that no other case on this machine uses.
fn claim_octet() -> (u8, TcpListener) {
    let first = std::process::id() % 120;
    for step in 0..120 {
        let octet = 100 + u8::try_from((first + step) % 120).unwrap_or_default();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, octet, 9, 1)), 7_739);
        if let Ok(claim) = TcpListener::bind(address) {
            return (octet, claim);
        }
    }
    panic!("no free loopback addresses");
}
