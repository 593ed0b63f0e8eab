//! `fulmarweir-bench`: stand-in targets, a demo and the load tool.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match fulmarweir_bench::run_command_line().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
