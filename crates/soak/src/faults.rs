//! Injects random faults, drawn from the seed of the run, and undoes them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    ledger::Ledger,
    operator::Operator,
    proxy::{LinkMode, VmCuts},
    targets::TargetSet,
    tier::{KEEPERS, Tier},
};

/// Time between two faults, shorter than some faults, so that faults overlap.
const GAP_MS: std::ops::Range<u64> = 60..900;
/// Duration of a fault.
const FAULT_MS: std::ops::Range<u64> = 200..1_800;
/// Distinguishes the draws of cuts from all others of a seed.
const CUT_SEED: u64 = 31;
/// Time until a keeper with an empty disk has caught up and counts as a voter again. Until then,
/// no other disk is wiped.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// Time between two cuts of VMs from all targets, and duration of one.
const CUT_GAP_MS: std::ops::Range<u64> = 300..3_000;
const CUT_MS: std::ops::Range<u64> = 500..4_000;

/// Distinguishes the draws of failing targets from all others of a seed.
const FAILURE_SEED: u64 = 57;
/// Time between two changes of which targets fail after they have run a request.
const FAILURE_MS: std::ops::Range<u64> = 500..3_000;
/// Share of the targets that fail.
const FAILING_SHARE: f64 = 0.25;
/// Statuses of their failures. Of the first ones, callers take each for a promise that nothing has run.
const FAILURES: [StatusCode; 6] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::INTERNAL_SERVER_ERROR,
    StatusCode::BAD_GATEWAY,
];

/// How to undo a fault; holds the index of the node or target host.
enum FaultUndo {
    Restart(usize),
    Resume(usize),
    OpenNodeLink(usize),
    OpenTargetLink(usize),
}

/// Injects faults and logs them.
pub(crate) struct FaultInjector {
    ledger: Arc<Ledger>,
    log: Vec<String>,
    pending_undos: Vec<(Instant, FaultUndo)>,
    started: Instant,
    /// Draws the cuts of VMs from targets, so that the other faults of a seed stay the same.
    cut_generator: Pcg64Mcg,
    next_cut_change: Instant,
    is_cut: bool,
    /// Draws the targets that fail, for the same reason.
    failure_generator: Pcg64Mcg,
    next_failure_change: Instant,
    wiped_keeper_restart: Option<Instant>,
}

impl FaultInjector {
    pub(crate) fn new(ledger: &Arc<Ledger>, seed: u64) -> Self {
        Self {
            ledger: Arc::clone(ledger),
            log: Vec::new(),
            pending_undos: Vec::new(),
            started: Instant::now(),
            cut_generator: Pcg64Mcg::seed_from_u64(seed ^ CUT_SEED),
            next_cut_change: Instant::now(),
            is_cut: false,
            failure_generator: Pcg64Mcg::seed_from_u64(seed ^ FAILURE_SEED),
            next_failure_change: Instant::now(),
            wiped_keeper_restart: None,
        }
    }

    pub(crate) fn into_log(self) -> Vec<String> {
        self.log
    }

    fn log_fault(&mut self, text: &str) {
        self.ledger.record_fault();
        self.log_change(text);
    }

    /// Logs a change during which all guarantees are checked.
    fn log_change(&mut self, text: &str) {
        let at = self.started.elapsed().as_millis();
        self.log.push(format!("{at:>6} ms  {text}"));
    }

    pub(crate) async fn run(
        &mut self,
        tier: &mut Tier,
        targets: &TargetSet,
        operator: &Operator,
        generator: &mut impl Rng,
        duration: Duration,
    ) {
        self.started = Instant::now();
        while self.started.elapsed() < duration {
            let gap = Duration::from_millis(generator.random_range(GAP_MS));
            let until = Instant::now() + gap;
            while Instant::now() < until {
                self.tick(tier).await;
                self.change_cuts(tier);
                self.change_failures(targets);
                sleep(Duration::from_millis(20)).await;
            }
            self.inject_fault(tier, targets, operator, generator).await;
        }
        targets.hosts.iter().for_each(|host| host.set_failure(None));
        // `Tier::undo_faults` undoes the remaining faults.
        self.pending_undos.clear();
    }

