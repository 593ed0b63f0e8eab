//! The common part of the main functions of `fulmarweird` and `fulmarweir-node`.

use std::{fmt::Display, process::ExitCode};

use crate::error::Result;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Runs the program `name` with its settings, or only validates the settings if `check_only` is
/// set.
///
/// The exit code is 0 on success, 1 if `run` failed and 2 if the settings are invalid.
pub fn run_program<S, F: Display>(
    name: &str,
    settings: std::result::Result<S, F>,
    check_only: bool,
    run: impl FnOnce(S) -> Result<()>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check_only {
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
