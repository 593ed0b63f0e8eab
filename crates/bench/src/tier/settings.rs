//! Settings of a tier, and the settings files of its daemons.

use std::{
    fmt::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use error_stack::{Report, ResultExt};
use fulmarweir_base::{CentreName, RegionName, VmName};

use crate::error::BenchError;

type Result<T> = std::result::Result<T, Report<BenchError>>;

const CALLERS_PORT: u16 = 7000;
const TARGETS_PORT: u16 = 7001;
const OPERATORS_PORT: u16 = 7002;
const PEERS_PORT: u16 = 7003;
const PROXIED_PEERS_PORT: u16 = 7004;

/// Number of loopback addresses reserved for the daemons of one process.
const ADDRESSES_PER_PROCESS: u32 = 64;
const SEEDS_PER_CENTRE: usize = 2;

/// One data centre of a tier.
#[derive(Clone, Debug)]
pub struct CentrePlan {
    /// Name of the data centre.
    pub name: CentreName,
    /// Region of the data centre.
    pub region: RegionName,
    /// Number of daemons in the data centre.
    pub vms: u32,
}

/// Settings of a tier.
#[derive(Clone, Debug)]
pub struct TierSettings {
    /// The daemon program.
    pub program: PathBuf,
    /// Data centres.
    pub centres: Vec<CentrePlan>,
    /// Number of voters, which have a data folder and are spread over the data centres.
    pub voters: u32,
    /// Number of VMs that have a data folder but are not initial voters. They are assigned after
    /// the voters.
    pub voter_candidates: u32,
    /// Whether connections between daemons pass through proxies that can delay and cut them.
    pub proxy_peers: bool,
    /// Lowest severity that the daemons log.
    pub log_level: String,
    /// Text appended to each settings file.
    pub extra_settings: String,
}

impl TierSettings {
    /// Returns the settings of one data centre with `vms` daemons, the first three of which are
    /// voters.
    ///
    /// # Panics
    ///
    /// Never: the names are constants.
    #[must_use]
    pub fn single_centre(program: PathBuf, vms: u32) -> Self {
        let centre = CentrePlan {
            name: "ub-sukhbaatar".parse().expect("a valid name"),
            region: "ub".parse().expect("a valid name"),
            vms,
        };
        Self {
            program,
            centres: vec![centre],
            voters: vms.min(3),
            voter_candidates: 0,
            proxy_peers: false,
            log_level: "info".to_owned(),
            extra_settings: String::new(),
        }
    }
}

/// Addresses and files of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct VmPlan {
    pub(crate) name: VmName,
    pub(crate) centre: CentreName,
    pub(crate) region: RegionName,
    pub(crate) address: IpAddr,
    pub(crate) data_folder: Option<PathBuf>,
    pub(crate) votes: bool,
    pub(crate) settings_file: PathBuf,
    pub(crate) log_file: PathBuf,
    pub(crate) proxied: bool,
}

impl VmPlan {
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    pub(crate) fn targets(&self) -> SocketAddr {
        SocketAddr::new(self.address, TARGETS_PORT)
    }

    pub(crate) fn operators(&self) -> SocketAddr {
        SocketAddr::new(self.address, OPERATORS_PORT)
    }

    /// Returns the address on which the daemon listens for other daemons.
    pub(crate) fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address, PEERS_PORT)
    }

    /// Returns the address to which other daemons connect: that of the proxy, if there is one.
    pub(crate) fn advertised_peers(&self) -> SocketAddr {
        let port = if self.proxied {
            PROXIED_PEERS_PORT
        } else {
            PEERS_PORT
        };
        SocketAddr::new(self.address, port)
    }
}

/// Plans every daemon. Data folders are assigned round-robin over the data centres, to the voters
/// first.
pub(crate) fn plan_vms(settings: &TierSettings, folder: &Path) -> Result<Vec<VmPlan>> {
    let mut plans = Vec::new();
    for centre in &settings.centres {
        for number in 1..=centre.vms {
            let name = format!("{}-{number}", centre.name);
            plans.push(VmPlan {
                settings_file: folder.join(format!("{name}.ini")),
                log_file: folder.join(format!("{name}.log")),
                name: name.parse().change_context(BenchError::Settings)?,
                centre: centre.name.clone(),
                region: centre.region.clone(),
                address: free_loopback_address()?,
                data_folder: None,
                votes: false,
                proxied: settings.proxy_peers,
            });
        }
    }
    assign_data_folders(&mut plans, settings, folder);
    Ok(plans)
}

