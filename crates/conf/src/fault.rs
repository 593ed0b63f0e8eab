//! Faults of an INI text, collected so that all of them are reported together.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// Maximum number of faults in a [`FaultList`]; further faults are only counted.
pub const FAULTS_MAX: usize = 100;

/// Maximum length in characters of a section name, key or value that a fault quotes.
const EXCERPT_MAX_CHARS: usize = 80;

/// Result of checking a text: the value, or every fault of the text.
pub type Result<T, E = FaultList> = std::result::Result<T, E>;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultReason {
    /// The file can't be read.
    Unreadable,
    /// The text is too long or has too many services.
    TooLarge,
    /// A line is not a section header, a `key = value` pair, a comment or blank.
    BadSyntax,
    /// A key stands before the first section.
    OutsideSection,
    /// The section is not one that this kind of text has.
    UnknownSection,
    /// The section occurs more than once.
    DuplicateSection,
    /// A required section is missing.
    MissingSection,
    /// The key is not one that its section has.
    UnknownKey,
    /// The key occurs more than once in its section.
    DuplicateKey,
    /// A required key is missing.
    MissingKey,
    /// The value has the wrong form or is out of range.
    BadValue,
    /// Two values contradict each other.
    Conflict,
    /// A dependency names a service that has no section.
    UnknownDependency,
    /// The dependencies of some services form a cycle.
    DependencyCycle,
}

impl FaultReason {
    /// Returns the reason as it is printed in messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable file",
            Self::TooLarge => "too large",
            Self::BadSyntax => "bad syntax",
            Self::OutsideSection => "key outside of a section",
            Self::UnknownSection => "unknown section",
            Self::DuplicateSection => "duplicate section",
            Self::MissingSection => "missing section",
            Self::UnknownKey => "unknown key",
            Self::DuplicateKey => "duplicate key",
            Self::MissingKey => "missing key",
            Self::BadValue => "bad value",
            Self::Conflict => "conflicting values",
            Self::UnknownDependency => "unknown dependency",
            Self::DependencyCycle => "dependency cycle",
        }
    }
}

impl fmt::Display for FaultReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One fault, its location in the text and the expected content.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigFault {
    /// File that the text was read from, if it was read from a file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Arc<str>>,
    /// Line number, counted from 1; 0 if the fault concerns the whole text.
    pub line: u32,
    /// Section that contains the fault.
    pub section: Option<Arc<str>>,
    /// Key that the fault concerns.
    pub key: Option<Arc<str>>,
    /// Kind of the fault.
    pub reason: FaultReason,
    /// Excerpt of the faulty content.
    pub found: Option<Arc<str>>,
    /// Description of the expected content.
    pub expected: Arc<str>,
}

impl ConfigFault {
    /// Creates a fault that concerns the whole text.
    pub(crate) fn new(reason: FaultReason, expected: impl Into<Arc<str>>) -> Self {
        Self {
            file: None,
            line: 0,
            section: None,
            key: None,
            reason,
            found: None,
            expected: expected.into(),
        }
    }

    pub(crate) fn at(mut self, line: u32) -> Self {
        self.line = line;
        self
    }

    pub(crate) fn section(mut self, name: &str) -> Self {
        self.section = Some(excerpt(name));
        self
    }

    pub(crate) fn key(mut self, key: &str) -> Self {
        self.key = Some(excerpt(key));
        self
    }

    /// Sets the excerpt of the faulty content.
    pub(crate) fn found(mut self, found: &str) -> Self {
        self.found = Some(excerpt(found));
        self
    }
}

fn excerpt(text: &str) -> Arc<str> {
    match text.char_indices().nth(EXCERPT_MAX_CHARS) {
        None => text.into(),
        Some((end, _)) => format!("{}...", &text[..end]).into(),
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}:")?;
        }
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if self.file.is_some() || self.line > 0 {
            f.write_str(" ")?;
        }
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "{}", self.reason)?;
        if let Some(found) = &self.found {
            write!(f, " {found:?}")?;
        }
        write!(f, "; expected {}", self.expected)
    }
}

/// The faults of one text, sorted by line.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FaultList {
    #[serde(skip)]
    file: Option<Arc<str>>,
    faults: Vec<ConfigFault>,
    omitted: usize,
}

impl FaultList {
    /// Creates an empty list for a text that was not read from a file.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Creates an empty list for a text that was read from `file`.
    pub(crate) fn for_file(file: &str) -> Self {
        Self {
            file: Some(file.into()),
            ..Self::default()
        }
    }

    /// Adds `fault`, or only counts it if the list is full.
    pub(crate) fn push(&mut self, mut fault: ConfigFault) {
        if self.faults.len() >= FAULTS_MAX {
            self.omitted += 1;
            return;
        }
        fault.file.clone_from(&self.file);
        self.faults.push(fault);
    }

    /// Returns `value` if the list is empty, and the sorted list otherwise.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                self.faults.sort_by_key(|fault| fault.line);
                Err(self)
            }
        }
    }

    /// Returns the faults, at most [`FAULTS_MAX`].
    #[must_use]
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }

    /// Returns the number of faults that were left out because the list was full.
    #[must_use]
    pub const fn omitted(&self) -> usize {
        self.omitted
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        if self.omitted > 0 {
            write!(f, "\n{} further faults are not listed", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