    /// Undoes the faults that are due, and restarts and reports processes that ended by themselves.
    async fn tick(&mut self, tier: &mut Tier) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.pending_undos)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.pending_undos = later;
        for (_, undo) in due {
            match undo {
                FaultUndo::Restart(node) => tier.nodes[node].ensure_running().await,
                FaultUndo::Resume(node) => {
                    tier.nodes[node].signal(Signal::CONT);
                    tier.nodes[node].mark_disrupted();
                }
                FaultUndo::OpenNodeLink(node) => tier.nodes[node].proxy.set(LinkMode::Open),
                FaultUndo::OpenTargetLink(host) => tier.target_links()[host].2.set(LinkMode::Open),
            }
        }
        for node in &mut tier.nodes {
            if node.exited_unexpectedly() {
                self.ledger
                    .record_violation(format!("{} ended by itself", node.name));
                node.ensure_running().await;
            }
        }
    }

    /// Cuts some entry VMs off from all targets, or ends the last such cut.
    fn change_cuts(&mut self, tier: &Tier) {
        if Instant::now() < self.next_cut_change {
            return;
        }
        let generator = &mut self.cut_generator;
        let mut cut = Vec::new();
        let was_cut = self.is_cut;
        self.is_cut = !was_cut;
        let span = if was_cut {
            tier.cuts.clear();
            CUT_GAP_MS
        } else {
            let mode = VmCuts::MODES[generator.random_range(0..VmCuts::MODES.len())];
            let share = generator.random_range(0.2..1.0);
            for vm in tier.entry_vms() {
                if generator.random_bool(share) {
                    tier.cuts.set(vm.caller_address.ip(), mode);
                    cut.push(format!("{} {mode:?}", vm.name));
                }
            }
            CUT_MS
        };
        let span = Duration::from_millis(generator.random_range(span));
        self.next_cut_change = Instant::now() + span;
        self.log_fault(&format!("cut off from all targets: {}", cut.join(", ")));
    }

    /// Makes other targets fail after they have run a request.
    fn change_failures(&mut self, targets: &TargetSet) {
        if Instant::now() < self.next_failure_change {
            return;
        }
        let generator = &mut self.failure_generator;
        let mut failing = Vec::new();
        for (number, host) in targets.hosts.iter().enumerate() {
            let status = FAILURES[generator.random_range(0..FAILURES.len())];
            let fails = generator.random_bool(FAILING_SHARE);
            host.set_failure(fails.then_some(status));
            if fails {
                failing.push(format!("{number} {}", status.as_u16()));
            }
        }
        let span = Duration::from_millis(generator.random_range(FAILURE_MS));
        self.next_failure_change = Instant::now() + span;
        self.log_change(&format!("targets fail after runs: {}", failing.join(", ")));
    }

    fn schedule_undo(&mut self, generator: &mut impl Rng, undo: FaultUndo) {
        let after = Duration::from_millis(generator.random_range(FAULT_MS));
        self.pending_undos.push((Instant::now() + after, undo));
    }

    async fn inject_fault(
        &mut self,
        tier: &mut Tier,
        targets: &TargetSet,
        operator: &Operator,
        generator: &mut impl Rng,
    ) {
        let node = generator.random_range(0..tier.nodes.len());
        let host = generator.random_range(0..targets.hosts.len());
        let keeper = generator.random_range(0..usize::from(KEEPERS));
        let name = tier.nodes[node].name.clone();
        match generator.random_range(0..15_u32) {
            0 | 1 => {
                self.log_fault(&format!("kill {name}"));
                tier.nodes[node].kill().await;
                self.schedule_undo(generator, FaultUndo::Restart(node));
            }
            2 | 3 => {
                self.log_fault(&format!("terminate {name}"));
                if !tier.nodes[node].terminate().await {
                    self.ledger
                        .record_violation(format!("{name} did not end in its grace"));
                }
                self.schedule_undo(generator, FaultUndo::Restart(node));
            }
            4 => {
                self.log_fault(&format!("pause {name}"));
                tier.nodes[node].mark_disrupted();
                tier.nodes[node].signal(Signal::STOP);
                self.schedule_undo(generator, FaultUndo::Resume(node));
            }
            5 => self.wipe_keeper_disk(tier, keeper, generator).await,
            6 => {
                let name = tier.nodes[keeper].name.clone();
                self.log_fault(&format!("kill {name} in the middle of a write"));
                tier.nodes[keeper].kill().await;
                let garbage = vec![0; generator.random_range(1..200)];
                tier.nodes[keeper].append_torn_write(&garbage);
                self.schedule_undo(generator, FaultUndo::Restart(keeper));
            }
            7 => {
                self.log_fault("kill all keepers");
                for keeper in 0..usize::from(KEEPERS) {
                    tier.nodes[keeper].kill().await;
                    self.schedule_undo(generator, FaultUndo::Restart(keeper));
                }
            }
            8 | 9 => {
                let mode = LinkMode::FAULTS[generator.random_range(0..LinkMode::FAULTS.len())];
                let name = tier.nodes[keeper].name.clone();
                self.log_fault(&format!("link to {name}: {mode:?}"));
                tier.nodes[keeper].proxy.set(mode);
                self.schedule_undo(generator, FaultUndo::OpenNodeLink(keeper));
            }
            10 => {
                let mode = LinkMode::FAULTS[generator.random_range(0..LinkMode::FAULTS.len())];
                self.log_fault(&format!("link to target {host}: {mode:?}"));
                targets.hosts[host].proxy.set(mode);
                self.schedule_undo(generator, FaultUndo::OpenTargetLink(host));
            }
            11 => {
                self.log_fault(&format!("crash target {host}"));
                targets.hosts[host].crash();
            }
            12 => {
                self.log_fault(&format!("target {host} leaves"));
                targets.hosts[host].request_drain();
            }
            _ => self.submit_configs(operator, keeper, generator).await,
        }
    }

    async fn wipe_keeper_disk(&mut self, tier: &mut Tier, keeper: usize, generator: &mut impl Rng) {
        let is_recent = self
            .wiped_keeper_restart
            .is_some_and(|at| at.elapsed() < CATCH_UP_TIME);
        if is_recent || self.started.elapsed() < Duration::from_secs(2) {
            return;
        }
        let name = tier.nodes[keeper].name.clone();
        self.log_fault(&format!("{name} loses its disk"));
        tier.nodes[keeper].kill().await;
        tier.nodes[keeper].wipe_disk();
        // Draws nothing from the generator, so that the other faults of a seed stay the same.
        if self.log.len().is_multiple_of(2) {
            self.kill_others(tier, keeper).await;
        }
        // The time to catch up counts from the latest possible restart.
        self.wiped_keeper_restart = Some(Instant::now() + Duration::from_millis(FAULT_MS.end));
        self.schedule_undo(generator, FaultUndo::Restart(keeper));
    }

    /// Kills all VMs but `spared`, which is down already. They start again at once.
    async fn kill_others(&mut self, tier: &mut Tier, spared: usize) {
        self.log_fault("all other VMs are killed at the same time");
        let now = Instant::now();
        for node in (0..tier.nodes.len()).filter(|node| *node != spared) {
            tier.nodes[node].kill().await;
            self.pending_undos.push((now, FaultUndo::Restart(node)));
        }
    }

    async fn submit_configs(
        &mut self,
        operator: &Operator,
        keeper: usize,
        generator: &mut impl Rng,
    ) {
        let version = operator.new_version();
        tokio::spawn(operator.clone().submit_with_retries(version, keeper));
        match generator.random_range(0..3_u32) {
            0 => {
                let other = operator.new_version();
                self.log_fault(&format!("configurations {version} and {other} race"));
                tokio::spawn(operator.clone().submit_with_retries(other, keeper + 1));
            }
            1 => {
                self.log_fault(&format!("configuration {version} and an invalid one"));
                operator.submit_invalid(keeper).await;
            }
            _ => self.log_fault(&format!("configuration {version}")),
        }
    }
}