fn assign_data_folders(plans: &mut [VmPlan], settings: &TierSettings, folder: &Path) {
    let mut voters_left = settings.voters;
    let mut folders_left = settings.voters + settings.voter_candidates;
    let max_vms = settings.centres.iter().map(|centre| centre.vms).max();
    for round in 0..max_vms.unwrap_or(0) as usize {
        for centre in &settings.centres {
            let of_centre = plans.iter_mut().filter(|plan| plan.centre == centre.name);
            let Some(plan) = of_centre.skip(round).find(|_| folders_left > 0) else {
                continue;
            };
            plan.data_folder = Some(folder.join(format!("{}.data", plan.name)));
            plan.votes = voters_left > 0;
            voters_left = voters_left.saturating_sub(1);
            folders_left -= 1;
        }
    }
}

/// Returns the settings file of the daemon `plan` in a tier of all `plans`.
pub(crate) fn settings_text(plan: &VmPlan, plans: &[VmPlan], settings: &TierSettings) -> String {
    let mut text = format!(
        "[vm]\nname = {}\ndata-centre = {}\nregion = {}\n",
        plan.name, plan.centre, plan.region
    );
    if let Some(folder) = &plan.data_folder {
        let _ = writeln!(text, "data-folder = {}", folder.display());
    }
    let _ = write!(
        text,
        "[listen]\ncallers = {}\ntargets = {}\noperators = {}\npeers = {}\n",
        plan.callers(),
        plan.targets(),
        plan.operators(),
        plan.peers()
    );
    if plan.proxied {
        let _ = writeln!(text, "advertise-peers = {}", plan.advertised_peers());
    }
    let seeds: Vec<String> = seeds(plan, plans).iter().map(ToString::to_string).collect();
    let voters = plans.iter().filter(|other| other.votes);
    let voters: Vec<String> = voters
        .map(|voter| format!("{} {}", voter.name, voter.advertised_peers()))
        .collect();
    text.push_str("[peers]\n");
    if !seeds.is_empty() {
        let _ = writeln!(text, "seeds = {}", seeds.join(", "));
    }
    if !voters.is_empty() {
        let _ = writeln!(text, "voters = {}", voters.join(", "));
    }
    let _ = writeln!(text, "[log]\nlevel = {}", settings.log_level);
    text.push_str(&settings.extra_settings);
    text
}

/// Returns the seed addresses: the first few other daemons of each data centre.
fn seeds(plan: &VmPlan, plans: &[VmPlan]) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    let others = plans.iter().filter(|other| other.name != plan.name);
    let mut seed_centres: Vec<&CentreName> = Vec::new();
    for other in others {
        let of_centre = seed_centres
            .iter()
            .filter(|centre| **centre == &other.centre);
        if of_centre.count() < SEEDS_PER_CENTRE {
            seed_centres.push(&other.centre);
            seeds.push(other.advertised_peers());
        }
    }
    seeds
}

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address of 127.0.0.0/8 on which the fixed ports of the daemon are free.
///
/// The fixed ports are below the ephemeral range, so that no outgoing connection can take them
/// between this check and the start of the daemon.
fn free_loopback_address() -> Result<IpAddr> {
    let base = std::process::id().wrapping_mul(ADDRESSES_PER_PROCESS);
    for _ in 0..ADDRESSES_PER_PROCESS * 4 {
        let number = base.wrapping_add(NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed));
        let [_, b, c, d] = number.to_be_bytes();
        let address = Ipv4Addr::new(127, b, c, d);
        let is_reserved = d == 0 || d == u8::MAX || address == Ipv4Addr::LOCALHOST;
        if !is_reserved && TcpListener::bind((address, CALLERS_PORT)).is_ok() {
            return Ok(address.into());
        }
    }
    Err(Report::new(BenchError::Io)).attach("no free loopback address")
}
