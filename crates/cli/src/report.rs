//! The output of commands, as text or as a JSON document.

use comfy_table::{Table, presets};
use serde_json::Value;

/// The output of a command that succeeded.
#[derive(Debug)]
pub(crate) struct CommandReport {
    /// Human-readable output.
    pub(crate) text: String,
    /// Output with `--json`.
    pub(crate) json: Value,
    /// False if the request ran but has not taken effect on all VMs yet.
    pub(crate) is_complete: bool,
}

impl CommandReport {
    /// Creates the report of a command that completed.
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            is_complete: true,
        }
    }
}

/// A text table with a header.
pub(crate) struct TextTable {
    table: Table,
}

impl TextTable {
    /// Creates an empty table with the column names `header`.
    pub(crate) fn new(header: &[&str]) -> Self {
        let mut table = Table::new();
        table.load_style(presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(header.to_vec());
        Self { table }
    }

    /// Adds a row, with control characters replaced.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.table.add_row(cells.map(|cell| printable(&cell)));
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.table.fmt(f)
    }
}

/// Replaces control characters, so that untrusted text can't send escape sequences to the terminal.
pub(crate) fn printable(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}
