//! The command `config submit`, which sends a change until its outcome is known.

use std::{path::Path, time::Duration};

use http::{
    HeaderName, Method,
    header::{CONTENT_TYPE, IF_MATCH},
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    answers::{StatusAnswer, read_answer},
    call::{CallKind, VmCall},
    config::{fetch_current, read_file, unified_diff},
    failure::{RequestFailure, Result, ToolError},
    fallback::VmList,
    flags::Submit,
    report::{CommandReport, printable},
};

const LEFT_STATE: &str = "left";
const POLL_PERIOD_MS: u64 = 200;
const CHANGE_ID_HEADER: HeaderName = HeaderName::from_static("change-id");

/// Runs `config submit`.
pub(crate) async fn submit_file(vms: &VmList, flags: &Submit) -> Result<CommandReport> {
    let text = read_file(&flags.file)?;
    let change_id = flags.change_id.clone().unwrap_or_else(random_id);
    let call = VmCall::new(Method::PUT, "/v1/config".to_owned(), CallKind::Keyed);
    let mut call = call
        .header(IF_MATCH, &format!("\"{}\"", flags.at))?
        .header(CHANGE_ID_HEADER, &change_id)?
        .header(CONTENT_TYPE, "text/plain; charset=utf-8")?;
    call.body = text.clone().into();
    let reply = match vms.call(&call).await {
        Ok(reply) => reply,
        Err(ToolError::Request(failure)) => {
            return Err(add_hint(vms, &flags.file, &text, &change_id, failure).await);
        }
        Err(error) => return Err(error),
    };
    let version = reply.json(&call)?.get("version").and_then(Value::as_u64);
    let lagging = match (version, flags.wait) {
        (Some(version), Some(secs)) => wait_in_force(vms, version, Duration::from_secs(secs)).await,
        _ => Vec::new(),
    };
    Ok(submit_report(version, &change_id, &lagging))
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Adds to a failure what the operator needs next: the faults of the text, its difference from the
/// configuration in force, or the change ID to resend.
async fn add_hint(
    vms: &VmList,
    file: &Path,
    text: &str,
    change_id: &str,
    mut failure: RequestFailure,
) -> ToolError {
    if failure.is_conflict {
        if let Ok(current) = fetch_current(vms).await {
            let diff = unified_diff(&current, file, text);
            failure.message += "; another change came first:\n";
            failure.message += &diff;
        }
    } else if let Some(faults) = failure.body.as_ref().and_then(faults_text) {
        failure.message += "\n";
        failure.message += &faults;
    } else {
        failure.message += "; to resend: --change-id ";
        failure.message += change_id;
    }
    failure.into()
}

/// Returns the faults of a refused text, one per line.
fn faults_text(body: &Value) -> Option<String> {
    let nested = body.get("error").and_then(|error| error.get("faults"));
    let faults = body.get("faults").or(nested)?.as_array()?;
    let lines = faults.iter().map(|fault| {
        let field = |name| match fault.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => format!("{text} "),
            Some(other) => format!("{other} "),
        };
        let line = field("line");
        let line = line.trim();
        let place = format!("{}{}", field("section"), field("key"));
        let what = format!("{}{}", field("reason"), field("found"));
        printable(&format!(
            "line {line}: {place}{what}expected {}",
            field("expected")
        ))
    });
    Some(lines.collect::<Vec<_>>().join("\n"))
}

/// Polls until `version` is in force everywhere or `timeout` has passed. Returns the VMs and data
/// centres where `version` is not in force.
async fn wait_in_force(vms: &VmList, version: u64, timeout: Duration) -> Vec<String> {
    let end = Instant::now() + timeout;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let poll = VmList {
            deadline: left.min(vms.deadline),
            ..vms.clone()
        };
        let lagging = find_lagging(&poll, version).await;
        let pause = Duration::from_millis(POLL_PERIOD_MS);
        if lagging.is_empty() || Instant::now() + pause >= end {
            return lagging;
        }
        sleep(pause).await;
    }
}

/// Returns the VMs and data centres where `version` is not in force, as far as the first VM that
/// answers knows.
async fn find_lagging(vms: &VmList, version: u64) -> Vec<String> {
    let json = match vms.read("/v1/status").await {
        Ok(json) => json,
        Err(error) => return vec![format!("unknown, no VM tells its status: {error}")],
    };
    let status: StatusAnswer = read_answer(&json);
    lagging_in(&status, version)
}

/// Returns the VMs and data centres for which `status` does not show `version` or a newer one.
///
/// These include dead VMs: a dead VM is one that can't be reached, so it may be
/// partitioned and still serve an older version. VMs that have left are ignored.
fn lagging_in(status: &StatusAnswer, version: u64) -> Vec<String> {
    let has_version = |known: Option<u64>| known.is_some_and(|known| known >= version);
    let mut lagging = Vec::new();
    if !has_version(status.config.version) {
        lagging.push(describe_lagging(
            status.vm.as_deref(),
            None,
            status.config.version,
        ));
    }
    let others = status
        .members
        .iter()
        .filter(|member| member.vm != status.vm);
    for member in others {
        let state = member.state.as_deref();
        if state != Some(LEFT_STATE) && !has_version(member.config_version) {
            lagging.push(describe_lagging(
                member.vm.as_deref(),
                state,
                member.config_version,
            ));
        }
    }
    for centre in &status.centres {
        if centre.centre != status.centre && !has_version(centre.config_version) {
            let name = centre.centre.as_deref().unwrap_or("unnamed");
            let name = format!("data centre {name}");
            lagging.push(describe_lagging(Some(&name), None, centre.config_version));
        }
    }
    lagging
}

fn describe_lagging(vm: Option<&str>, state: Option<&str>, version: Option<u64>) -> String {
    let vm = vm.unwrap_or("unnamed VM");
    let state = state.map(|state| format!(", {state}")).unwrap_or_default();
    match version {
        Some(version) => format!("{vm} (version {version}{state})"),
        None => format!("{vm} (version unknown{state})"),
    }
}

fn submit_report(version: Option<u64>, change_id: &str, lagging: &[String]) -> CommandReport {
    let name = version.map_or_else(
        || "an unknown version".to_owned(),
        |v| format!("version {v}"),
    );
    let mut text = format!("accepted as {name}, change {change_id}");
    for description in lagging {
        text += "\nnot yet in force on ";
        text += &printable(description);
    }
    let json = json!({
        "version": version,
        "change_id": change_id,
        "not_in_force": lagging,
    });
    CommandReport {
        is_complete: lagging.is_empty(),
        ..CommandReport::new(text, json)
    }
}
