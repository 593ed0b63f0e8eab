//! `fulmarweir-bench`: stand-in targets, a demo and the load tool.

use std::{backtrace::Backtrace, process::ExitCode};

use error_stack::Report;

#[tokio::main]
async fn main() -> ExitCode {
    // The causes and attachments say enough to the user of a tool.
    Report::install_debug_hook::<Backtrace>(|_, _| {});
    match fulmarweir_bench::run_command_line().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
