//! Converts the sections of a settings file into [`VmSettings`].

use std::{
    collections::HashSet, net::SocketAddr, ops::RangeInclusive, path::PathBuf, sync::Arc,
    time::Duration,
};

use fulmarweir_base::{CentreName, RegionName, VmName};

use crate::{
    fault::{ConfigFault, FaultList, FaultReason},
    ini::IniSection,
    reader::{SectionReader, check_sections},
    settings::{
        ListenSettings, PeerSettings, PolicySwitches, ShutdownSettings, VmSettings, VoterAddress,
        VoterRepairSettings,
    },
    settings_value::{folder, log_level, token, voter},
    value::{address, boolean, list, name, number, reachable_address},
};

const SECTIONS: [&str; 9] = [
    "vm",
    "listen",
    "peers",
    "operators",
    "log",
    "limits",
    "shutdown",
    "voters",
    "policy",
];

const SEEDS_MAX: usize = 64;
const VOTERS_MAX: usize = 7;

const BODY_DEFAULT_BYTES: usize = 1024 * 1024;
const BODY_RANGE_BYTES: RangeInclusive<usize> = 1024..=64 * 1024 * 1024;
const SETTLE_DEFAULT_MS: u64 = 500;
const SETTLE_RANGE_MS: RangeInclusive<u64> = 0..=60_000;
const DRAIN_DEFAULT_MS: u64 = 10_000;
const DRAIN_RANGE_MS: RangeInclusive<u64> = 0..=600_000;
const GONE_DEFAULT_MS: u64 = 30_000;
const GONE_RANGE_MS: RangeInclusive<u64> = 1000..=3_600_000;
const BROKERS_RANGE: RangeInclusive<u32> = 1..=1000;

/// Reads all sections. Returns `None` if a required value is missing or invalid.
pub(crate) fn read_settings(
    sections: &[IniSection<'_>],
    faults: &mut FaultList,
) -> Option<VmSettings> {
    check_sections(sections, &SECTIONS, faults);
    let vm = read_vm(sections, faults);
    let listen = read_listen(sections, faults);
    let peers = read_peers(sections, faults);
    let operator_token = read_token(sections, listen, faults);
    let log_level = read_log(sections, faults);
    let body_max_bytes = read_limits(sections, faults);
    let shutdown = read_shutdown(sections, faults);
    let repair = read_repair(sections, faults);
    let policy = read_policy(sections, faults);
    let (vm, listen) = (vm?, listen?);
    let settings = VmSettings {
        name: vm.name,
        centre: vm.centre,
        region: vm.region,
        data_folder: vm.data_folder,
        listen,
        peers,
        operator_token,
        log_level,
        body_max_bytes,
        shutdown,
        repair,
        policy,
    };
    check_own_voter(&settings, sections, faults);
    Some(settings)
}

fn find_section<'a>(sections: &'a [IniSection<'a>], name: &str) -> Option<&'a IniSection<'a>> {
    sections.iter().find(|section| section.name == name)
}

fn find_required_section<'a>(
    sections: &'a [IniSection<'a>],
    name: &str,
    faults: &mut FaultList,
) -> Option<&'a IniSection<'a>> {
    let section = find_section(sections, name);
    if section.is_none() {
        let expected = format!("a section [{name}]");
        let fault = ConfigFault::new(FaultReason::MissingSection, expected);
        faults.push(fault.section(name));
    }
    section
}

/// Values of the section `[vm]`.
struct VmSection {
    name: VmName,
    centre: CentreName,
    region: RegionName,
    data_folder: Option<PathBuf>,
}

