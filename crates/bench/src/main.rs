//! `fulmarweir-bench`: stand-in targets, a demo and a load generator.

use std::{backtrace::Backtrace, process::ExitCode};

use error_stack::Report;

#[tokio::main]
async fn main() -> ExitCode {
    // Omit backtraces: causes and attachments suffice for the user of a command line tool.
    Report::install_debug_hook::<Backtrace>(|_, _| {});
    match fulmarweir_bench::run_command_line().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
