//! Reads typed values from a section and reports its faults.

use crate::{
    fault::{ConfigFault, FaultList, FaultReason},
    ini::{IniEntry, IniSection},
    value,
};

/// Reads the values of one section by key.
///
/// [`SectionReader::finish`] reports the keys of the section that were never read.
pub(crate) struct SectionReader<'a, 'f> {
    section: &'a IniSection<'a>,
    faults: &'f mut FaultList,
    known: Vec<&'static str>,
}

impl<'a, 'f> SectionReader<'a, 'f> {
    /// Creates a reader of `section` that reports to `faults`.
    pub(crate) fn new(section: &'a IniSection<'a>, faults: &'f mut FaultList) -> Self {
        Self {
            section,
            faults,
            known: Vec::new(),
        }
    }

    /// Returns the value of a required key. If the key is missing or its value is invalid, reports
    /// a fault and returns `None`.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> value::Result<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            self.known.push(key);
            let expected = format!("a line `{key} = ...` in this section");
            let fault = ConfigFault::new(FaultReason::MissingKey, expected);
            self.push(fault.at(self.section.line).key(key));
            return None;
        }
        self.optional(key, parse)
    }

    /// Returns the value of an optional key, or `None` if the key is missing. If its value is
    /// invalid, reports a fault and returns `None`.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> value::Result<T>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.entry(key)?;
        match parse(entry.value) {
            Ok(value) => Some(value),
            Err(expectation) => {
                let fault = ConfigFault::new(FaultReason::BadValue, expectation.0);
                self.push(fault.at(entry.line).key(key).found(entry.value));
                None
            }
        }
    }

    /// Like [`SectionReader::optional`], but returns `default` instead of `None`.
    pub(crate) fn or_default<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl Fn(&str) -> value::Result<T>,
    ) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Returns the line of a key, or the line of the section header if the key is missing.
    pub(crate) fn line(&self, key: &str) -> u32 {
        self.entry(key)
            .map_or(self.section.line, |entry| entry.line)
    }

    /// Reports that the value of `key` contradicts another value.
    pub(crate) fn conflict(&mut self, key: &str, expected: &str) {
        let mut fault = ConfigFault::new(FaultReason::Conflict, expected).key(key);
        if let Some(entry) = self.entry(key) {
            fault = fault.found(entry.value);
        }
        self.push(fault.at(self.line(key)));
    }

    /// Reports duplicate keys, and every key that was never read as unknown.
    pub(crate) fn finish(mut self) {
        let section = self.section;
        let mut seen: Vec<&str> = Vec::new();
        for entry in &section.entries {
            if !self.known.contains(&entry.key) {
                let expected = format!("one of {}", self.known.join(", "));
                let fault = ConfigFault::new(FaultReason::UnknownKey, expected);
                self.push(fault.at(entry.line).key(entry.key));
            } else if seen.contains(&entry.key) {
                let expected = format!("it once, as on line {}", self.line(entry.key));
                let fault = ConfigFault::new(FaultReason::DuplicateKey, expected);
                self.push(fault.at(entry.line).key(entry.key).found(entry.value));
            } else {
                seen.push(entry.key);
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry<'a>> {
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    fn push(&mut self, fault: ConfigFault) {
        self.faults.push(fault.section(self.section.name));
    }
}

/// Reports a section that repeats the one on `first_line`.
pub(crate) fn push_duplicate_section(
    section: &IniSection<'_>,
    first_line: u32,
    faults: &mut FaultList,
) {
    let expected = format!("it once, as on line {first_line}");
    let fault = ConfigFault::new(FaultReason::DuplicateSection, expected);
    faults.push(fault.at(section.line).section(section.name));
}

/// Reports sections that are not in `known`, and repeated sections.
pub(crate) fn check_sections(sections: &[IniSection<'_>], known: &[&str], faults: &mut FaultList) {
    for (index, section) in sections.iter().enumerate() {
        if !known.contains(&section.name) {
            let expected = format!("one of [{}]", known.join("], ["));
            let fault = ConfigFault::new(FaultReason::UnknownSection, expected);
            faults.push(fault.at(section.line).section(section.name));
            continue;
        }
        let earlier = sections[..index].iter().find(|s| s.name == section.name);
        if let Some(first) = earlier {
            push_duplicate_section(section, first.line, faults);
        }
    }
}
