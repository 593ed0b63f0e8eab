//! The commands `config check`, `config show` and `config diff`.

use std::path::Path;

use fulmarweir_conf::{CompiledConfig, TEXT_MAX_BYTES};
use http::header::ETAG;
use serde_json::json;
use similar::TextDiff;

use crate::{
    call::VmCall,
    failure::{Result, ToolError},
    fallback::VmList,
    report::CommandReport,
};

/// The configuration in force on a VM.
pub(crate) struct CurrentConfig {
    /// The version, if the VM sent one.
    pub(crate) version: Option<u64>,
    pub(crate) text: String,
}

impl CurrentConfig {
    fn version_label(&self) -> String {
        match self.version {
            Some(version) => format!("version {version}"),
            None => "unknown version".to_owned(),
        }
    }
}

/// Runs `config check`.
pub(crate) fn check_file(file: &Path) -> Result<CommandReport> {
    let text = read_file(file)?;
    let config = CompiledConfig::compile(0, &text).map_err(ToolError::FaultyFile)?;
    let count = config.services.len();
    let json = json!({ "services": count, "digest": config.digest.to_string() });
    let line = format!("{}: {count} services, no faults", file.display());
    Ok(CommandReport::new(line, json))
}

/// Runs `config show`.
pub(crate) async fn show_text(vms: &VmList) -> Result<CommandReport> {
    let current = fetch_current(vms).await?;
    let json = json!({ "version": current.version, "text": current.text });
    Ok(CommandReport::new(current.text, json))
}

/// Runs `config diff`.
pub(crate) async fn diff_file(vms: &VmList, file: &Path) -> Result<CommandReport> {
    let text = read_file(file)?;
    let current = fetch_current(vms).await?;
    let diff = unified_diff(&current, file, &text);
    let json = json!({
        "version": current.version,
        "changed": current.text != text,
        "diff": diff,
    });
    Ok(CommandReport::new(diff, json))
}

/// Reads a configuration file.
///
/// # Errors
///
/// [`ToolError::BadUsage`] if the file can't be read, is too large or is not UTF-8.
pub(crate) fn read_file(file: &Path) -> Result<String> {
    let unusable = |error: &dyn std::fmt::Display| {
        let message = format!("can't read {}: {error}", file.display());
        ToolError::BadUsage(message)
    };
    let text = std::fs::read_to_string(file).map_err(|error| unusable(&error))?;
    if text.len() > TEXT_MAX_BYTES {
        return Err(unusable(&format!("more than {TEXT_MAX_BYTES} bytes")));
    }
    Ok(text)
}

/// Fetches the configuration in force from a VM.
pub(crate) async fn fetch_current(vms: &VmList) -> Result<CurrentConfig> {
    let reply = vms.call(&VmCall::get("/v1/config")).await?;
    let etag = reply.headers.get(ETAG).and_then(|etag| etag.to_str().ok());
    let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    Ok(CurrentConfig { version, text })
}

/// Returns the diff from the configuration in force to `text`, which was read from `file`. Returns
/// an empty string if they are equal.
pub(crate) fn unified_diff(current: &CurrentConfig, file: &Path, text: &str) -> String {
    let diff = TextDiff::from_lines(current.text.as_str(), text);
    let mut unified = diff.unified_diff();
    let new_name = file.display().to_string();
    unified
        .header(&current.version_label(), &new_name)
        .to_string()
}
