//! The query tier daemon: reads its settings and runs until a signal stops it.

mod flags;

use std::process::ExitCode;

use fulmarweir_conf::VmSettings;
use fulmarweir_daemon::{run, run_program};

fn main() -> ExitCode {
    let flags = flags::Fulmarweird::from_env_or_exit();
    let settings = VmSettings::read(&flags.settings);
    run_program("fulmarweird", settings, flags.check, run)
}
