//! Tests of the VM settings: all keys, defaults, each kind of fault and the lines of faults.

use std::time::Duration;

use fulmarweir_conf::{FaultList, FaultReason, VmSettings};

const FULL: &str = "\
[vm]
name = ub-1
data-centre = ub-sukhbaatar
region = ub
data-folder = /var/lib/fulmarweir   ; durable

[listen]                            ; all are IP:PORT
callers = 127.0.0.1:7000            ; searches
targets = 127.0.0.1:7001
operators = 127.0.0.1:7002
peers = 127.0.0.1:7003

[peers]
seeds = 127.0.0.1:7103, 127.0.0.1:7203   ; may be empty
voters = ub-1 127.0.0.1:7003, ub-2 127.0.0.1:7103

[operators]
token = s3cret;still
[log]
level = debug
";

const SMALL: &str = "\
[vm]
name = ub-1
data-centre = ub-sukhbaatar
region = ub
[listen]
callers = 127.0.0.1:0
targets = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
";

fn parse(text: &str) -> Result<VmSettings, FaultList> {
    VmSettings::parse("vm.ini", text)
}

/// Returns the faults of `text`, each as `LINE REASON KEY`.
fn faults(text: &str) -> Vec<String> {
    let list = parse(text).expect_err("the text has faults");
    let lines = list.faults().iter().map(|fault| {
        let key = fault.key.as_deref().unwrap_or("-");
        format!("{} {} {key}", fault.line, fault.reason)
    });
    lines.collect()
}

#[test]
fn reads_every_key() {
    let settings = parse(FULL).unwrap();
    assert_eq!(settings.name.as_str(), "ub-1");
    assert_eq!(settings.listen.peers.port(), 7003);
    assert_eq!(settings.peers.seeds.len(), 2);
    assert_eq!(settings.peers.voters[1].name.as_str(), "ub-2");
    assert_eq!(settings.operator_token.as_deref(), Some("s3cret;still"));
    assert_eq!(settings.log_level, slog::Level::Debug);
    assert!(settings.is_initial_voter());
}

#[test]
fn fills_in_defaults() {
    let settings = parse(SMALL).unwrap();
    assert_eq!(settings.data_folder, None);
    assert_eq!(settings.body_max_bytes, 1024 * 1024);
    assert_eq!(settings.shutdown.settle, Duration::from_millis(500));
    assert_eq!(settings.shutdown.drain_max, Duration::from_secs(10));
    assert_eq!(settings.repair.replace_after, Duration::from_secs(30));
    assert!(settings.policy.hedge);
    assert!(!settings.policy.naive_retry);
    assert_eq!(settings.policy.brokers_max, None);
    assert_eq!(settings.peer_address(), settings.listen.peers);
}

#[test]
fn reads_optional_sections() {
    let more = "[limits]\nbody-max-bytes = 2048\n[shutdown]\nsettle-ms = 0\ndrain-max-ms = 1\n\
                [voters]\ngone-ms = 5000\n[policy]\nhedge = false\nnaive-retry = true\nrandom-replica = true\nbrokers-max = 2\n";
    let settings = parse(&format!("{SMALL}advertise-peers = 10.0.0.1:7003\n{more}")).unwrap();
    assert_eq!(settings.body_max_bytes, 2048);
    assert_eq!(settings.shutdown.drain_max, Duration::from_millis(1));
    assert_eq!(settings.repair.replace_after, Duration::from_secs(5));
    assert!(!settings.policy.hedge && settings.policy.random_replica);
    assert_eq!(settings.policy.brokers_max, Some(2));
    assert_eq!(settings.peer_address().to_string(), "10.0.0.1:7003");
}

