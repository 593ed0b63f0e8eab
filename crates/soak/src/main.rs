//! Runs seeds of the soak one after the other and prints the violations.

mod flags;

use std::{process::ExitCode, time::Duration};

use fulmarweir_soak::{SoakSettings, run_soak};

const SECONDS_DEFAULT: u64 = 15;
const ENTRIES_DEFAULT: u8 = 3;

fn main() -> ExitCode {
    let flags = flags::FulmarweirSoak::from_env_or_exit();
    let first = flags
        .seed
        .unwrap_or_else(|| rand::random_range(1..1_000_000));
    let mut failed_seeds = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let runtime = tokio::runtime::Runtime::new().expect("the tokio runtime starts");
        let report = runtime.block_on(run_soak(SoakSettings {
            program: flags.program.clone(),
            old_program: flags.old_program.clone(),
            seed,
            fault_duration: Duration::from_secs(flags.seconds.unwrap_or(SECONDS_DEFAULT)),
            entries: flags.entries.unwrap_or(ENTRIES_DEFAULT),
        }));
        println!(
            "seed {seed}: {} broken promises, {} of {} served, {} faults, {} replaced",
            report.violations.len(),
            report.served,
            report.requests,
            report.faults.len(),
            report.replaced
        );
        if report.violations.is_empty() {
            // The logs of a run without violations are not kept.
            let _ = std::fs::remove_dir_all(&report.folder);
            continue;
        }
        failed_seeds += 1;
        for fault in &report.faults {
            println!("  {fault}");
        }
        for violation in &report.violations {
            println!("  BROKEN {violation}");
        }
        println!("  logs in {}", report.folder.display());
    }
    if failed_seeds > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
