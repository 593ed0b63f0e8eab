//! Faults found in an INI text, collected so that all are reported at once.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// Faults kept in one list; further ones are only counted.
pub const FAULTS_MAX: usize = 100;

/// Longest excerpt of a faulty value in characters.
const FOUND_MAX_CHARS: usize = 80;

/// Result of checking a text: the checked value, or every fault in it.
pub type Result<T, E = FaultList> = std::result::Result<T, E>;

/// What is wrong at one place of a text.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultReason {
    /// The file can't be read.
    Unreadable,
    /// The text, or a list in it, is longer than allowed.
    TooLarge,
    /// A line is neither a section, a `key = value` pair, a comment nor blank.
    BadSyntax,
    /// A key stands before the first section.
    OutsideSection,
    /// The section has no meaning here.
    UnknownSection,
    /// The section stands twice.
    DuplicateSection,
    /// A required section is absent.
    MissingSection,
    /// The key has no meaning in its section.
    UnknownKey,
    /// The key stands twice in its section.
    DuplicateKey,
    /// A required key is absent.
    MissingKey,
    /// The value is not of the expected form or out of range.
    BadValue,
    /// Two values of the text contradict each other.
    Conflict,
    /// A dependency names a service that the text lacks.
    UnknownDependency,
    /// Services depend on each other in a circle.
    DependencyCycle,
}

impl FaultReason {
    /// The reason in words.
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

/// One fault, with its place and what was expected there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigFault {
    /// File that the text was read from, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Arc<str>>,
    /// Line number from 1; 0 concerns the text as a whole.
    pub line: u32,
    /// Section that the fault stands in.
    pub section: Option<Arc<str>>,
    /// Key that the fault concerns.
    pub key: Option<Arc<str>>,
    /// What is wrong.
    pub reason: FaultReason,
    /// What the text has there, shortened.
    pub found: Option<Arc<str>>,
    /// What was expected.
    pub expected: Arc<str>,
}

impl ConfigFault {
    /// A fault of the text as a whole.
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

    /// Sets the line.
    pub(crate) fn at(mut self, line: u32) -> Self {
        self.line = line;
        self
    }

    /// Sets the section.
    pub(crate) fn section(mut self, name: &str) -> Self {
        self.section = Some(excerpt(name));
        self
    }

    /// Sets the key.
    pub(crate) fn key(mut self, key: &str) -> Self {
        self.key = Some(excerpt(key));
        self
    }

    /// Sets what the text has there.
    pub(crate) fn found(mut self, found: &str) -> Self {
        self.found = Some(excerpt(found));
        self
    }
}

fn excerpt(text: &str) -> Arc<str> {
    match text.char_indices().nth(FOUND_MAX_CHARS) {
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

/// All faults of one text, in the order of their lines.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FaultList {
    #[serde(skip)]
    file: Option<Arc<str>>,
    faults: Vec<ConfigFault>,
    omitted: usize,
}

impl FaultList {
    /// An empty list for a text without a file.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// An empty list for the text of `file`.
    pub(crate) fn for_file(file: &str) -> Self {
        Self {
            file: Some(file.into()),
            ..Self::default()
        }
    }

    /// Adds a fault, or counts it when the list is full.
    pub(crate) fn push(&mut self, mut fault: ConfigFault) {
        if self.faults.len() >= FAULTS_MAX {
            self.omitted += 1;
            return;
        }
        fault.file.clone_from(&self.file);
        self.faults.push(fault);
    }

    /// `value` when there are no faults, else the sorted list.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                self.faults.sort_by_key(|fault| fault.line);
                Err(self)
            }
        }
    }

    /// The faults, at most [`FAULTS_MAX`].
    #[must_use]
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }

    /// Number of faults beyond those listed.
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
