//! The query tier daemon: reads its settings and runs until it is told to stop.

mod flags;

use std::process::ExitCode;

use fulmarweir_conf::VmSettings;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Fulmarweird::from_env_or_exit();
    let settings = match VmSettings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    match fulmarweir_daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarweird: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
