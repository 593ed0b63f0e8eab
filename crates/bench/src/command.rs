//! Subcommands of the command line.

use std::{
    path::{Path, PathBuf},
    process::Stdio,
    thread,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use fulmarweir_base::ShardHolding;
use fulmarweir_conf::VmSettings;
use tokio::process::Command;

use crate::{
    bare::{BareSettings, run_bare},
    compare::{CompareVariant, compare_table, run_compare},
    demo::run_demo,
    error::BenchError,
    flags::{Bare, Compare, FulmarweirBench, FulmarweirBenchCmd, Load, Targets},
    load::{LoadReport, LoadSettings, RequestMix, run_load},
    output::{report_tables, write_json, write_plot},
    rig::TestRig,
    scenario::{FIRST_VERSION, Scenario, ScenarioSettings},
    stand_in::{ServiceTime, StandIn, StandInSettings},
    tier::daemon_program,
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const DEFAULT_STRAGGLER_MS: f64 = 80.0;
const DEFAULT_STRAGGLER_ONE_IN: u32 = 100;
const DEFAULT_RATE_PER_SEC: f64 = 200.0;
const DEFAULT_ROUNDS: u32 = 3;
const DEFAULT_SCALE: f64 = 0.1;
const DEFAULT_DURATION_SECONDS: f64 = 10.0;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_SERVICE: &str = "street-app/pitches";
const DEFAULT_SERVICE_MS: f64 = 4.0;
const DEFAULT_SHARDS: u32 = 3;
const DEFAULT_WARM_UP_SECONDS: f64 = 3.0;
const DEFAULT_VMS: u32 = 2;
const DEFAULT_TARGET_SERVICE_MS: f64 = 2.0;

/// Parses the command line and runs its subcommand.
///
/// # Errors
///
/// The error of the subcommand.
pub async fn run_command_line() -> Result<()> {
    match FulmarweirBench::from_env_or_exit().subcommand {
        FulmarweirBenchCmd::Demo(flags) => {
            run_demo(program_or_default(flags.program)?, flags.stay).await
        }
        FulmarweirBenchCmd::Daemon(flags) => run_daemon(&flags.settings),
        FulmarweirBenchCmd::Targets(flags) => serve_targets(flags).await,
        FulmarweirBenchCmd::Load(flags) => load_once(flags).await,
        FulmarweirBenchCmd::Compare(flags) => compare(flags).await,
        FulmarweirBenchCmd::Bare(flags) => bare(flags).await,
    }
}

/// Runs the daemon on a separate thread, because the daemon starts its own Tokio runtime.
fn run_daemon(settings: &Path) -> Result<()> {
    let settings = VmSettings::read(settings).change_context(BenchError::Settings)?;
    let daemon = thread::spawn(move || fulmarweir_daemon::run(settings));
    match daemon.join() {
        Ok(ended) => ended.change_context(BenchError::Daemon),
        Err(_) => Err(Report::new(BenchError::Daemon)),
    }
}

fn program_or_default(program: Option<PathBuf>) -> Result<PathBuf> {
    program.map_or_else(daemon_program, Ok)
}

/// Scenario and load settings, which `load` and `compare` parse from the same flags.
struct WorkloadSettings {
    scenario: ScenarioSettings,
    load: LoadSettings,
}

macro_rules! workload_from_flags {
    ($flags:ty) => {
        impl From<&$flags> for WorkloadSettings {
            fn from(flags: &$flags) -> Self {
                let seed = flags.seed.unwrap_or(DEFAULT_SEED);
                let service_time = ServiceTime::Straggler {
                    usual_ms: flags.service_ms.unwrap_or(DEFAULT_SERVICE_MS),
                    late_ms: flags.late_ms.unwrap_or(DEFAULT_STRAGGLER_MS),
                    one_in: flags.one_in.unwrap_or(DEFAULT_STRAGGLER_ONE_IN),
                };
                let scenario = ScenarioSettings {
                    name: flags.scenario,
                    scale: flags.scale.unwrap_or(DEFAULT_SCALE),
                    centres: flags.centres.unwrap_or(3),
                    vms: flags.vms.unwrap_or(DEFAULT_VMS),
                    replicas: flags.replicas,
                    service_time,
                    overrides: Vec::new(),
                    faults: flags.fault.clone(),
                    slow: flags.slow,
                    seed,
                };
                let load = LoadSettings {
                    label: "load".to_owned(),
                    rate_per_sec: flags.rate.unwrap_or(DEFAULT_RATE_PER_SEC),
                    warm_up: duration_or_default(flags.warm_up.or(Some(DEFAULT_WARM_UP_SECONDS))),
                    duration: duration_or_default(flags.seconds),
                    seed,
                    mix: RequestMix {
                        lookups: flags.lookups.unwrap_or(0.2),
                        acts: flags.acts.unwrap_or(0.05),
                    },
                    events: flags.event.clone(),
                    progress: true,
                };
                Self { scenario, load }
            }
        }
    };
}

workload_from_flags!(Load);
workload_from_flags!(Compare);

fn duration_or_default(given: Option<f64>) -> Duration {
    let seconds = given.unwrap_or(DEFAULT_DURATION_SECONDS);
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

async fn load_once(flags: Load) -> Result<()> {
    let mut settings = WorkloadSettings::from(&flags);
    settings.scenario.overrides.extend(flags.set);
    let program = program_or_default(flags.program)?;
    let rig = TestRig::start(Scenario::new(settings.scenario)?, program).await?;
    let report = run_load(&rig, &settings.load).await;
    rig.stop().await?;
    let report = report?;
    println!("{}", report_tables(&report));
    write_reports(flags.json, flags.plot, &[report])
}

async fn compare(flags: Compare) -> Result<()> {
    let settings = WorkloadSettings::from(&flags);
    let program = program_or_default(flags.program)?;
    let first = CompareVariant {
        label: "first".to_owned(),
        program: program.clone(),
        overrides: flags.first,
    };
    let second = CompareVariant {
        label: "second".to_owned(),
        program: flags.second_program.unwrap_or(program),
        overrides: flags.second,
    };
    let rounds = flags.rounds.unwrap_or(DEFAULT_ROUNDS);
    let variants = [&first, &second];
    let report = run_compare(&settings.scenario, &settings.load, variants, rounds).await?;
    for report in report.first.iter().chain(&report.second) {
        println!("{}\n", report_tables(report));
    }
    println!(
        "first: {:?}, second: {:?}",
        first.overrides, second.overrides
    );
    println!("{}", compare_table(&report));
    let reports: Vec<LoadReport> = report.first.into_iter().chain(report.second).collect();
    write_reports(flags.json, flags.plot, &reports)
}

fn write_reports(
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
    reports: &[LoadReport],
) -> Result<()> {
    if let Some(path) = json {
        write_json(&path, reports)?;
    }
    if let Some(path) = plot {
        write_plot(&path, reports)?;
    }
    Ok(())
}

async fn serve_targets(flags: Targets) -> Result<()> {
    let service = flags.service.as_deref().unwrap_or(DEFAULT_SERVICE);
    let shards = flags.shards.unwrap_or(DEFAULT_SHARDS);
    let version = flags.version.unwrap_or(FIRST_VERSION);
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let mut targets = Vec::new();
    for number in 0..shards * flags.replicas.unwrap_or(1) {
        let holding = ShardHolding {
            version,
            shard: number % shards,
            of: shards,
        };
        let mut settings = target_settings(service, number, holding)?;
        settings.vms.clone_from(&flags.at_vm);
        settings.seed = seed.wrapping_add(u64::from(number));
        settings.behaviour.service_time = ServiceTime::Constant {
            millis: flags.service_ms.unwrap_or(DEFAULT_TARGET_SERVICE_MS),
        };
        let target = StandIn::start(settings).await?;
        println!("{} at {}", target.name(), target.address());
        targets.push(target);
    }
    tokio::signal::ctrl_c()
        .await
        .change_context(BenchError::Io)?;
    for target in targets {
        target.drain().await;
        let counters = target.stop().await;
        println!("requests {}, runs {}", counters.requests, counters.runs);
    }
    Ok(())
}

fn target_settings(service: &str, number: u32, holding: ShardHolding) -> Result<StandInSettings> {
    let name = format!("{service}-t{}", number + 1).parse();
    let service = service.parse().change_context(BenchError::Settings)?;
    Ok(StandInSettings::new(
        name.change_context(BenchError::Settings)?,
        service,
        holding,
    ))
}

async fn bare(flags: Bare) -> Result<()> {
    if flags.target.is_empty() {
        return bare_in_child(&flags).await;
    }
    let settings = BareSettings {
        targets: flags.target,
        service: DEFAULT_SERVICE.to_owned(),
        rate_per_sec: flags.rate.unwrap_or(DEFAULT_RATE_PER_SEC),
        duration: duration_or_default(flags.seconds),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
    };
    let report = run_bare(&settings).await?;
    let text = serde_json::to_string(&report).change_context(BenchError::Io)?;
    println!("{text}");
    Ok(())
}

/// Serves the targets in this process and fans out from a child process, so that the measured
/// CPU time excludes the targets.
async fn bare_in_child(flags: &Bare) -> Result<()> {
    let shards = flags.shards.unwrap_or(DEFAULT_SHARDS);
    let own_program = std::env::current_exe().change_context(BenchError::Io)?;
    let mut command = Command::new(own_program);
    command
        .arg("bare")
        .stdout(Stdio::inherit())
        .kill_on_drop(true);
    command
        .arg("--rate")
        .arg(flags.rate.unwrap_or(DEFAULT_RATE_PER_SEC).to_string());
    command
        .arg("--seconds")
        .arg(duration_or_default(flags.seconds).as_secs_f64().to_string());
    command
        .arg("--seed")
        .arg(flags.seed.unwrap_or(DEFAULT_SEED).to_string());
    let mut targets = Vec::new();
    for shard in 0..shards {
        let holding = ShardHolding {
            version: FIRST_VERSION,
            shard,
            of: shards,
        };
        let mut settings = target_settings(DEFAULT_SERVICE, shard, holding)?;
        settings.behaviour.service_time = ServiceTime::Constant {
            millis: flags.service_ms.unwrap_or(DEFAULT_TARGET_SERVICE_MS),
        };
        settings.slots = u32::from(u16::MAX);
        settings.connections = u32::from(u16::MAX);
        let target = StandIn::start(settings).await?;
        command.arg("--target").arg(target.address().to_string());
        targets.push(target);
    }
    let status = command.status().await.change_context(BenchError::Io)?;
    for target in targets {
        target.stop().await;
    }
    if !status.success() {
        return Err(Report::new(BenchError::Io))
            .attach("the child process of the bare fan-out failed");
    }
    Ok(())
}
