//! The commands `status`, `targets` and `config history`.

use std::fmt::Write;

use serde_json::Value;

use crate::{
    answers::{HistoryAnswer, StatusAnswer, TargetsAnswer, cell_text, read_answer},
    failure::Result,
    fallback::VmList,
    report::{CommandReport, TextTable, printable},
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
    let mut table = TextTable::new(&["version", "change", "outcome"]);
    for change in &answer.changes {
        table.add_row([
            cell_text(change.version.as_ref()),
            cell_text(change.change_id.as_ref()),
            cell_text(change.outcome.as_ref()),
        ]);
    }
    Ok(CommandReport::new(table.to_string(), json))
}

fn status_text(status: &StatusAnswer) -> String {
    let mut text = String::new();
    let line = format!(
        "{} in data centre {}, region {}: {}",
        cell_text(status.vm.as_ref()),
        cell_text(status.centre.as_ref()),
        cell_text(status.region.as_ref()),
        readiness(status),
    );
    let _ = writeln!(text, "{}", printable(&line));
    let config = &status.config;
    let line = format!(
        "configuration {} in force, highest known {}, digest {}",
        cell_text(config.version.as_ref()),
        cell_text(config.highest_known.as_ref()),
        cell_text(config.digest.as_ref()),
    );
    let _ = writeln!(text, "{}", printable(&line));
    let usable = cell_text(status.targets.usable.as_ref());
    let known = cell_text(status.targets.known.as_ref());
    let _ = writeln!(text, "targets: {usable} usable of {known} known");
    let epoch = cell_text(status.voters.epoch.as_ref());
    let _ = writeln!(text, "\nvoters of epoch {epoch}\n{}", voters_table(status));
    let _ = writeln!(text, "\nVMs of this data centre\n{}", members_table(status));
    let _ = write!(text, "\nother data centres\n{}", centres_table(status));
    text
}

/// Returns whether the VM is ready, and its phase unless it is the same word.
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

fn voters_table(status: &StatusAnswer) -> TextTable {
    let mut table = TextTable::new(&["voter", "address", "state"]);
    for voter in &status.voters.set {
        table.add_row([
            cell_text(voter.vm.as_ref()),
            cell_text(voter.address.as_ref()),
            cell_text(voter.state.as_ref()),
        ]);
    }
    table
}

fn members_table(status: &StatusAnswer) -> TextTable {
    let mut table = TextTable::new(&["vm", "data centre", "address", "state", "configuration"]);
    for member in &status.members {
        table.add_row([
            cell_text(member.vm.as_ref()),
            cell_text(member.centre.as_ref()),
            cell_text(member.address.as_ref()),
            cell_text(member.state.as_ref()),
            cell_text(member.config_version.as_ref()),
        ]);
    }
    table
}

fn centres_table(status: &StatusAnswer) -> TextTable {
    let mut table = TextTable::new(&["data centre", "live VMs", "configuration", "contacts"]);
    let others = status.centres.iter().filter(|c| c.centre != status.centre);
    for centre in others {
        table.add_row([
            cell_text(centre.centre.as_ref()),
            cell_text(centre.live_vms.as_ref()),
            cell_text(centre.config_version.as_ref()),
            centre.contacts.join(", "),
        ]);
    }
    table
}

fn targets_text(answer: &TargetsAnswer) -> String {
    let header = [
        "service", "target", "address", "state", "usable", "versions", "brokers", "owner",
    ];
    let mut table = TextTable::new(&header);
    for target in &answer.targets {
        let versions: Vec<String> = target.versions.iter().map(holding_text).collect();
        let usable = target
            .usable
            .map(|usable| if usable { "yes" } else { "no" });
        table.add_row([
            cell_text(target.service.as_ref()),
            format!(
                "{} ({})",
                cell_text(target.name.as_ref()),
                cell_text(target.incarnation.as_ref())
            ),
            cell_text(target.address.as_ref()),
            cell_text(target.state.as_ref()),
            cell_text(usable.as_ref()),
            versions.join(", "),
            target.brokers.join(", "),
            cell_text(target.owner.as_ref()),
        ]);
    }
    table.to_string()
}

/// Formats a shard of an index version as `VERSION:SHARD/COUNT`.
fn holding_text(holding: &Value) -> String {
    let field = |name| holding.get(name).and_then(Value::as_u64);
    match (field("version"), field("shard"), field("of")) {
        (Some(version), Some(shard), Some(of)) => format!("{version}:{shard}/{of}"),
        _ => holding.to_string(),
    }
}
