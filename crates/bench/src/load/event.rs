//! Faults and changes that are applied to targets and daemons during a load run.

use std::{str::FromStr, time::Duration};

use fulmarweir_base::ShardHolding;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{rig::TestRig, scenario::FIRST_VERSION, stand_in::StandIn, tier::DaemonProcess};

/// Time between two targets that add or drop a version.
const ROLL_OUT_STEP_MS: u64 = 10;
/// Time for which the targets hold both versions.
const VERSION_OVERLAP_MS: u64 = 1_000;

/// Kind of event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A target crashes without an announcement.
    CrashTarget,
    /// A target announces that it is draining, finishes its work and refuses new requests.
    DrainTarget,
    /// The last daemon is paused with SIGSTOP until the end of the run.
    FreezeVm,
    /// The last daemon is killed with SIGKILL.
    KillVm,
    /// All targets add a version with one shard fewer, then drop the old version.
    Repartition,
    /// All targets add a new version, then drop the old version.
    RollOut,
}

/// An event and the time at which it occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadEvent {
    /// Kind of event.
    pub kind: EventKind,
    /// Time of the event, relative to the start of the run.
    pub at: Duration,
}

impl FromStr for LoadEvent {
    type Err = String;

    /// Parses `KIND@SECONDS`, e.g. `roll-out@3`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, secs) = text.split_once('@').ok_or("expected KIND@SECONDS")?;
        let kind = match kind {
            "crash-target" => EventKind::CrashTarget,
            "drain-target" => EventKind::DrainTarget,
            "freeze-vm" => EventKind::FreezeVm,
            "kill-vm" => EventKind::KillVm,
            "repartition" => EventKind::Repartition,
            "roll-out" => EventKind::RollOut,
            _ => return Err(format!("unknown kind of event {kind:?}")),
        };
        let secs: f64 = secs.parse().map_err(|_| "expected seconds after @")?;
        let at = Duration::try_from_secs_f64(secs).map_err(|error| error.to_string())?;
        Ok(Self { kind, at })
    }
}

/// Applies each event at its time and returns after the last event.
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
            // Signalling a daemon that has exited fails, which is ignored.
            EventKind::FreezeVm => drop(last_vm.map(DaemonProcess::freeze)),
            EventKind::KillVm => drop(last_vm.map(DaemonProcess::crash)),
            EventKind::Repartition => roll_out(&rig.targets, &mut version, 1).await,
            EventKind::RollOut => roll_out(&rig.targets, &mut version, 0).await,
        }
    }
}

/// Replaces `version` with the next version, which has `removed_shards` fewer shards.
async fn roll_out(targets: &[StandIn], version: &mut u64, removed_shards: u32) {
    let old = *version;
    *version += 1;
    for target in targets {
        if let Some(holding) = target.holding_of(old) {
            let of = holding.of.saturating_sub(removed_shards).max(1);
            target.add_holding(ShardHolding {
                version: *version,
                shard: holding.shard % of,
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
