//! Tests of the service configuration: a text with all keys, defaults, dependencies and each kind
//! of fault.

use std::time::Duration;

use fulmarweir_conf::{AnswerPreference, CompiledConfig, FaultReason, ServiceKind};

const EXAMPLE: &str = "\
[service street-app/pitches]
depends = fee-ledger, counter-desk   ; services that this one may call
kind = search                        ; idempotent
prefer = coverage
deadline-ms = 300
soft-deadline-ms = 150
min-coverage = 0.5
extra-load = 0.1
slots = 4
connections = 40
connect-ms = 1.5

[service fee-ledger]
kind = act
deadline-ms = 1000
[service counter-desk]
kind = search
deadline-ms = 1000
";

/// Returns the faults of `text`, each as `LINE REASON KEY`.
fn faults(text: &str) -> Vec<String> {
    let list = CompiledConfig::compile(1, text).expect_err("the text has faults");
    let lines = list.faults().iter().map(|fault| {
        let key = fault.key.as_deref().unwrap_or("-");
        format!("{} {} {key}", fault.line, fault.reason)
    });
    lines.collect()
}

/// Returns a text of search services with the given names and dependencies.
fn search_services(services: &[(&str, &str)]) -> String {
    let sections = services.iter().map(|(name, depends)| {
        format!("[service {name}]\ndepends = {depends}\nkind = search\ndeadline-ms = 5\n")
    });
    sections.collect()
}

#[test]
fn compiles_the_example() {
    let config = CompiledConfig::compile(7, EXAMPLE).unwrap();
    assert_eq!(config.version, 7);
    assert_eq!(&*config.text, EXAMPLE);
    let service_config = &config.services["street-app/pitches"];
    assert_eq!(service_config.depends[1].as_str(), "counter-desk");
    assert_eq!(service_config.prefer, AnswerPreference::Coverage);
    assert_eq!(service_config.soft_deadline, Duration::from_millis(150));
    assert!((service_config.coverage_min - 0.5).abs() < f64::EPSILON);
    assert_eq!((service_config.slots, service_config.connections), (4, 40));
    assert_eq!(service_config.connect_time, Duration::from_micros(1500));
    assert_eq!(config.services["fee-ledger"].kind, ServiceKind::Act);
}

#[test]
fn fills_in_defaults() {
    let config = CompiledConfig::compile(1, EXAMPLE).unwrap();
    let service_config = &config.services["counter-desk"];
    assert_eq!(service_config.prefer, AnswerPreference::Latency);
    assert_eq!(service_config.soft_deadline, service_config.deadline);
    assert!((service_config.extra_load - 0.05).abs() < f64::EPSILON);
    assert_eq!((service_config.slots, service_config.connections), (3, 30));
}

#[test]
fn the_empty_version_has_the_digest_of_the_empty_text() {
    let empty = CompiledConfig::empty();
    assert_eq!(empty, CompiledConfig::compile(0, "").unwrap());
    let digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(empty.digest.to_string(), digest);
}

#[test]
fn reports_all_faults_at_once_with_lines() {
    let text = "\
[service a]
kind = find
soft-deadline-ms = 5
min-coverage = 1.5
extra-load = NaN
slots = 0
[service Bad]
[services b]
[service c]
depends = a, a, d
kind = act
deadline-ms = 10
soft-deadline-ms = 11
[service a]
";
    let expected = [
        "1 missing key deadline-ms",
        "2 bad value kind",
        "4 bad value min-coverage",
        "5 bad value extra-load",
        "6 bad value slots",
        "7 bad value -",
        "8 unknown section -",
        "10 conflicting values depends",
        "10 unknown dependency depends",
        "13 conflicting values soft-deadline-ms",
        "14 duplicate section -",
    ];
    assert_eq!(faults(text), expected);
}

#[test]
fn names_the_cycle() {
    let text = search_services(&[("a", "b"), ("b", "c, d"), ("c", "a"), ("d", "")]);
    let list = CompiledConfig::compile(1, &text).unwrap_err();
    let fault = &list.faults()[0];
    assert_eq!(fault.reason, FaultReason::DependencyCycle);
    assert_eq!(fault.line, 10);
    assert!(fault.expected.ends_with("a -> b -> c -> a"), "{fault}");
    assert_eq!(list.faults().len(), 1);
}

#[test]
fn a_service_may_not_depend_on_itself() {
    assert_eq!(
        faults(&search_services(&[("a", "a")])),
        ["2 dependency cycle depends"]
    );
}

#[test]
fn shared_dependencies_are_no_cycle() {
    let text = search_services(&[("a", "b, c"), ("b", "d"), ("c", "d"), ("d", "")]);
    assert!(CompiledConfig::compile(1, &text).is_ok());
}

#[test]
fn a_long_chain_is_checked_without_recursion() {
    let mut text = String::new();
    for index in 0..9000 {
        let (name, next) = (format!("s{index}"), format!("s{}", (index + 1) % 9000));
        text += &search_services(&[(&name, &next)]);
    }
    let list = CompiledConfig::compile(1, &text).unwrap_err();
    assert!(list.faults()[0].expected.contains("... -> s0"));
}

#[test]
fn sizes_are_bounded() {
    assert_eq!(faults(&" ".repeat(1024 * 1024 + 1)), ["0 too large -"]);
    assert_eq!(faults(&"[service a]\n".repeat(10_001)), ["0 too large -"]);
    let list = CompiledConfig::compile(1, &"nonsense\n".repeat(150)).unwrap_err();
    assert_eq!((list.faults().len(), list.omitted()), (100, 50));
    assert!(
        list.to_string()
            .ends_with("50 further faults are not listed")
    );
}

#[test]
fn faults_serialize_for_the_operators_interface() {
    let list =
        CompiledConfig::compile(1, "[service a]\nkind = act\ndeadline-ms = x\n").unwrap_err();
    let json = serde_json::to_value(&list).unwrap();
    let expected = serde_json::json!({
        "faults": [{
            "line": 3, "section": "service a", "key": "deadline-ms", "reason": "bad-value",
            "found": "x", "expected": "a number from 1 to 600000",
        }],
        "omitted": 0,
    });
    assert_eq!(json, expected);
}
