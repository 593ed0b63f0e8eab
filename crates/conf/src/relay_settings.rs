//! The settings file of a VM that relays opaque requests.

use std::{
    collections::HashMap, net::IpAddr, net::SocketAddr, ops::RangeInclusive, path::Path,
    path::PathBuf, sync::Arc, time::Duration,
};

use crate::{
    fault::{ConfigFault, FaultList, FaultReason, Result},
    ini::{IniSection, parse_sections},
    reader::{SectionReader, check_sections},
    settings::read_checked,
    settings_value::{folder, log_level},
    value::{self, address, boolean, expected, list, number, reachable_address},
};

const SECTIONS: [&str; 7] = ["vm", "listen", "peers", "bounds", "extra", "log", "regions"];
const SEEDS_MAX: usize = 64;
const LOSSES_RANGE: RangeInclusive<u32> = 0..=3;
const MILLIS_RANGE: RangeInclusive<u64> = 1..=600_000;
const SECONDS_RANGE: RangeInclusive<f64> = 0.001..=86_400.0;
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=10.0;
const BURST_RANGE: RangeInclusive<f64> = 0.0..=100_000.0;
const IDENTIFIER_MAX_BYTES: usize = 128;

/// Role of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayRole {
    /// Accepts requests of callers and sends them to targets.
    Entry,
    /// Stores the configuration and serves the calls of targets and operators.
    Keeper,
}

/// Limits on the attempts beyond the first of each request, as granted by the owners of the
/// targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraAttemptLimits {
    /// Ratio of extra attempts to requests within the window.
    pub share: f64,
    /// Extra attempts within the window that are allowed beyond the ratio, over all VMs together.
    pub burst: f64,
    /// Length of the sliding window in which attempts are counted.
    pub window: Duration,
}

/// Times that the deployment has agreed on with the platform that it runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayBounds {
    /// Time between two announcements of a target.
    pub announce_period: Duration,
    /// Time between a stop signal and the forced end of the process.
    pub stop_grace: Duration,
    /// Time after which a target that leaves must get no new requests.
    pub drain_max: Duration,
    /// Time within which a lost voter must be replaced.
    pub replacement_max: Duration,
}

/// Checked settings of one VM that relays requests.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Data centre of the VM.
    pub centre: Arc<str>,
    /// Role of the VM.
    pub role: RelayRole,
    /// Folder for durable state; only keepers with a disk have one.
    pub data_folder: Option<PathBuf>,
    /// Address for requests of callers; entry VMs only.
    pub callers: Option<SocketAddr>,
    /// Address for readiness checks of the load balancer; entry VMs only.
    pub ready: Option<SocketAddr>,
    /// Address for calls of targets and operators; keepers only.
    pub control: Option<SocketAddr>,
    /// Address for calls of other daemons.
    pub peers: SocketAddr,
    /// Address that is advertised to other daemons for their calls, if it differs from `peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// Address at which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Address of this VM from which it connects to targets; the system chooses one by default.
    pub connect_from: Option<IpAddr>,
    /// Peer addresses of some keepers. Their port is that of `peers`; the port in the file is
    /// ignored.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment as a whole starts for the first time.
    pub first_start: bool,
    /// Number of voters that may be lost at the same time without loss of the quorum.
    pub losses_max: u32,
    /// Times that the deployment has agreed on with its platform.
    pub bounds: RelayBounds,
    /// Limits on the attempts beyond the first of each request.
    pub extra_attempts: ExtraAttemptLimits,
    /// Region of each data centre.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
}

impl RelaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, or a single fault if the file can't be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self> {
        read_checked(path.as_ref(), Self::parse)
    }

    /// Parses and checks the settings in `text`, which was read from `file`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut faults = FaultList::for_file(file);
        let sections = parse_sections(text, &mut faults);
        let settings = read_sections(&sections, &mut faults);
        faults.into_result(settings)
    }

    /// Returns the address that is advertised to other daemons.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.peers)
    }

    /// Returns the number of voters of which [`RelaySettings::losses_max`] may be lost while the
    /// others still form a quorum.
    #[must_use]
    pub const fn voters_wanted(&self) -> usize {
        2 * self.losses_max as usize + 1
    }

    /// Returns the region of a data centre. A data centre without an entry in
    /// [`RelaySettings::regions`] is a region of its own.
    #[must_use]
    pub fn region_of<'a>(&'a self, centre: &'a str) -> &'a str {
        self.regions.get(centre).map_or(centre, |region| region)
    }
}

fn identifier(text: &str) -> value::Result<Arc<str>> {
    let fits = (1..=IDENTIFIER_MAX_BYTES).contains(&text.len());
    if fits && text.bytes().all(|b| b.is_ascii_graphic()) {
        return Ok(text.into());
    }
    Err(expected("1 to 128 visible ASCII characters"))
}

fn ip_address(text: &str) -> value::Result<IpAddr> {
    text.parse().map_err(|_| expected("an IP number"))
}

fn role(text: &str) -> value::Result<RelayRole> {
    match text {
        "entry" => Ok(RelayRole::Entry),
        "keeper" => Ok(RelayRole::Keeper),
        _ => Err(expected("entry or keeper")),
    }
}

