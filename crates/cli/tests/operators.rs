//! Tests of the operators' commands: configuration, status and targets.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};

use support::{FakeAnswer, FakeVm, RecordedRequest, TempFile, ok, refuse, run_tool};

const CONFIG: &str = "[service a]\nkind = search\ndeadline-ms = 9\n";

fn submit_args(file: &TempFile) -> [&str; 7] {
    [
        "config",
        "submit",
        file.path(),
        "--at",
        "7",
        "--change-id",
        "c-1",
    ]
}

/// Starts a fake VM with `CONFIG` in force as version 7, which answers all other requests
/// with `on_put`.
fn vm_with_config(on_put: impl Fn(usize) -> FakeAnswer + Send + Sync + 'static) -> FakeVm {
    FakeVm::start(move |request: &RecordedRequest, index| {
        if request.line == "GET /v1/config" {
            FakeAnswer::Reply(200, &[("etag", "\"7\"")], CONFIG.to_owned())
        } else {
            on_put(index)
        }
    })
}

#[test]
fn check_prints_all_faults_with_their_lines() {
    let file = TempFile::new("check.ini", "[service a]\nkind = find\ncolour = red\n");
    let run = run_tool(&[], &["config", "check", file.path()]);
    assert_eq!(run.code, 2);
    assert!(
        run.stderr.contains("2: [service a] kind: bad value"),
        "{run:?}"
    );
    assert!(
        run.stderr.contains("3: [service a] colour: unknown key"),
        "{run:?}"
    );
    let good = TempFile::new("good.ini", CONFIG);
    assert_eq!(run_tool(&[], &["config", "check", good.path()]).code, 0);
}

