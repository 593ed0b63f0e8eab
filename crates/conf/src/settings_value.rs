//! Parsers of values that occur only in settings files.

use std::{path::PathBuf, sync::Arc};

use crate::{
    settings::VoterAddress,
    value::{self, Expectation, expected, name, reachable_address},
};

const TOKEN_MAX_BYTES: usize = 256;
const PATH_MAX_BYTES: usize = 4096;

/// Parses the path of a folder, without checking that the folder exists.
pub(crate) fn folder(value: &str) -> value::Result<PathBuf> {
    if value.is_empty() || value.len() > PATH_MAX_BYTES || value.contains('\0') {
        return Err(expected("the path of a folder"));
    }
    Ok(PathBuf::from(value))
}

/// Parses a token that is valid in a header.
pub(crate) fn token(value: &str) -> value::Result<Arc<str>> {
    let visible = value.bytes().all(|b| b.is_ascii_graphic());
    if value.is_empty() || value.len() > TOKEN_MAX_BYTES || !visible {
        let text = format!("1 to {TOKEN_MAX_BYTES} visible ASCII characters without blanks");
        return Err(Expectation(text.into()));
    }
    Ok(value.into())
}

/// Parses a voter of the form `NAME IP:PORT`.
pub(crate) fn voter(value: &str) -> value::Result<VoterAddress> {
    let text = "NAME IP:PORT, separated by commas";
    let (voter_name, voter_address) = value.split_once([' ', '\t']).ok_or(expected(text))?;
    Ok(VoterAddress {
        name: name(voter_name)?,
        address: reachable_address(voter_address.trim())?,
    })
}

/// Parses a log level.
pub(crate) fn log_level(value: &str) -> value::Result<slog::Level> {
    match value {
        "critical" => Ok(slog::Level::Critical),
        "error" => Ok(slog::Level::Error),
        "warning" => Ok(slog::Level::Warning),
        "info" => Ok(slog::Level::Info),
        "debug" => Ok(slog::Level::Debug),
        "trace" => Ok(slog::Level::Trace),
        _ => Err(expected("critical, error, warning, info, debug or trace")),
    }
}
