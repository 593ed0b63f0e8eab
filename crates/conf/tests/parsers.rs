//! Property tests of the parsers of [`VmSettings`] and [`CompiledConfig`] with arbitrary texts: no
//! panics, line numbers within the text, and an injected fault is reported on its line.

use std::fmt::Write;

use arbtest::{arbitrary::Unstructured, arbtest};
use fulmarweir_conf::{CompiledConfig, FaultList, VmSettings};

const SEEDS: std::ops::Range<u64> = 0..40;
/// Length of the arbitrary input in bytes, which `arbtest` takes from the low half of a seed.
const INPUT_BYTES: u64 = 2000;

/// Fragments of valid texts, which reach deeper into the parsers than random characters.
const FRAGMENTS: [&str; 24] = [
    "[",
    "]",
    "=",
    " = ",
    ";",
    " ; ",
    "#",
    "\n",
    "\r\n",
    "\r",
    "\t",
    ",",
    "vm",
    "listen",
    "name",
    "service a",
    "depends",
    "a",
    "kind",
    "deadline-ms",
    "300",
    "127.0.0.1:1",
    "\u{e9}",
    "\0",
];

/// Checks a property with fixed seeds, so that all runs have the same result.
fn check(property: fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}

fn arbitrary_text(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let mut text = String::new();
    while !u.is_empty() {
        if u.ratio(9, 10)? {
            text += u.choose(&FRAGMENTS)?;
        } else {
            text.push(u.arbitrary()?);
        }
    }
    Ok(text)
}

fn assert_lines_inside(list: &FaultList, text: &str) {
    let ends = text.bytes().filter(|b| b"\r\n".contains(b)).count();
    for fault in list.faults() {
        assert!(usize::try_from(fault.line).unwrap() <= ends + 1, "{fault}");
        assert!(!fault.expected.is_empty());
    }
    assert!(!list.faults().is_empty());
}

#[test]
fn arbitrary_settings_never_panic() {
    check(|u| {
        let text = arbitrary_text(u)?;
        if let Err(list) = VmSettings::parse("x", &text) {
            assert_lines_inside(&list, &text);
        }
        Ok(())
    });
}

#[test]
fn arbitrary_service_texts_never_panic() {
    check(|u| {
        let text = arbitrary_text(u)?;
        if let Err(list) = CompiledConfig::compile(1, &text) {
            assert_lines_inside(&list, &text);
        }
        Ok(())
    });
}

#[test]
fn an_injected_fault_is_reported_on_its_line() {
    check(|u| {
        let mut lines = vec!["[service a]", "kind = search", "deadline-ms = 9"];
        for _ in 0..u.int_in_range(0..=20)? {
            let at = u.int_in_range(0..=lines.len())?;
            lines.insert(at, u.choose(&["", "; comment", "  # x = y", "   "])?);
        }
        let header = lines.iter().position(|line| line.starts_with('[')).unwrap();
        let at = u.int_in_range(header + 1..=lines.len())?;
        lines.insert(at, u.choose(&["colour = red", "slots = many", "kind"])?);
        let end = u.choose(&["\n", "\r\n"])?;
        let list = CompiledConfig::compile(1, &lines.join(end)).unwrap_err();
        assert_eq!(list.faults().len(), 1, "{list}");
        assert_eq!(usize::try_from(list.faults()[0].line).unwrap(), at + 1);
        Ok(())
    });
}

#[test]
fn a_compiled_configuration_keeps_its_text_and_names() {
    check(|u| {
        let count = u.int_in_range(0..=30)?;
        let mut text = String::new();
        for index in 0..count {
            let kind = u.choose(&["search", "act"])?;
            let deadline: u16 = u.int_in_range(1..=9999)?;
            let _ = writeln!(text, "[service s-{index}]\nkind = {kind}");
            let _ = writeln!(text, "deadline-ms = {deadline}");
        }
        let config = CompiledConfig::compile(3, &text).unwrap();
        assert_eq!(config.services.len(), count);
        assert_eq!(&*config.text, text.as_str());
        assert!(
            config
                .services
                .iter()
                .all(|(name, service_config)| *name == service_config.name)
        );
        Ok(())
    });
}
