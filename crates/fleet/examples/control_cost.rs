//! Measures the cost of the fleet protocols per VM: bytes sent, processor time and memory.
//!
//! All VMs run as states in one process over a lossless network with a delay of 1 ms; every
//! message is encoded and decoded. Prints one line per run; the runs vary the number of VMs and
//! targets, and the rates of target changes, restarts and configurations. The memory is the
//! growth of the process, so it is meaningful only for runs larger than all previous ones.
//!
//! `cargo run --release -p fulmarweir-fleet --example control_cost [-- SECONDS [RUN]]`

#[path = "../tests/net/mod.rs"]
mod net;

use std::{cell::RefCell, collections::BTreeMap, fs, mem, rc::Rc, time::Duration};

use fulmarweir_base::TargetState;
use fulmarweir_fleet::{ConfigStamp, FleetMessage};
use net::{TestNet, record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Overhead of one message besides its encoding: frame header, length, and TCP and IP headers
/// without TLS.
const FRAMING_BYTES: usize = 60;
/// Overhead of one announcement besides its body: request line, headers, reply, and TCP and IP
/// headers.
const ANNOUNCE_OVERHEAD_BYTES: usize = 400;
const WARM_UP_MS: u64 = 25_000;
const DEFAULT_SECONDS: u64 = 30;
const PAGE_BYTES: u64 = 4_096;
const SECONDS_PER_DAY: f64 = 86_400.0;
const SEED: u64 = 11;

/// Size of a run, and the rates of its events per second over all VMs.
#[derive(Clone, Copy)]
struct CostScenario {
    name: &'static str,
    centres: usize,
    vms_per_centre: usize,
    targets: usize,
    target_changes: f64,
    restarts: f64,
    config_changes: f64,
}

/// Bytes and messages sent, by VM and by kind of message.
#[derive(Default)]
struct TrafficCount {
    bytes: usize,
    messages: usize,
    by_vm: BTreeMap<u16, usize>,
    by_kind: BTreeMap<&'static str, usize>,
}

impl TrafficCount {
    fn add(&mut self, port: u16, message: &FleetMessage, encoded: usize) {
        let size = encoded + FRAMING_BYTES;
        self.bytes += size;
        self.messages += 1;
        *self.by_vm.entry(port).or_default() += size;
        *self.by_kind.entry(kind(message)).or_default() += size;
    }
}

fn kind(message: &FleetMessage) -> &'static str {
    match message {
        FleetMessage::Ping(_) | FleetMessage::Ack(_) => "probe",
        FleetMessage::ProbeFor(_) | FleetMessage::ProbedFor(_) => "indirect",
        FleetMessage::Spread(_) => "spread",
        FleetMessage::Repair(_) | FleetMessage::Entries(_) => "repair",
        FleetMessage::ConfigNews(_) => "config",
        FleetMessage::Centre(_) => "centre",
        FleetMessage::Join(_)
        | FleetMessage::Welcome(_)
        | FleetMessage::JoinRefused(_)
        | FleetMessage::NameConflict(_) => "join",
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
    println!(
        "{:<18} {:>4} {:>5} {:>6} {:>8} {:>8} {:>7} {:>8} {:>9}  bytes/s per VM by kind",
        "run", "VMs", "tgts", "chg/s", "B/s mean", "B/s max", "msg/s", "core %", "MB per VM"
    );
    let wanted = std::env::args().nth(2);
    let is_wanted = |name| wanted.as_deref().is_none_or(|wanted| wanted == name);
    let runs = scenarios()
        .into_iter()
        .filter(|scenario| is_wanted(scenario.name));
    runs.for_each(|scenario| measure(scenario, seconds));
    print_broadcast();
}

fn scenarios() -> Vec<CostScenario> {
    let idle = CostScenario {
        name: "quiet",
        centres: 1,
        vms_per_centre: 90,
        targets: 587,
        target_changes: 0.0,
        restarts: 0.0,
        config_changes: 0.0,
    };
    let mut runs = Vec::new();
    for (vms, targets) in [(30, 196), (90, 587), (180, 1_175), (360, 2_350)] {
        runs.push(CostScenario {
            vms_per_centre: vms,
            targets,
            ..idle
        });
    }
    for targets in [0, 1_175, 2_350] {
        runs.push(CostScenario {
            name: "targets",
            targets,
            ..idle
        });
    }
    for target_changes in [1.0, 5.0, 20.0] {
        runs.push(CostScenario {
            name: "target changes",
            target_changes,
            ..idle
        });
    }
    for restarts in [0.1, 0.5] {
        runs.push(CostScenario {
            name: "restarts",
            restarts,
            ..idle
        });
    }
    for config_changes in [0.1, 1.0] {
        runs.push(CostScenario {
            name: "config changes",
            config_changes,
            ..idle
        });
    }
    for vms in [30, 90, 180, 360] {
        runs.push(ordinary_day(vms));
    }
    runs.push(CostScenario {
        name: "20 centres",
        centres: 20,
        vms_per_centre: 5,
        targets: 600,
        target_changes: 20.0 * 600.0 / 47_000.0,
        ..idle
    });
    runs
}

/// Returns a scenario with the daily rates of a fleet of 7,200 VMs: 17,000 restarts and 4,700
/// configurations a day, and a version change of every target once an hour.
fn ordinary_day(vms: usize) -> CostScenario {
    let share = f64::from(u32::try_from(vms).unwrap()) / 360.0;
    let targets = 2_350 * vms / 360;
    CostScenario {
        name: "ordinary day",
        centres: 1,
        vms_per_centre: vms,
        targets,
        target_changes: share * 2_350.0 / 3_600.0,
        restarts: share * 17_000.0 / 20.0 / SECONDS_PER_DAY,
        config_changes: 4_700.0 / SECONDS_PER_DAY,
    }
}

fn measure(scenario: CostScenario, seconds: u64) {
    let memory_before = resident_bytes();
    let centres = vec![scenario.vms_per_centre; scenario.centres];
    let mut net = TestNet::new(&centres, SEED);
    net.run(3_000);
    let vms = net.vms.len();
    for index in 0..scenario.targets {
        net.add_target(record(index), index % vms);
    }
    net.run(WARM_UP_MS);
    let memory = resident_bytes().saturating_sub(memory_before);
    let count = Rc::new(RefCell::new(TrafficCount::default()));
    let counter = Rc::clone(&count);
    net.observe = Box::new(move |from, message, encoded| {
        counter.borrow_mut().add(from.port(), message, encoded);
    });
    net.busy_time = Duration::ZERO;
    let changes = inject_events(&mut net, scenario, seconds);
    report(
        scenario,
        seconds,
        vms,
        &count.borrow(),
        net.busy_time,
        memory,
        changes,
    );
}

/// Runs the network for `seconds` with the events of the scenario; returns their number.
fn inject_events(net: &mut TestNet, scenario: CostScenario, seconds: u64) -> u32 {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut version = 0;
    let mut changes = 0;
    for _ in 0..seconds * 10 {
        let mut happens = |rate: f64| rng.random_bool((rate / 10.0).min(1.0));
        let (target, restart, config) = (
            happens(scenario.target_changes),
            happens(scenario.restarts),
            happens(scenario.config_changes),
        );
        changes += u32::from(target) + u32::from(restart) + u32::from(config);
        if target {
            let index = rng.random_range(0..net.targets.len());
            net.targets[index].record.versions[0].version += 1;
            net.targets[index].record.state = TargetState::Serving;
        }
        if restart {
            let index = rng.random_range(0..net.vms.len());
            net.with(index, fulmarweir_fleet::FleetState::leave);
            net.run(100);
            net.restart(index);
        }
        if config {
            version += 1;
            let stamp = ConfigStamp::of(version, "text");
            net.with(0, |state, now| state.on_config_applied(stamp, now));
        }
        net.run(100);
    }
    changes
}

#[expect(clippy::cast_precision_loss, reason = "figures are rounded for print")]
fn report(
    scenario: CostScenario,
    seconds: u64,
    vms: usize,
    count: &TrafficCount,
    busy_time: Duration,
    memory: u64,
    changes: u32,
) {
    let per_vm = |bytes: usize| bytes as f64 / vms as f64 / seconds as f64;
    let most = count.by_vm.values().max().copied().unwrap_or_default();
    let kinds = count
        .by_kind
        .iter()
        .map(|(kind, bytes)| format!("{kind} {:.0}", per_vm(*bytes)));
    println!(
        "{:<18} {:>4} {:>5} {:>6.2} {:>8.0} {:>8.0} {:>7.2} {:>8.3} {:>9.2}  {}",
        scenario.name,
        vms,
        scenario.targets,
        f64::from(changes) / seconds as f64,
        per_vm(count.bytes),
        most as f64 / seconds as f64,
        per_vm(count.messages),
        100.0 * busy_time.as_secs_f64() / vms as f64 / seconds as f64,
        memory as f64 / 1e6 / vms as f64,
        kinds.collect::<Vec<_>>().join(", ")
    );
}

/// Prints the computed bytes of a design that forwards every announcement to every VM.
#[expect(clippy::cast_precision_loss, reason = "figures are rounded for print")]
fn print_broadcast() {
    let record = record(0);
    let encoded = bincode::serde::encode_to_vec(&record, bincode::config::standard()).unwrap();
    let sent = 2_350.0 * (encoded.len() + FRAMING_BYTES) as f64;
    let body = serde_json::to_vec(&record).unwrap().len();
    let own = 2_350.0 / 360.0 * (body + ANNOUNCE_OVERHEAD_BYTES) as f64;
    println!("computed, 360 VMs and 2,350 targets that announce once a second:");
    println!("  broadcast of every announcement: {sent:.0} B/s sent by each VM");
    println!("  announcements themselves (HTTP, between targets and each VM): {own:.0} B/s");
    println!(
        "state of one VM without heap: {} B",
        mem::size_of::<fulmarweir_fleet::FleetState>()
    );
}

/// Returns the resident memory of this process, or zero if it is not available.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or_default();
    pages * PAGE_BYTES
}