/// Runs `read` on the section `name`, or on an empty section if it is missing, and reports its
/// unknown and duplicate keys.
fn read_section<T>(
    sections: &[IniSection<'_>],
    name: &'static str,
    faults: &mut FaultList,
    read: impl FnOnce(&mut SectionReader<'_, '_>) -> T,
) -> T {
    let empty = IniSection {
        name,
        line: 0,
        entries: Vec::new(),
    };
    let section = sections.iter().find(|section| section.name == name);
    let mut reader = SectionReader::new(section.unwrap_or(&empty), faults);
    let value = read(&mut reader);
    reader.finish();
    value
}

fn read_sections(sections: &[IniSection<'_>], faults: &mut FaultList) -> Option<RelaySettings> {
    check_sections(sections, &SECTIONS, faults);
    let (name, centre, role, data_folder) = read_section(sections, "vm", faults, |vm| {
        (
            vm.required("name", identifier),
            vm.required("data-centre", identifier),
            vm.required("role", role),
            vm.optional("data-folder", folder),
        )
    });
    let listen = read_listen(sections, role, faults);
    let (seeds, first_start, losses_max) = read_section(sections, "peers", faults, |peers| {
        (
            peers.or_default("seeds", Vec::new(), |value| {
                list(value, SEEDS_MAX, reachable_address)
            }),
            peers.or_default("first-start", false, boolean),
            peers.or_default("losses-max", 1, |value| number(value, &LOSSES_RANGE)),
        )
    });
    let bounds = read_section(sections, "bounds", faults, |bounds| {
        let announce_ms =
            bounds.or_default("announce-ms", 1000, |value| number(value, &MILLIS_RANGE));
        let drain_ms = bounds.or_default("drain-ms", 3000, |value| number(value, &MILLIS_RANGE));
        let mut seconds = |key, default: f64| {
            let value = bounds.or_default(key, default, |value| number(value, &SECONDS_RANGE));
            Duration::from_secs_f64(value)
        };
        RelayBounds {
            announce_period: Duration::from_millis(announce_ms),
            stop_grace: seconds("stop-grace-s", 6.0),
            drain_max: Duration::from_millis(drain_ms),
            replacement_max: seconds("catch-up-s", 4.0),
        }
    });
    let extra_attempts = read_extra(sections, faults);
    let log_level = read_section(sections, "log", faults, |log| {
        log.or_default("level", slog::Level::Info, log_level)
    });
    let regions = read_regions(sections, faults);
    let (name, centre, role, listen) = (name?, centre?, role?, listen?);
    Some(RelaySettings {
        name,
        centre,
        role,
        data_folder,
        callers: listen.callers,
        ready: listen.ready,
        control: listen.control,
        peers: listen.peers,
        advertise_peers: listen.advertise_peers,
        metrics: listen.metrics,
        connect_from: listen.connect_from,
        seeds: seeds
            .into_iter()
            .map(|seed| SocketAddr::new(seed.ip(), listen.peers.port()))
            .collect(),
        first_start,
        losses_max,
        bounds,
        extra_attempts,
        regions,
        log_level,
    })
}

/// Values of the section `[listen]`.
struct ListenSection {
    callers: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    control: Option<SocketAddr>,
    peers: SocketAddr,
    advertise_peers: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    connect_from: Option<IpAddr>,
}

fn read_listen(
    sections: &[IniSection<'_>],
    role: Option<RelayRole>,
    faults: &mut FaultList,
) -> Option<ListenSection> {
    let is_entry = role == Some(RelayRole::Entry);
    let is_keeper = role == Some(RelayRole::Keeper);
    let listen = read_section(sections, "listen", faults, |listen| {
        let mut read_address = |key, is_required: bool| {
            if is_required {
                listen.required(key, address)
            } else {
                listen.optional(key, address)
            }
        };
        let callers = read_address("callers", is_entry);
        let ready = read_address("ready", is_entry);
        let control = read_address("control", is_keeper);
        let metrics = read_address("metrics", false);
        let peers = listen.required("peers", reachable_address);
        let advertise_peers = listen.optional("advertise-peers", reachable_address);
        let connect_from = listen.optional("connect-from", ip_address);
        let outside = (callers, ready, control, metrics);
        (outside, peers, advertise_peers, connect_from)
    });
    let ((callers, ready, control, metrics), peers, advertise_peers, connect_from) = listen;
    Some(ListenSection {
        callers,
        ready,
        control,
        peers: peers?,
        advertise_peers,
        metrics,
        connect_from,
    })
}

fn read_extra(sections: &[IniSection<'_>], faults: &mut FaultList) -> ExtraAttemptLimits {
    read_section(sections, "extra", faults, |extra| {
        let share = extra.or_default("share", 0.1, |value| number(value, &SHARE_RANGE));
        let burst = extra.or_default("burst", 10.0, |value| number(value, &BURST_RANGE));
        let window_s = extra.or_default("window-s", 10.0, |value| number(value, &SECONDS_RANGE));
        ExtraAttemptLimits {
            share,
            burst,
            window: Duration::from_secs_f64(window_s),
        }
    })
}

/// Reads the section `[regions]`, in which each key is a data centre and each value its region.
fn read_regions(
    sections: &[IniSection<'_>],
    faults: &mut FaultList,
) -> HashMap<Arc<str>, Arc<str>> {
    let mut regions = HashMap::new();
    let section = sections.iter().find(|section| section.name == "regions");
    for entry in section.iter().flat_map(|section| &section.entries) {
        if let (Ok(centre), Ok(region)) = (identifier(entry.key), identifier(entry.value)) {
            regions.insert(centre, region);
        } else {
            let fault = ConfigFault::new(FaultReason::BadValue, "DATA-CENTRE = REGION");
            let fault = fault.at(entry.line).section("regions").key(entry.key);
            faults.push(fault.found(entry.value));
        }
    }
    regions
}
