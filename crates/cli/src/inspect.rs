//! The commands `status`, `targets` and `config history`.

use std::fmt::Write;

use serde_json::Value;

use crate::{
    answers::{HistoryAnswer, StatusAnswer, TargetsAnswer, cell, read_answer},
    failure::Result,
    fallback::VmList,
    report::{CellTable, CommandReport, printable},
};

/// Runs `status`.
pub(crate) async fn show_status(vms: &VmList) -> Result<CommandReport> {
    let json = vms.read("/v1/status").await?;
    let text = status_text(&read_answer(&json));
    Ok(CommandReport::new(text, json))
}

/// Runs `targets`.
pub(crate) async fn list_targets(vms: &VmList) -> Result<CommandReport> {
    let json = vms.read("/v1/targets").await?;
    let text = targets_text(&read_answer(&json));
    Ok(CommandReport::new(text, json))
}

/// Runs `config history`.
pub(crate) async fn list_history(vms: &VmList) -> Result<CommandReport> {
    let json = vms.read("/v1/config/history").await?;
    let answer: HistoryAnswer = read_answer(&json);
    let mut table = CellTable::new(&["version", "change", "outcome"]);
    for change in &answer.changes {
        table.row([
            cell(change.version.as_ref()),
            cell(change.change_id.as_ref()),
            cell(change.outcome.as_ref()),
        ]);
    }
    Ok(CommandReport::new(table.to_string(), json))
}

fn status_text(status: &StatusAnswer) -> String {
    let mut text = String::new();
    let line = format!(
        "{} in data centre {}, region {}: {}",
        cell(status.vm.as_ref()),
        cell(status.centre.as_ref()),
        cell(status.region.as_ref()),
        readiness(status),
    );
    let _ = writeln!(text, "{}", printable(&line));
    let config = &status.config;
    let line = format!(
        "configuration {} in force, highest known {}, digest {}",
        cell(config.version.as_ref()),
        cell(config.highest_known.as_ref()),
        cell(config.digest.as_ref()),
    );
    let _ = writeln!(text, "{}", printable(&line));
    let usable = cell(status.targets.usable.as_ref());
    let known = cell(status.targets.known.as_ref());
    let _ = writeln!(text, "targets: {usable} usable of {known} known");
    let epoch = cell(status.voters.epoch.as_ref());
    let _ = writeln!(text, "\nvoters of epoch {epoch}\n{}", voters_table(status));
    let _ = writeln!(text, "\nVMs of this data centre\n{}", members_table(status));
    let _ = write!(text, "\nother data centres\n{}", centres_table(status));
    text
}

/// Whether the VM takes requests, and its phase if that says more.
fn readiness(status: &StatusAnswer) -> String {
    let ready = match status.ready {
        Some(true) => "ready",
        Some(false) => "not ready",
        None => "readiness unknown",
    };
    match &status.phase {
        Some(phase) if phase != ready => format!("{ready}, {phase}"),
        _ => ready.to_owned(),
    }
}

fn voters_table(status: &StatusAnswer) -> CellTable {
    let mut table = CellTable::new(&["voter", "address", "state"]);
    for voter in &status.voters.set {
        table.row([
            cell(voter.vm.as_ref()),
            cell(voter.address.as_ref()),
            cell(voter.state.as_ref()),
        ]);
    }
    table
}

fn members_table(status: &StatusAnswer) -> CellTable {
    let mut table = CellTable::new(&["vm", "data centre", "address", "state", "configuration"]);
    for member in &status.members {
        table.row([
            cell(member.vm.as_ref()),
            cell(member.centre.as_ref()),
            cell(member.address.as_ref()),
            cell(member.state.as_ref()),
            cell(member.config_version.as_ref()),
        ]);
    }
    table
}

fn centres_table(status: &StatusAnswer) -> CellTable {
    let mut table = CellTable::new(&["data centre", "live VMs", "configuration", "contacts"]);
    let others = status.centres.iter().filter(|c| c.centre != status.centre);
    for centre in others {
        table.row([
            cell(centre.centre.as_ref()),
            cell(centre.live_vms.as_ref()),
            cell(centre.config_version.as_ref()),
            centre.contacts.join(", "),
        ]);
    }
    table
}

fn targets_text(answer: &TargetsAnswer) -> String {
    let header = [
        "service", "target", "address", "state", "usable", "versions", "brokers", "owner",
    ];
    let mut table = CellTable::new(&header);
    for target in &answer.targets {
        let versions: Vec<String> = target.versions.iter().map(holding_text).collect();
        let usable = target
            .usable
            .map(|usable| if usable { "yes" } else { "no" });
        table.row([
            cell(target.service.as_ref()),
            format!(
                "{} ({})",
                cell(target.name.as_ref()),
                cell(target.incarnation.as_ref())
            ),
            cell(target.address.as_ref()),
            cell(target.state.as_ref()),
            cell(usable.as_ref()),
            versions.join(", "),
            target.brokers.join(", "),
            cell(target.owner.as_ref()),
        ]);
    }
    table.to_string()
}

/// A shard of a version as `VERSION:SHARD/COUNT`.
fn holding_text(holding: &Value) -> String {
    let field = |name| holding.get(name).and_then(Value::as_u64);
    match (field("version"), field("shard"), field("of")) {
        (Some(version), Some(shard), Some(of)) => format!("{version}:{shard}/{of}"),
        _ => holding.to_string(),
    }
}