#[test]
fn reports_all_faults_at_once_with_lines() {
    let text = "\
stray = 1
[vm]
name = Ub 1
name = ub-1
colour = red
no value
[listen]
callers = localhost:1
targets = 127.0.0.1:1
operators = 127.0.0.1:1
[extra]
[log]
level = loud
[log]
[broken
";
    let expected = [
        "1 key outside of a section stray",
        "2 missing key data-centre",
        "2 missing key region",
        "3 bad value name",
        "4 duplicate key name",
        "5 unknown key colour",
        "6 bad syntax -",
        "7 missing key peers",
        "8 bad value callers",
        "10 conflicting values operators",
        "11 unknown section -",
        "13 bad value level",
        "14 duplicate section -",
        "15 bad syntax -",
    ];
    assert_eq!(faults(text), expected);
}

#[test]
fn an_empty_text_lacks_the_required_sections() {
    assert_eq!(faults(""), ["0 missing section -", "0 missing section -"]);
}

#[test]
fn an_exposed_operators_port_needs_a_token() {
    let exposed = SMALL.replace("operators = 127.0.0.1:0", "operators = 0.0.0.0:7002");
    assert_eq!(faults(&exposed), ["8 conflicting values operators"]);
    assert!(parse(&format!("{exposed}[operators]\ntoken = abc\n")).is_ok());
}

#[test]
fn an_unspecified_peer_address_needs_an_advertised_address() {
    let unspecified = SMALL.replace("peers = 127.0.0.1:0", "peers = 0.0.0.0:7003");
    assert_eq!(faults(&unspecified), ["9 conflicting values peers"]);
    assert!(parse(&format!("{unspecified}advertise-peers = 10.0.0.1:7003\n")).is_ok());
}

#[test]
fn a_voter_needs_a_data_folder_and_its_own_address() {
    let diskless = FULL.replace("data-folder", "; data-folder");
    assert_eq!(faults(&diskless), ["15 conflicting values voters"]);
    let moved = FULL.replace("ub-1 127.0.0.1:7003", "ub-1 127.0.0.1:7009");
    assert_eq!(faults(&moved), ["15 conflicting values voters"]);
    let renamed = FULL.replace("ub-1 127.0.0.1:7003", "ub-3 127.0.0.1:7003");
    assert_eq!(faults(&renamed), ["15 conflicting values voters"]);
}

#[test]
fn voters_are_distinct_and_well_formed() {
    for voters in [
        "ub-2",
        "ub-2 127.0.0.1",
        "ub-2 127.0.0.1:0",
        "ub-2 127.0.0.1:1,",
    ] {
        let text = format!("{SMALL}[peers]\nvoters = {voters}\n");
        assert_eq!(faults(&text), ["11 bad value voters"], "{voters}");
    }
    for voters in [
        "a 127.0.0.1:1, a 127.0.0.1:2",
        "a 127.0.0.1:1, b 127.0.0.1:1",
    ] {
        let text = format!("{SMALL}[peers]\nvoters = {voters}\n");
        assert_eq!(faults(&text), ["11 conflicting values voters"], "{voters}");
    }
}

#[test]
fn numbers_outside_of_their_range_are_faults() {
    for line in [
        "body-max-bytes = 10",
        "body-max-bytes = -1",
        "body-max-bytes = 9999999999999",
    ] {
        let text = format!("{SMALL}[limits]\n{line}\n");
        assert_eq!(faults(&text), ["11 bad value body-max-bytes"]);
    }
}

#[test]
fn a_missing_file_is_one_fault() {
    let list = VmSettings::read("/nonexistent/vm.ini").unwrap_err();
    assert_eq!(list.faults()[0].reason, FaultReason::Unreadable);
    assert!(
        list.to_string()
            .starts_with("/nonexistent/vm.ini: unreadable file")
    );
}

#[test]
fn a_fault_prints_file_line_key_and_expectation() {
    let list = parse(&SMALL.replace("region = ub", "region = UB")).unwrap_err();
    let expected = "vm.ini:4: [vm] region: bad value \"UB\"; \
                    expected 1 to 64 of a-z 0-9 - _ . /, starting with a letter or digit";
    assert_eq!(list.to_string(), expected);
}

#[test]
fn indentation_line_ends_and_comments_do_not_matter() {
    let indented = SMALL.replace('\n', "\r\n  ");
    let commented =
        format!("\u{feff}  # a = b\n ; c\n;d\n#e\n{indented}\n  [log] # f\nlevel=info;g\n");
    assert_eq!(faults(&commented), ["16 bad value level"]);
    assert!(parse(&commented.replace("info;g", "info ;g")).is_ok());
}
