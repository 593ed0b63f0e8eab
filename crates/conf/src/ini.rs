//! Splits an INI text into sections and entries with their line numbers.

use ini_core::{Item, Parser};

use crate::fault::{ConfigFault, FaultList, FaultReason};

/// Maximum length of an accepted text in bytes.
pub const TEXT_MAX_BYTES: usize = 1024 * 1024;

const COMMENT_PREFIXES: [char; 2] = [';', '#'];
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One `key = value` line.
#[derive(Debug)]
pub(crate) struct IniEntry<'a> {
    pub(crate) key: &'a str,
    pub(crate) value: &'a str,
    pub(crate) line: u32,
}

/// One section and its entries in the order of the text.
#[derive(Debug)]
pub(crate) struct IniSection<'a> {
    pub(crate) name: &'a str,
    pub(crate) line: u32,
    pub(crate) entries: Vec<IniEntry<'a>>,
}

/// Splits `text` into sections. Malformed lines are reported to `faults` and skipped.
pub(crate) fn parse_sections<'a>(text: &'a str, faults: &mut FaultList) -> Vec<IniSection<'a>> {
    let mut sections = Vec::new();
    if text.len() > TEXT_MAX_BYTES {
        let expected = format!("at most {TEXT_MAX_BYTES} bytes");
        let fault = ConfigFault::new(FaultReason::TooLarge, expected);
        faults.push(fault.found(&format!("{} bytes", text.len())));
        return sections;
    }
    let text = text.trim_start_matches(BYTE_ORDER_MARK);
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        match parser.next() {
            None => return sections,
            Some(Item::Section(name)) => push_section(&mut sections, line, name, faults),
            Some(Item::Error(text)) => push_header(&mut sections, line, text, faults),
            Some(Item::Property(key, value)) => {
                push_property(&mut sections, line, key, value, faults);
            }
            Some(Item::Blank | Item::Comment(_) | Item::SectionEnd) => {}
        }
    }
}

/// Adds a line that `ini_core` parses as a property.
///
/// `ini_core` does not recognise indented section headers, indented comments or comments that
/// start with `#`, so those arrive here as well.
fn push_property<'a>(
    sections: &mut Vec<IniSection<'a>>,
    line: u32,
    key: &'a str,
    value: Option<&'a str>,
    faults: &mut FaultList,
) {
    if key.starts_with(COMMENT_PREFIXES) {
        return;
    }
    let Some(value) = value else {
        if key.starts_with('[') {
            push_header(sections, line, key, faults);
        } else {
            faults.push(syntax_fault(line, key));
        }
        return;
    };
    let value = strip_comment(value);
    let Some(section) = sections.last_mut() else {
        let fault = ConfigFault::new(FaultReason::OutsideSection, "a [section] line before it");
        faults.push(fault.at(line).key(key));
        return;
    };
    section.entries.push(IniEntry { key, value, line });
}

/// Adds a section whose header `ini_core` does not recognise, because it is indented or has text
/// or blanks after the closing bracket. A header without a closing bracket is a fault.
fn push_header<'a>(
    sections: &mut Vec<IniSection<'a>>,
    line: u32,
    text: &'a str,
    faults: &mut FaultList,
) {
    let inner = text.strip_prefix('[').unwrap_or(text);
    if inner.contains(']') {
        push_section(sections, line, inner, faults);
    } else {
        faults.push(syntax_fault(line, text));
    }
}

/// Adds a section. `inner` may still include the closing bracket and a trailing comment.
fn push_section<'a>(
    sections: &mut Vec<IniSection<'a>>,
    line: u32,
    inner: &'a str,
    faults: &mut FaultList,
) {
    let (name, rest) = inner.split_once(']').unwrap_or((inner, ""));
    let rest = rest.trim();
    if !rest.is_empty() && !rest.starts_with(COMMENT_PREFIXES) {
        faults.push(syntax_fault(line, inner));
    }
    sections.push(IniSection {
        name: name.trim(),
        line,
        entries: Vec::new(),
    });
}

fn syntax_fault(line: u32, found: &str) -> ConfigFault {
    let expected = "[section], key = value, or a comment that starts with ; or #";
    let fault = ConfigFault::new(FaultReason::BadSyntax, expected);
    fault.at(line).found(found.trim())
}

/// Removes a trailing comment, which starts with a semicolon at the start of the value or after a
/// blank.
fn strip_comment(value: &str) -> &str {
    let is_comment = |index: &usize| value[..*index].chars().next_back().is_none_or(is_blank);
    let starts = value.match_indices(';').map(|(index, _)| index);
    match starts.into_iter().find(is_comment) {
        Some(index) => value[..index].trim_end(),
        None => value,
    }
}

fn is_blank(c: char) -> bool {
    c == ' ' || c == '\t'
}
