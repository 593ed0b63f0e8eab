//! What a command prints: text for people, one JSON document for programs.

use comfy_table::{Table, presets};
use serde_json::Value;

/// The output of a command that succeeded.
#[derive(Debug)]
pub(crate) struct CommandReport {
    /// For people.
    pub(crate) text: String,
    /// For programs.
    pub(crate) json: Value,
    /// False if the request ran but its effect is not everywhere yet.
    pub(crate) is_complete: bool,
}

impl CommandReport {
    /// A report of something done in full.
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            is_complete: true,
        }
    }
}

/// A table with a header and rows of plain cells.
pub(crate) struct CellTable {
    table: Table,
}

impl CellTable {
    /// An empty table with the columns `header`.
    pub(crate) fn new(header: &[&str]) -> Self {
        let mut table = Table::new();
        table.load_style(presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(header.to_vec());
        Self { table }
    }

    /// Adds a row.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.table.add_row(cells.map(|cell| printable(&cell)));
    }
}

impl std::fmt::Display for CellTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.table.fmt(f)
    }
}

/// Replaces control characters, so that data from outside can't drive the terminal.
pub(crate) fn printable(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}
