//! Things that happen to targets and daemons while a load runs.

use std::{str::FromStr, time::Duration};

use fulmarweir_base::ShardHolding;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{rig::TestRig, scenario::FIRST_VERSION, stand_in::StandIn, tier::DaemonProcess};

/// Pause between two targets that take up or drop a version.
const ROLL_OUT_STEP_MS: u64 = 10;
/// Time for which both versions are held.
const VERSION_OVERLAP_MS: u64 = 1_000;

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A target dies without a word.
    CrashTarget,
    /// A target announces that it leaves, finishes its work and refuses more.
    DrainTarget,
    /// The last daemon is stopped (SIGSTOP) until the end of the run.
    FreezeVm,
    /// The last daemon is killed (SIGKILL).
    KillVm,
    /// All targets take up a version with one shard less, then drop the old one.
    Repartition,
    /// All targets take up a new version, then drop the old one.
    RollOut,
}

/// An event and its time after the start of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadEvent {
    /// What happens.
    pub kind: EventKind,
    /// When.
    pub at: Duration,
}

impl FromStr for LoadEvent {
    type Err = String;

    /// Reads `KIND@SECONDS`, such as `roll-out@3`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, secs) = text.split_once('@').ok_or("expected KIND@SECONDS")?;
        let kind = match kind {
            "crash-target" => EventKind::CrashTarget,
            "drain-target" => EventKind::DrainTarget,
            "freeze-vm" => EventKind::FreezeVm,
            "kill-vm" => EventKind::KillVm,
            "repartition" => EventKind::Repartition,
            "roll-out" => EventKind::RollOut,
            _ => return Err(format!("{kind:?} is no event")),
        };
        let secs: f64 = secs.parse().map_err(|_| "expected seconds after @")?;
        let at = Duration::try_from_secs_f64(secs).map_err(|error| error.to_string())?;
        Ok(Self { kind, at })
    }
}

/// Lets every event happen at its time; ends after the last one.
pub(crate) async fn run_events(rig: &TestRig, events: &[LoadEvent], seed: u64, start: Instant) {
    let mut events = events.to_vec();
    events.sort_by_key(|event| event.at);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut version = FIRST_VERSION;
    for event in events {
        sleep_until(start + event.at).await;
        let target = &rig.targets[rng.random_range(0..rig.targets.len())];
        let last_vm = rig.tier.daemons().last();
        match event.kind {
            EventKind::CrashTarget => target.crash(),
            EventKind::DrainTarget => target.drain().await,
            // A daemon that has ended already needs no signal.
            EventKind::FreezeVm => drop(last_vm.map(DaemonProcess::freeze)),
            EventKind::KillVm => drop(last_vm.map(DaemonProcess::crash)),
            EventKind::Repartition => roll_out(&rig.targets, &mut version, 1).await,
            EventKind::RollOut => roll_out(&rig.targets, &mut version, 0).await,
        }
    }
}

/// Replaces `version` by the next one, with fewer shards if `removed_shards` is not zero.
async fn roll_out(targets: &[StandIn], version: &mut u64, removed_shards: u32) {
    let old = *version;
    *version += 1;
    for target in targets {
        if let Some(held) = target.holding_of(old) {
            let of = held.of.saturating_sub(removed_shards).max(1);
            target.add_holding(ShardHolding {
                version: *version,
                shard: held.shard % of,
                of,
            });
        }
        sleep(Duration::from_millis(ROLL_OUT_STEP_MS)).await;
    }
    sleep(Duration::from_millis(VERSION_OVERLAP_MS)).await;
    for target in targets {
        target.drop_version(old);
        sleep(Duration::from_millis(ROLL_OUT_STEP_MS)).await;
    }
}
