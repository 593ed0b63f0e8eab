//! Acts under idempotency keys while daemons are killed and links are cut.
//!
//! `ACT_KEYS` sets the number of keys and `ACT_SEED` the seed, for longer runs.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fulmarweir_bench::{DaemonProcess, StandIn, Tier};
use fulmarweir_tests::{
    ActResult, TestCaller, cut_once, service_config, single_centre_settings, start_targets,
};
use futures::{StreamExt as _, future::join_all, stream};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::{sync::watch, time::sleep};

const VMS: u32 = 5;
const DEFAULT_KEYS: u64 = 300;
const DEFAULT_SEED: u64 = 11;
const MINORITY_KEYS: usize = 20;
const CALLERS: usize = 24;
const SENDS_MAX: u32 = 4;
/// Share of acts whose caller gives up early and resends to another daemon.
const SHORT_TIMEOUT_SHARE: f64 = 0.2;
const SHORT_TIMEOUT_MS: u64 = 15;
const ACT_TIMEOUT_MS: u64 = 4000;
const RESEND_PAUSE_MAX_MS: u64 = 150;
const DOWN_MAX_MS: u64 = 400;
/// Longer than the deadline of an act.
const ACTS_SETTLE_MS: u64 = 2500;

/// Counts of the run verdicts that a caller got for one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyVerdicts {
    ran: u32,
    not_run: u32,
    unknown: u32,
}

impl KeyVerdicts {
    fn record(&mut self, result: ActResult) {
        match result {
            ActResult::Ran => self.ran += 1,
            ActResult::NotRun => self.not_run += 1,
            ActResult::MayHaveRun => self.unknown += 1,
        }
    }

    /// Whether the number of runs contradicts the verdicts.
    fn is_violated_by(self, runs: u64) -> bool {
        let is_lost = self.ran > 0 && runs == 0;
        let is_denied = self.ran == 0 && self.unknown == 0 && runs > 0;
        runs > 1 || is_lost || is_denied
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

/// Sends the act of one key to random daemons, sometimes again after it has run.
async fn send_key(addresses: &[SocketAddr], key: &str, seed: u64) -> KeyVerdicts {
    let caller = TestCaller::default();
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut verdicts = KeyVerdicts::default();
    for _ in 0..SENDS_MAX {
        let address = addresses[generator.random_range(0..addresses.len())];
        let uses_short_timeout = generator.random_bool(SHORT_TIMEOUT_SHARE);
        let timeout_ms = if uses_short_timeout {
            SHORT_TIMEOUT_MS
        } else {
            ACT_TIMEOUT_MS
        };
        let timeout = Duration::from_millis(timeout_ms);
        let result = caller.act(address, key, timeout).await;
        verdicts.record(result);
        if result == ActResult::Ran && generator.random_bool(0.7) {
            break;
        }
        let pause_ms = generator.random_range(0..RESEND_PAUSE_MAX_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
    verdicts
}

/// Cuts links and kills and restarts daemons in turn, and returns the number of kills.
async fn inject_faults(tier: &mut Tier, seed: u64, stop: watch::Receiver<bool>) -> u32 {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut kills = 0;
    while !*stop.borrow() {
        cut_once(tier, &mut generator).await;
        let victim = generator.random_range(0..tier.daemons().len());
        tier.daemon_mut(victim).kill().await.unwrap();
        let down_ms = generator.random_range(0..DOWN_MAX_MS);
        sleep(Duration::from_millis(down_ms)).await;
        tier.restart(victim).await.unwrap();
        kills += 1;
    }
    kills
}

/// Sends one act for each of [`MINORITY_KEYS`] keys while two of three voters are down.
async fn send_without_majority(
    tier: &mut Tier,
    addresses: &[SocketAddr],
) -> Vec<(String, KeyVerdicts)> {
    let (down, up) = (1..3, [0, 3, 4]);
    for victim in down.clone() {
        tier.daemon_mut(victim).kill().await.unwrap();
    }
    let sends = (0..MINORITY_KEYS).map(|number| async move {
        let key = format!("lonely-{number}");
        let address = addresses[up[number % up.len()]];
        let timeout = Duration::from_millis(ACT_TIMEOUT_MS);
        let mut verdicts = KeyVerdicts::default();
        verdicts.record(TestCaller::default().act(address, &key, timeout).await);
        (key, verdicts)
    });
    let verdicts = join_all(sends).await;
    for victim in down {
        tier.restart(victim).await.unwrap();
    }
    sleep(Duration::from_millis(ACTS_SETTLE_MS)).await;
    verdicts
}

fn runs_by_key(targets: &[StandIn]) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for run in targets.iter().flat_map(StandIn::runs) {
        *runs.entry(run.key).or_default() += run.runs;
    }
    runs
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_runs_twice_or_against_its_verdict() {
    let count = env_number("ACT_KEYS", DEFAULT_KEYS);
    let seed = env_number("ACT_SEED", DEFAULT_SEED);
    let mut settings = single_centre_settings(VMS);
    settings.proxy_peers = true;
    let mut tier = Tier::start(&settings).await.unwrap();
    tier.submit_config(&service_config("act", ""), 0)
        .await
        .unwrap();
    let targets = start_targets(&tier, 42, 2, 2).await;
    let addresses: Vec<_> = tier.daemons().iter().map(DaemonProcess::callers).collect();
    // Time for the daemons to learn of the targets.
    sleep(Duration::from_millis(ACTS_SETTLE_MS)).await;

    let stop = watch::Sender::new(false);
    let work = async {
        let keys = stream::iter((0..count).map(|number| {
            let addresses = &addresses;
            async move {
                let key = format!("act-{number}");
                let verdicts = send_key(addresses, &key, seed * 100_000 + number).await;
                (key, verdicts)
            }
        }));
        let verdicts: Vec<_> = keys.buffer_unordered(CALLERS).collect().await;
        stop.send_replace(true);
        verdicts
    };
    let (verdicts, kills) = tokio::join!(work, inject_faults(&mut tier, seed, stop.subscribe()));
    sleep(Duration::from_millis(ACTS_SETTLE_MS)).await;

    let refused = send_without_majority(&mut tier, &addresses).await;
    let runs = runs_by_key(&targets);
    let runs_of = |key: &String| runs.get(key).copied().unwrap_or_default();
    let broken: Vec<_> = verdicts
        .iter()
        .chain(&refused)
        .filter(|(key, verdicts)| verdicts.is_violated_by(runs_of(key)))
        .map(|(key, verdicts)| (key, verdicts, runs_of(key)))
        .collect();
    let reported_ran = verdicts
        .iter()
        .filter(|(_, verdicts)| verdicts.ran > 0)
        .count();
    let only_not_run = verdicts
        .iter()
        .chain(&refused)
        .filter(|(_, verdicts)| verdicts.ran == 0 && verdicts.unknown == 0)
        .count();
    println!(
        "{count} keys, seed {seed}, {kills} kills: {} ran, {reported_ran} told so, \
         {only_not_run} told only not-run",
        runs.len()
    );
    assert!(broken.is_empty(), "{broken:?}");
    assert!(kills > 0 && reported_ran > 0 && only_not_run > 0);
    tier.stop().await.unwrap();
}
