//! `fulmarweir`, the command-line tool for operators and callers.
//!
//! A command sends its request to one of the given VMs. The exit code tells
//! whether the request ran.

mod answers;
mod call;
mod config;
mod exchange;
mod explain;
mod failure;
mod fallback;
mod flags;
mod inspect;
mod log_line;
mod report;
mod request;
mod submit;

use std::{
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    failure::{Result, ToolError, incomplete_code},
    fallback::VmList,
    flags::{ConfigCmd, Fulmarweir, FulmarweirCmd},
    report::CommandReport,
};

const CALLERS_DEFAULT_ADDRESS: &str = "127.0.0.1:7000";
const OPERATORS_DEFAULT_ADDRESS: &str = "127.0.0.1:7002";
const DEADLINE_DEFAULT_MS: u64 = 10_000;
const TOKEN_VARIABLE: &str = "FULMARWEIR_TOKEN";

fn main() -> ExitCode {
    let flags = Fulmarweir::from_env_or_exit();
    let as_json = flags.json;
    match run(flags) {
        Ok(report) => print_report(&report, as_json),
        Err(error) => print_error(&error, as_json),
    }
}

fn run(flags: Fulmarweir) -> Result<CommandReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| ToolError::BadUsage(format!("can't start: {error}")))?;
    runtime.block_on(run_command(flags))
}

async fn run_command(flags: Fulmarweir) -> Result<CommandReport> {
    let callers = vm_list(&flags, CALLERS_DEFAULT_ADDRESS)?;
    let operators = VmList {
        token: operator_token(&flags),
        ..vm_list(&flags, OPERATORS_DEFAULT_ADDRESS)?
    };
    match &flags.subcommand {
        FulmarweirCmd::Config(config) => run_config(&operators, &config.subcommand).await,
        FulmarweirCmd::Status(_) => inspect::show_status(&operators).await,
        FulmarweirCmd::Targets(_) => inspect::list_targets(&operators).await,
        FulmarweirCmd::Search(search) => request::search(&callers, search).await,
        FulmarweirCmd::Act(act) => request::act(&callers, act).await,
        FulmarweirCmd::Explain(explain) => explain::explain(&explain.request, &explain.files),
        FulmarweirCmd::Version(_) => Ok(version_report()),
    }
}

async fn run_config(vms: &VmList, command: &ConfigCmd) -> Result<CommandReport> {
    match command {
        ConfigCmd::Check(check) => config::check_file(&check.file),
        ConfigCmd::Show(_) => config::show_text(vms).await,
        ConfigCmd::Submit(submit) => submit::submit_file(vms, submit).await,
        ConfigCmd::History(_) => inspect::list_history(vms).await,
        ConfigCmd::Diff(diff) => config::diff_file(vms, &diff.file).await,
    }
}

fn version_report() -> CommandReport {
    let version = env!("CARGO_PKG_VERSION");
    let text = format!("fulmarweir {version}");
    CommandReport::new(text, json!({ "version": version }))
}

/// Returns the VMs of the command line, or the VM with the default address if it names none.
fn vm_list(flags: &Fulmarweir, default_address: &str) -> Result<VmList> {
    let mut addresses = flags.at_vm.clone();
    if addresses.is_empty() {
        addresses.push(default_address.to_owned());
    }
    if let Some(address) = addresses.iter().find(|address| !is_host_port(address)) {
        let message = format!("--at-vm: {address:?} is not HOST:PORT");
        return Err(ToolError::BadUsage(message));
    }
    let deadline_ms = flags.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
    Ok(VmList {
        addresses,
        deadline: Duration::from_millis(deadline_ms),
        token: None,
    })
}

fn operator_token(flags: &Fulmarweir) -> Option<Arc<str>> {
    let from_variable = || std::env::var(TOKEN_VARIABLE).ok();
    flags.token.clone().or_else(from_variable).map(Into::into)
}

fn is_host_port(address: &str) -> bool {
    let parts = address.rsplit_once(':');
    parts.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}

fn print_report(report: &CommandReport, as_json: bool) -> ExitCode {
    if as_json {
        print_line(&report.json.to_string());
    } else {
        print_text(&report.text);
    }
    if report.is_complete {
        ExitCode::SUCCESS
    } else {
        incomplete_code()
    }
}

fn print_error(error: &ToolError, as_json: bool) -> ExitCode {
    if as_json {
        let json: Value = error.to_json();
        print_line(&json.to_string());
    } else {
        eprintln!("fulmarweir: {error}");
    }
    error.exit_code()
}

/// Prints a text. A text that ends with a line break is printed unchanged, so that the output of
/// `config show` equals the stored configuration.
fn print_text(text: &str) {
    if text.ends_with('\n') || text.is_empty() {
        let _ = io::stdout().write_all(text.as_bytes());
    } else {
        print_line(text);
    }
}

/// Prints a line. Errors are ignored, so that a closed pipe does not make the command fail.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}
