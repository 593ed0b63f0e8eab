//! A simulated network of fleet states in one thread, with delay, loss, cuts and restarts from a
//! fixed seed.

#![allow(dead_code, reason = "each test file uses a part of the helper")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use fulmarweir_base::{MonoTime, ShardHolding, TargetRecord, TargetState};
use fulmarweir_fleet::{
    ConfigStamp, FleetAction, FleetMessage, FleetSettings, FleetState, TICK_PERIOD_MS, TargetKey,
    TargetLimits, VmIdentity,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const STEP_MS: u64 = 1;

/// A VM; `state` is `None` while the VM is down.
pub(crate) struct TestVm {
    pub(crate) identity: VmIdentity,
    pub(crate) state: Option<FleetState>,
    pub(crate) stored_config: ConfigStamp,
}

/// A target that announces itself when and where the last reply told it to.
#[derive(Clone)]
pub(crate) struct TestTarget {
    pub(crate) record: TargetRecord,
    pub(crate) at: SocketAddr,
    pub(crate) next_at: MonoTime,
    pub(crate) running: bool,
}

struct Delivery {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Callback with the sender, the message and its encoded size.
pub(crate) type MessageObserver = Box<dyn FnMut(SocketAddr, &FleetMessage, usize)>;

/// All VMs and targets, and the network between them.
pub(crate) struct TestNet {
    pub(crate) now: MonoTime,
    pub(crate) vms: Vec<TestVm>,
    pub(crate) targets: Vec<TestTarget>,
    pub(crate) settings: FleetSettings,
    pub(crate) loss: f64,
    pub(crate) delay_ms: u64,
    pub(crate) reports: Vec<(MonoTime, SocketAddr, FleetAction)>,
    /// Time spent in the states and in encoding and decoding messages.
    pub(crate) busy_time: Duration,
    /// Called with every message that is sent.
    pub(crate) observe: MessageObserver,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    queue: BTreeMap<(MonoTime, u64), Delivery>,
    fetches: BTreeMap<(MonoTime, u64), (SocketAddr, SocketAddr)>,
    sequence: u64,
    rng: Pcg64,
}

pub(crate) fn peer_address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).unwrap();
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub(crate) fn identity(index: usize, centre: &str, boot: u64) -> VmIdentity {
    VmIdentity {
        name: format!("vm-{index}").parse().unwrap(),
        centre: centre.parse().unwrap(),
        region: "region".parse().unwrap(),
        boot,
        peers: peer_address(index),
        targets: SocketAddr::from((Ipv4Addr::LOCALHOST, peer_address(index).port() + 20_000)),
    }
}

pub(crate) fn record(index: usize) -> TargetRecord {
    TargetRecord {
        name: format!("target-{index}").parse().unwrap(),
        service: format!("service-{}", index / 58).parse().unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        incarnation: 1,
        state: TargetState::Serving,
        slots: 3,
        connections: 30,
        versions: vec![ShardHolding {
            version: 41,
            shard: u32::try_from(index % 58).unwrap(),
            of: 58,
        }],
    }
}

pub(crate) fn key(record: &TargetRecord) -> TargetKey {
    TargetKey {
        service: record.service.clone(),
        name: record.name.clone(),
    }
}

impl TestNet {
    /// Creates a network; `centres` is the number of VMs of each data centre, whose first VM is a
    /// seed.
    pub(crate) fn new(centres: &[usize], seed: u64) -> Self {
        let firsts = centres.iter().scan(0, |sum, count| {
            let first = *sum;
            *sum += count;
            Some(peer_address(first))
        });
        let settings = FleetSettings {
            seeds: firsts.collect(),
            ..FleetSettings::default()
        };
        let mut net = Self {
            now: MonoTime::ZERO,
            vms: Vec::new(),
            targets: Vec::new(),
            settings,
            loss: 0.0,
            delay_ms: 1,
            reports: Vec::new(),
            observe: Box::new(|_, _, _| {}),
            busy_time: Duration::ZERO,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            fetches: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        for (centre, count) in centres.iter().enumerate() {
            for _ in 0..*count {
                let index = net.vms.len();
                net.add_vm(identity(index, &format!("centre-{centre}"), 1));
            }
        }
        net
    }

    pub(crate) fn add_vm(&mut self, identity: VmIdentity) -> usize {
        self.vms.push(TestVm {
            identity,
            state: None,
            stored_config: ConfigStamp::default(),
        });
        let index = self.vms.len() - 1;
        self.start(index);
        index
    }

    pub(crate) fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let vm = &mut self.vms[index];
        let settings = self.settings.clone();
        let state = FleetState::new(
            vm.identity.clone(),
            settings,
            vm.stored_config,
            seed,
            self.now,
        );
        vm.state = Some(state);
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.vms[index].state = None;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.vms[index].identity.boot += 1_000;
        self.start(index);
    }

    pub(crate) fn add_target(&mut self, record: TargetRecord, at: usize) -> usize {
        let next_at = self.now + Duration::from_millis(self.rng.random_range(0..1_000));
        let at = self.vms[at].identity.targets;
        self.targets.push(TestTarget {
            record,
            at,
            next_at,
            running: true,
        });
        self.targets.len() - 1
    }

    /// Drops all messages from `from` to `to`.
    pub(crate) fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts
            .insert((self.vms[from].identity.peers, self.vms[to].identity.peers));
    }

    pub(crate) fn cut(&mut self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Drops all messages between `group` and all other VMs.
    pub(crate) fn cut_group(&mut self, group: &[usize]) {
        for inside in group {
            for outside in (0..self.vms.len()).filter(|index| !group.contains(index)) {
                self.cut(*inside, outside);
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn state(&self, index: usize) -> &FleetState {
        self.vms[index].state.as_ref().unwrap()
    }

    /// Calls `act` on the state of a running VM and performs the returned actions.
    pub(crate) fn with(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut FleetState, MonoTime) -> Vec<FleetAction>,
    ) {
        let now = self.now;
        let address = self.vms[index].identity.peers;
        let Some(state) = &mut self.vms[index].state else {
            return;
        };
        let start = Instant::now();
        let actions = act(state, now);
        self.busy_time += start.elapsed();
        self.perform_actions(address, actions);
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        self.run_checked(duration_ms, |_| {});
    }

    /// Runs the network and calls `check` after every tick period.
    pub(crate) fn run_checked(&mut self, duration_ms: u64, mut check: impl FnMut(&Self)) {
        let end = self.now + Duration::from_millis(duration_ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.deliver();
            let step = self.now.as_micros() / 1_000;
            for index in 0..self.vms.len() {
                if step % TICK_PERIOD_MS == index as u64 % TICK_PERIOD_MS {
                    self.with(index, FleetState::on_tick);
                }
            }
            self.announce();
            if step.is_multiple_of(TICK_PERIOD_MS) {
                check(self);
            }
        }
    }

    pub(crate) fn is_usable(&self, vm: usize, target: usize) -> bool {
        let record = &self.targets[target].record;
        let table = self.state(vm).targets();
        let mut entries = table.of_service(&record.service).iter();
        entries.any(|entry| entry.record.name == record.name && entry.usable)
    }

    /// Returns the number of connections to the target that all running VMs may hold in total.
    pub(crate) fn connections(&self, target: usize) -> u32 {
        let record = &self.targets[target].record;
        let limits = TargetLimits::of(record);
        let running = self.vms.iter().filter_map(|vm| vm.state.as_ref());
        let shares = running.filter_map(|state| state.broker_share(&key(record), limits, self.now));
        shares.map(|share| share.connections).sum()
    }

    pub(crate) fn count_reports(&self, wanted: impl Fn(&FleetAction) -> bool) -> usize {
        self.reports
            .iter()
            .filter(|(_, _, action)| wanted(action))
            .count()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            let Some(index) = self.running_at(delivery.to) else {
                continue;
            };
            self.with(index, |state, now| {
                let codec = bincode::config::standard();
                let decoded = bincode::serde::decode_from_slice(&delivery.bytes, codec);
                let (message, _) = decoded.expect("what was encoded can be decoded");
                state.on_message(delivery.from, message, now)
            });
        }
        while let Some(entry) = self.fetches.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (by, peer) = entry.remove();
            self.fetch(by, peer);
        }
    }

    fn fetch(&mut self, by: SocketAddr, peer: SocketAddr) {
        if self.is_cut(by, peer) || self.is_cut(peer, by) {
            return;
        }
        let (Some(by), Some(peer)) = (self.running_at(by), self.running_at(peer)) else {
            return;
        };
        let stamp = self.state(peer).applied_config();
        self.with(by, |state, now| state.on_config_applied(stamp, now));
    }

    fn perform_actions(&mut self, from: SocketAddr, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::Send { to, message } => self.send_message(from, to, &message),
                FleetAction::ConfigOutdated { peer, .. } => {
                    let at = self.now + Duration::from_millis(2 * self.delay_ms);
                    self.sequence += 1;
                    self.fetches.insert((at, self.sequence), (from, peer));
                }
                FleetAction::TargetsChanged => {}
                report => self.reports.push((self.now, from, report)),
            }
        }
    }

    fn send_message(&mut self, from: SocketAddr, to: SocketAddr, message: &FleetMessage) {
        let start = Instant::now();
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap();
        self.busy_time += start.elapsed();
        (self.observe)(from, message, bytes.len());
        if self.is_cut(from, to) || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
            return;
        }
        let at = self.now + Duration::from_millis(self.delay_ms);
        self.sequence += 1;
        self.queue
            .insert((at, self.sequence), Delivery { from, to, bytes });
    }

    fn announce(&mut self) {
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            if target.running && target.next_at <= self.now {
                self.announce_target(index);
            }
        }
    }

    /// Sends an announcement of the target now.
    pub(crate) fn announce_target(&mut self, index: usize) {
        let target = self.targets[index].clone();
        let vm = self
            .vms
            .iter()
            .position(|vm| vm.identity.targets == target.at);
        let mut reply = None;
        if let Some(vm) = vm {
            self.with(vm, |state, now| {
                let (result, actions) = state.announce(target.record.clone(), now);
                reply = result.ok();
                actions
            });
        }
        let random = self.rng.random_range(0..self.vms.len());
        let fallback = self.vms[random].identity.targets;
        let target = &mut self.targets[index];
        target.next_at = self.now + Duration::from_millis(reply.map_or(200, |reply| reply.next_ms));
        target.at = reply.map_or(fallback, |reply| reply.at);
    }

    fn running_at(&self, address: SocketAddr) -> Option<usize> {
        let at = |vm: &TestVm| vm.state.is_some() && vm.identity.peers == address;
        self.vms.iter().position(at)
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cuts.contains(&(from, to))
    }
}
