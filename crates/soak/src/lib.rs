//! A randomized soak test: injects faults into real processes on loopback and checks the tier's
//! guarantees against what callers, targets and operators observe.

mod callers;
mod faults;
mod http_client;
mod ledger;
mod operator;
mod proxy;
mod targets;
mod tier;

use std::{path::PathBuf, sync::Arc, time::Duration};

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub use self::ledger::{AnswerSeen, Ledger, RequestKind, RunSeen, Violation, expected_records};

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The program under test.
    pub program: PathBuf,
    /// A second build, by which VMs are replaced when they start again, and the other way round.
    pub old_program: Option<PathBuf>,
    /// Seed of the generator that draws all faults and their times.
    pub seed: u64,
    /// How long faults are injected.
    pub fault_duration: Duration,
    /// Number of entry VMs.
    pub entries: u8,
}

/// Result of one run.
#[derive(Debug)]
pub struct SoakReport {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// The injected faults with their times, in order.
    pub faults: Vec<String>,
    /// Number of requests with a successful answer.
    pub served: u64,
    /// Number of requests sent.
    pub requests: u64,
    /// Number of VMs that were replaced by the other build.
    pub replaced: u64,
    /// Folder with the settings, data and logs of the processes.
    pub folder: PathBuf,
}

/// Time in which the tier must serve every route again after the last fault.
const RECOVERY_S: u64 = 15;

/// Runs one seed.
///
/// # Panics
///
/// When the machine lacks what the soak itself needs, such as ports or a temporary folder.
pub async fn run_soak(settings: SoakSettings) -> SoakReport {
    let mut generator = Pcg64Mcg::seed_from_u64(settings.seed);
    let ledger = Arc::new(Ledger::default());
    let tasks = TaskTracker::new();
    let stop = CancellationToken::new();
    let mut tier = tier::Tier::start(&settings, &tasks).await;
    let targets = targets::TargetSet::start(&tier, &ledger, &tasks);
    let operator = operator::Operator::new(tier.keeper_addresses(), Arc::clone(&ledger));
    operator.submit_until_acknowledged(1).await;
    let recovery = Duration::from_secs(RECOVERY_S);
    if !callers::all_entries_serve(&tier, recovery).await {
        ledger.record_violation("the tier does not serve before any fault".to_owned());
    }
    for entry in tier.entry_vms() {
        for number in 0..callers::CALLERS_PER_ENTRY {
            let caller = callers::Caller::new(&entry, number, Arc::clone(&ledger));
            tasks.spawn(caller.run(stop.clone()));
        }
    }
    tasks.spawn(operator.clone().poll_keepers(stop.clone()));
    let mut faults = faults::FaultInjector::new(&ledger, settings.seed);
    faults
        .run(
            &mut tier,
            &targets,
            &operator,
            &mut generator,
            settings.fault_duration,
        )
        .await;
    tier.undo_faults().await;
    if !callers::all_entries_serve(&tier, recovery).await {
        ledger.record_violation(format!(
            "not served everywhere {RECOVERY_S} s after the last fault"
        ));
    }
    operator.check_final_reads(recovery).await;
    stop.cancel();
    targets.stop();
    tasks.close();
    // Answers and runs that are still in flight are checked as well.
    let _ = tokio::time::timeout(Duration::from_secs(5), tasks.wait()).await;
    let replaced = tier.replaced_count();
    let folder = tier.stop().await;
    ledger.check_runs();
    let (requests, served) = ledger.counts();
    SoakReport {
        violations: ledger.violations(),
        faults: faults.into_log(),
        served,
        requests,
        replaced,
        folder,
    }
}
