//! The faults of one run, drawn from its seed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt as _};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    ledger::Ledger,
    operator::Operator,
    proxy::LinkMode,
    targets::TargetPark,
    tier::{KEEPERS, Tier},
};

/// Time between two faults; some overlap by chance.
const GAP_MS: std::ops::Range<u64> = 60..900;
const HARM_MS: std::ops::Range<u64> = 200..1_800;
/// Time until a voter with an empty disk counts again.
const CATCH_UP: Duration = Duration::from_secs(6);

/// Something to undo later.
enum Remedy {
    Start(usize),
    Wake(usize),
    OpenNode(usize),
    OpenTarget(usize),
}

/// Injects faults and tells which.
pub(crate) struct FaultRun {
    ledger: Arc<Ledger>,
    told: Vec<String>,
    remedies: Vec<(Instant, Remedy)>,
    started: Instant,
    wiped_at: Option<Instant>,
}

impl FaultRun {
    pub(crate) fn new(ledger: &Arc<Ledger>) -> Self {
        Self {
            ledger: Arc::clone(ledger),
            told: Vec::new(),
            remedies: Vec::new(),
            started: Instant::now(),
            wiped_at: None,
        }
    }

    pub(crate) fn told(self) -> Vec<String> {
        self.told
    }

    fn tell(&mut self, text: &str) {
        self.ledger.fault_now();
        let at = self.started.elapsed().as_millis();
        self.told.push(format!("{at:>6} ms  {text}"));
    }

    pub(crate) async fn run(
        &mut self,
        tier: &mut Tier,
        targets: &TargetPark,
        operator: &Operator,
        generator: &mut impl Rng,
        period: Duration,
    ) {
        self.started = Instant::now();
        while self.started.elapsed() < period {
            let gap = Duration::from_millis(generator.random_range(GAP_MS));
            let until = Instant::now() + gap;
            while Instant::now() < until {
                self.look_after(tier).await;
                sleep(Duration::from_millis(20)).await;
            }
            self.inject(tier, targets, operator, generator).await;
        }
        self.remedies.clear();
    }

    /// Carries out remedies that are due, and notes processes that ended by themselves.
    async fn look_after(&mut self, tier: &mut Tier) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.remedies)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.remedies = later;
        for (_, remedy) in due {
            match remedy {
                Remedy::Start(node) => tier.nodes[node].ensure_runs().await,
                Remedy::Wake(node) => {
                    tier.nodes[node].signal(Signal::CONT);
                    tier.nodes[node].hurt();
                }
                Remedy::OpenNode(node) => tier.nodes[node].proxy.set(LinkMode::Open),
                Remedy::OpenTarget(place) => tier.target_links()[place].2.set(LinkMode::Open),
            }
        }
        for node in &mut tier.nodes {
            if node.ended_by_itself() {
                self.ledger.note(format!("{} ended by itself", node.name));
                node.ensure_runs().await;
            }
        }
    }

    fn later(&mut self, generator: &mut impl Rng, remedy: Remedy) {
        let after = Duration::from_millis(generator.random_range(HARM_MS));
        self.remedies.push((Instant::now() + after, remedy));
    }

    async fn inject(
        &mut self,
        tier: &mut Tier,
        targets: &TargetPark,
        operator: &Operator,
        generator: &mut impl Rng,
    ) {
        let node = generator.random_range(0..tier.nodes.len());
        let place = generator.random_range(0..targets.places.len());
        let keeper = generator.random_range(0..usize::from(KEEPERS));
        let name = tier.nodes[node].name.clone();
        match generator.random_range(0..15_u32) {
            0 | 1 => {
                self.tell(&format!("kill {name}"));
                tier.nodes[node].kill().await;
                self.later(generator, Remedy::Start(node));
            }
            2 | 3 => {
                self.tell(&format!("terminate {name}"));
                if !tier.nodes[node].terminate().await {
                    self.ledger.note(format!("{name} did not end in its grace"));
                }
                self.later(generator, Remedy::Start(node));
            }
            4 => {
                self.tell(&format!("pause {name}"));
                tier.nodes[node].hurt();
                tier.nodes[node].signal(Signal::STOP);
                self.later(generator, Remedy::Wake(node));
            }
            5 => self.lose_disk(tier, keeper, generator).await,
            6 => {
                let name = tier.nodes[keeper].name.clone();
                self.tell(&format!("kill {name} in the middle of a write"));
                tier.nodes[keeper].kill().await;
                let garbage = vec![0; generator.random_range(1..200)];
                tier.nodes[keeper].tear_log(&garbage);
                self.later(generator, Remedy::Start(keeper));
            }
            7 => {
                self.tell("kill all keepers");
                for keeper in 0..usize::from(KEEPERS) {
                    tier.nodes[keeper].kill().await;
                    self.later(generator, Remedy::Start(keeper));
                }
            }
            8 | 9 => {
                let mode = LinkMode::HARMS[generator.random_range(0..LinkMode::HARMS.len())];
                let name = tier.nodes[keeper].name.clone();
                self.tell(&format!("link to {name}: {mode:?}"));
                tier.nodes[keeper].proxy.set(mode);
                self.later(generator, Remedy::OpenNode(keeper));
            }
            10 => {
                let mode = LinkMode::HARMS[generator.random_range(0..LinkMode::HARMS.len())];
                self.tell(&format!("link to target {place}: {mode:?}"));
                targets.places[place].proxy.set(mode);
                self.later(generator, Remedy::OpenTarget(place));
            }
            11 => {
                self.tell(&format!("crash target {place}"));
                targets.places[place].crash();
            }
            12 => {
                self.tell(&format!("target {place} leaves"));
                targets.places[place].leave();
            }
            _ => self.change_config(operator, keeper, generator).await,
        }
    }

    async fn lose_disk(&mut self, tier: &mut Tier, keeper: usize, generator: &mut impl Rng) {
        let lately = self.wiped_at.is_some_and(|at| at.elapsed() < CATCH_UP);
        if lately || self.started.elapsed() < Duration::from_secs(2) {
            return;
        }
        let name = tier.nodes[keeper].name.clone();
        self.tell(&format!("{name} loses its disk"));
        tier.nodes[keeper].kill().await;
        tier.nodes[keeper].wipe_disk();
        // The time to catch up counts from the start.
        self.wiped_at = Some(Instant::now() + Duration::from_millis(HARM_MS.end));
        self.later(generator, Remedy::Start(keeper));
    }

    async fn change_config(
        &mut self,
        operator: &Operator,
        keeper: usize,
        generator: &mut impl Rng,
    ) {
        let version = operator.new_version();
        tokio::spawn(operator.clone().change(version, keeper));
        match generator.random_range(0..3_u32) {
            0 => {
                let other = operator.new_version();
                self.tell(&format!("configurations {version} and {other} race"));
                tokio::spawn(operator.clone().change(other, keeper + 1));
            }
            1 => {
                self.tell(&format!("configuration {version} and an invalid one"));
                operator.submit_invalid(keeper).await;
            }
            _ => self.tell(&format!("configuration {version}")),
        }
    }
}