fn read_vm(sections: &[IniSection<'_>], faults: &mut FaultList) -> Option<VmSection> {
    let section = find_required_section(sections, "vm", faults)?;
    let mut reader = SectionReader::new(section, faults);
    let vm_name = reader.required("name", name);
    let centre = reader.required("data-centre", name);
    let region = reader.required("region", name);
    let data_folder = reader.optional("data-folder", folder);
    reader.finish();
    Some(VmSection {
        name: vm_name?,
        centre: centre?,
        region: region?,
        data_folder,
    })
}

fn read_listen(sections: &[IniSection<'_>], faults: &mut FaultList) -> Option<ListenSettings> {
    let section = find_required_section(sections, "listen", faults)?;
    let mut reader = SectionReader::new(section, faults);
    let callers = reader.required("callers", address);
    let targets = reader.required("targets", address);
    let operators = reader.required("operators", address);
    let peers = reader.required("peers", address);
    let advertise_peers = reader.optional("advertise-peers", reachable_address);
    check_distinct(
        &mut reader,
        &[
            ("callers", callers),
            ("targets", targets),
            ("operators", operators),
            ("peers", peers),
        ],
    );
    if advertise_peers.is_none() && peers.is_some_and(|a| a.ip().is_unspecified()) {
        let expected = "a concrete IP number, or advertise-peers with one that others can reach";
        reader.conflict("peers", expected);
    }
    reader.finish();
    Some(ListenSettings {
        callers: callers?,
        targets: targets?,
        operators: operators?,
        peers: peers?,
        advertise_peers,
    })
}

fn check_distinct(reader: &mut SectionReader<'_, '_>, addresses: &[(&str, Option<SocketAddr>)]) {
    let mut seen = HashSet::new();
    for (key, address) in addresses {
        let fixed = address.filter(|address| address.port() != 0);
        if fixed.is_some_and(|address| !seen.insert(address)) {
            reader.conflict(key, "an address that no other key of this section has");
        }
    }
}

fn read_peers(sections: &[IniSection<'_>], faults: &mut FaultList) -> PeerSettings {
    let Some(section) = find_section(sections, "peers") else {
        return PeerSettings::default();
    };
    let mut reader = SectionReader::new(section, faults);
    let seeds = reader.or_default("seeds", Vec::new(), |value| {
        list(value, SEEDS_MAX, reachable_address)
    });
    let voters = reader.or_default("voters", Vec::new(), |value| list(value, VOTERS_MAX, voter));
    if has_duplicates(voters.iter().map(|voter| &voter.name)) {
        reader.conflict("voters", "each name once");
    }
    if has_duplicates(voters.iter().map(|voter| voter.address)) {
        reader.conflict("voters", "each address once");
    }
    reader.finish();
    PeerSettings { seeds, voters }
}

fn has_duplicates<T: Eq + std::hash::Hash>(mut items: impl Iterator<Item = T>) -> bool {
    let mut seen = HashSet::new();
    items.any(|item| !seen.insert(item))
}

/// Reads the operators' token. It is required unless the operators' address is a loopback address:
/// without a token, anyone who can connect to that address can change the configuration.
fn read_token(
    sections: &[IniSection<'_>],
    listen: Option<ListenSettings>,
    faults: &mut FaultList,
) -> Option<Arc<str>> {
    let section = find_section(sections, "operators");
    let operator_token = section.and_then(|section| {
        let mut reader = SectionReader::new(section, faults);
        let token = reader.optional("token", token);
        reader.finish();
        token
    });
    let exposed = listen.is_some_and(|listen| !listen.operators.ip().is_loopback());
    if operator_token.is_none() && exposed {
        let listen_section = find_section(sections, "listen")?;
        let mut reader = SectionReader::new(listen_section, faults);
        reader.conflict("operators", "a loopback address, or a token in [operators]");
    }
    operator_token
}

fn read_log(sections: &[IniSection<'_>], faults: &mut FaultList) -> slog::Level {
    let Some(section) = find_section(sections, "log") else {
        return slog::Level::Info;
    };
    let mut reader = SectionReader::new(section, faults);
    let level = reader.or_default("level", slog::Level::Info, log_level);
    reader.finish();
    level
}

fn read_limits(sections: &[IniSection<'_>], faults: &mut FaultList) -> usize {
    let Some(section) = find_section(sections, "limits") else {
        return BODY_DEFAULT_BYTES;
    };
    let mut reader = SectionReader::new(section, faults);
    let bytes = reader.or_default("body-max-bytes", BODY_DEFAULT_BYTES, |value| {
        number(value, &BODY_RANGE_BYTES)
    });
    reader.finish();
    bytes
}

fn read_shutdown(sections: &[IniSection<'_>], faults: &mut FaultList) -> ShutdownSettings {
    let mut settle_ms = SETTLE_DEFAULT_MS;
    let mut drain_ms = DRAIN_DEFAULT_MS;
    if let Some(section) = find_section(sections, "shutdown") {
        let mut reader = SectionReader::new(section, faults);
        settle_ms = reader.or_default("settle-ms", settle_ms, |v| number(v, &SETTLE_RANGE_MS));
        drain_ms = reader.or_default("drain-max-ms", drain_ms, |v| number(v, &DRAIN_RANGE_MS));
        reader.finish();
    }
    ShutdownSettings {
        settle: Duration::from_millis(settle_ms),
        drain_max: Duration::from_millis(drain_ms),
    }
}

fn read_repair(sections: &[IniSection<'_>], faults: &mut FaultList) -> VoterRepairSettings {
    let mut gone_ms = GONE_DEFAULT_MS;
    if let Some(section) = find_section(sections, "voters") {
        let mut reader = SectionReader::new(section, faults);
        gone_ms = reader.or_default("gone-ms", gone_ms, |v| number(v, &GONE_RANGE_MS));
        reader.finish();
    }
    VoterRepairSettings {
        replace_after: Duration::from_millis(gone_ms),
    }
}

fn read_policy(sections: &[IniSection<'_>], faults: &mut FaultList) -> PolicySwitches {
    let mut policy = PolicySwitches::default();
    let Some(section) = find_section(sections, "policy") else {
        return policy;
    };
    let mut reader = SectionReader::new(section, faults);
    policy.hedge = reader.or_default("hedge", policy.hedge, boolean);
    policy.naive_retry = reader.or_default("naive-retry", policy.naive_retry, boolean);
    policy.random_replica = reader.or_default("random-replica", policy.random_replica, boolean);
    policy.brokers_max = reader.optional("brokers-max", |value| number(value, &BROKERS_RANGE));
    reader.finish();
    policy
}

/// Checks that this VM has a data folder if it is in the voter list, and that the list pairs its
/// name with its own address.
fn check_own_voter(settings: &VmSettings, sections: &[IniSection<'_>], faults: &mut FaultList) {
    let Some(section) = find_section(sections, "peers") else {
        return;
    };
    let mut reader = SectionReader::new(section, faults);
    let own_address = settings.peer_address();
    let own_voter = settings
        .peers
        .voters
        .iter()
        .find(|v| v.name == settings.name);
    if own_voter.is_some() && settings.data_folder.is_none() {
        reader.conflict("voters", "data-folder in [vm], because this VM is a voter");
    }
    if own_address.port() == 0 {
        return;
    }
    let moved = own_voter.is_some_and(|voter| voter.address != own_address);
    let renamed =
        |voter: &VoterAddress| voter.address == own_address && voter.name != settings.name;
    if moved || settings.peers.voters.iter().any(renamed) {
        let expected = format!("{} {own_address} as the entry of this VM", settings.name);
        reader.conflict("voters", &expected);
    }
}
