//! What the main functions of the programs have in common.

use std::{fmt::Display, process::ExitCode};

use crate::error::Result;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Runs the program `name` with its settings, or only checks them.
///
/// The exit code is 0 when done, 1 when `run` failed and 2 when the settings are faulty.
pub fn run_program<S, F: Display>(
    name: &str,
    settings: std::result::Result<S, F>,
    is_check: bool,
    run: impl FnOnce(S) -> Result<()>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if is_check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