#[test]
fn show_prints_the_configuration_unchanged() {
    let vm = vm_with_config(|_| FakeAnswer::Hangup);
    let run = run_tool(&[vm.address], &["config", "show"]);
    assert_eq!(run.stdout, CONFIG);
    let run = run_tool(&[vm.address], &["config", "show", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(json, serde_json::json!({ "version": 7, "text": CONFIG }));
}

#[test]
fn diff_shows_the_changed_lines() {
    let vm = vm_with_config(|_| FakeAnswer::Hangup);
    let file = TempFile::new("diff.ini", &CONFIG.replace('9', "8"));
    let run = run_tool(&[vm.address], &["config", "diff", file.path()]);
    assert!(
        run.stdout.contains("-deadline-ms = 9\n+deadline-ms = 8\n"),
        "{run:?}"
    );
    let same = TempFile::new("same.ini", CONFIG);
    let run = run_tool(&[vm.address], &["config", "diff", same.path()]);
    assert_eq!((run.code, run.stdout.as_str()), (0, ""));
}

#[test]
fn submit_sends_version_change_id_and_token() {
    let vm = FakeVm::start(|_, _| ok(r#"{"version":8}"#));
    let file = TempFile::new("submit.ini", CONFIG);
    let args = [&submit_args(&file)[..], &["--token", "t-1"]].concat();
    let run = run_tool(&[vm.address], &args);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.stdout, "accepted as version 8, change c-1\n");
    let request = &vm.requests()[0];
    assert_eq!(
        (request.line.as_str(), request.body.as_str()),
        ("PUT /v1/config", CONFIG)
    );
    assert_eq!(request.header("if-match"), "\"7\"");
    assert_eq!(request.header("change-id"), "c-1");
    assert_eq!(request.header("authorization"), "Bearer t-1");
}

#[test]
fn a_change_whose_answer_was_lost_is_resent_with_its_id() {
    let vm = FakeVm::start(|_, index| match index {
        0 => FakeAnswer::Hangup,
        _ => ok(r#"{"version":8}"#),
    });
    let file = TempFile::new("resend.ini", CONFIG);
    let run = run_tool(
        &[vm.address],
        &["config", "submit", file.path(), "--at", "7"],
    );
    assert_eq!(run.code, 0, "{run:?}");
    let requests = vm.requests();
    assert_eq!(requests.len(), 2);
    assert!(requests[0].header("change-id").len() >= 32);
    assert_eq!(
        requests[0].header("change-id"),
        requests[1].header("change-id")
    );
}

#[test]
fn a_change_without_an_answer_is_undecided_and_its_id_is_printed() {
    let vm = FakeVm::start(|_, _| FakeAnswer::Hangup);
    let file = TempFile::new("undecided.ini", CONFIG);
    let run = run_tool(&[vm.address], &submit_args(&file));
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.stderr.contains("--change-id c-1"), "{run:?}");
}

#[test]
fn a_conflicting_change_is_refused_with_a_diff() {
    let vm = vm_with_config(|_| refuse(409, "not-run"));
    let file = TempFile::new("second.ini", &CONFIG.replace('9', "8"));
    let run = run_tool(&[vm.address], &submit_args(&file));
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.stderr.contains("+deadline-ms = 8"), "{run:?}");
}

#[test]
fn the_faults_of_a_refused_text_are_listed() {
    let vm = FakeVm::start(|_, _| {
        let body = r#"{"error":{"reason":"faulty-text","run":"not-run","message":"1 fault"},
            "faults":[{"line":2,"section":"service a","key":"kind","reason":"bad-value",
            "found":"find","expected":"search or act"}]}"#;
        FakeAnswer::Reply(422, &[("fulmarweir-run", "not-run")], body.to_owned())
    });
    let file = TempFile::new("faults.ini", CONFIG);
    let run = run_tool(&[vm.address], &submit_args(&file));
    assert_eq!(run.code, 1, "{run:?}");
    let line = "line 2: service a kind bad-value find expected search or act";
    assert!(run.stderr.contains(line), "{run:?}");
}

#[test]
fn wait_polls_until_the_version_is_in_force_everywhere() {
    let polls = AtomicU64::new(0);
    let vm = FakeVm::start(move |request, _| {
        if request.line != "GET /v1/status" {
            return ok(r#"{"version":8}"#);
        }
        let version = 7 + polls.fetch_add(1, Ordering::SeqCst).min(1);
        ok(&format!(
            r#"{{"vm":"ub-1","config":{{"version":8}},"members":[{{"vm":"ub-2","config_version":{version}}}]}}"#
        ))
    });
    let file = TempFile::new("wait.ini", CONFIG);
    let args = [&submit_args(&file)[..], &["--wait", "30"]].concat();
    let run = run_tool(&[vm.address], &args);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(vm.requests().len(), 3);
}

#[test]
fn wait_prints_the_vms_without_the_version() {
    let vm = FakeVm::start(|request, _| {
        if request.line != "GET /v1/status" {
            return ok(r#"{"version":8}"#);
        }
        ok(r#"{"vm":"ub-1","config":{"version":8},"members":[
            {"vm":"ub-2","state":"alive","config_version":7},{"vm":"ub-3"},
            {"vm":"ub-4","state":"left","config_version":7}],
            "centres":[{"centre":"dk-central","config_version":6}]}"#)
    });
    let file = TempFile::new("lag.ini", CONFIG);
    let args = [&submit_args(&file)[..], &["--wait", "0"]].concat();
    let run = run_tool(&[vm.address], &args);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(
        run.stdout
            .contains("not yet in force on ub-2 (version 7, alive)"),
        "{run:?}"
    );
    assert!(
        run.stdout
            .contains("not yet in force on ub-3 (version unknown)"),
        "{run:?}"
    );
    let centre = "not yet in force on data centre dk-central (version 6)";
    assert!(run.stdout.contains(centre), "{run:?}");
    assert!(!run.stdout.contains("ub-4"), "{run:?}");
}

#[test]
fn status_targets_and_history_print_tables_and_json() {
    let vm = FakeVm::start(|request, _| match request.line.as_str() {
        "GET /v1/status" => ok(r#"{"vm":"ub-1","ready":true,"config":{"version":3},
            "members":[{"vm":"ub-2","state":"suspect"}],"voters":{"epoch":4,"set":[{"vm":"ub-9"}]}}"#),
        "GET /v1/targets" => ok(r#"{"targets":[{"name":"pitches-1","usable":true,
            "versions":[{"version":41,"shard":0,"of":3}],"brokers":["ub-1"],"surprise":1}]}"#),
        _ => ok(r#"{"changes":[{"version":3,"change_id":"c-9","outcome":"accepted"}]}"#),
    });
    let status = run_tool(&[vm.address], &["status"]).stdout;
    assert!(status.contains("ready") && status.contains("suspect") && status.contains("ub-9"));
    let targets = run_tool(&[vm.address], &["targets"]).stdout;
    assert!(
        targets.contains("pitches-1") && targets.contains("41:0/3"),
        "{targets}"
    );
    let history = run_tool(&[vm.address], &["config", "history"]).stdout;
    assert!(
        history.contains("c-9") && history.contains("accepted"),
        "{history}"
    );
    let json = run_tool(&[vm.address], &["targets", "--json"]).stdout;
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["targets"][0]["surprise"], 1);
}

#[test]
fn a_401_is_not_retried_at_the_next_vm() {
    let first = FakeVm::start(|_, _| FakeAnswer::Reply(401, &[], String::new()));
    let second = FakeVm::start(|_, _| ok("{}"));
    let run = run_tool(&[first.address, second.address], &["status"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(second.requests().is_empty());
}
