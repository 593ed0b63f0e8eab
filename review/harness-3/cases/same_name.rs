//! A change of the configuration adds a search for another host, whose route has the name of one that
//! is there. The shards of both have their servers in the zone next to that of the entry VM which gets
//! the requests.

use std::{collections::HashSet, thread::sleep, time::Duration};

use super::document;
use crate::{
    Verdict,
    http::call_once,
    links::Host,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 3] = [1, 2, 3];
/// Entry VM that gets the requests, in a zone without servers, and those of the zone with the servers.
const ENTRY: Host = 11;
const NEAR_ENTRIES: [Host; 2] = [12, 13];
const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r1"), ("z3", "r2")];

const SHARDS: usize = 5;
/// Versions that hold the added route, and requests sent while each is in force.
const VERSIONS: std::ops::Range<u64> = 2..8;
const REQUESTS: usize = 16;
/// `configApplyMs` of the deployments with three zones, the longer one.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);

fn search(name: &str, host: &str, prefix: &str) -> String {
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("\"{prefix}{shard}\""))
        .collect();
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"/search/\",\"type\":\"idempotent\",\
         \"timeoutMs\":2000,\"sloMs\":500,\"priority\":1,\"gather\":[{}],\"maxAttempts\":2,\"topK\":5,\
         \"minCoverage\":0.75}}",
        shards.join(",")
    )
}

pub fn play(record: Record, has_trouble: bool) -> Verdict {
    let settings = TierSettings {
        losses_max: 1,
        catch_up_s: 4,
        zones: ZONES.to_vec(),
    };
    let mut tier = Tier::new(settings, record);
    for (keeper, (zone, _)) in KEEPERS.into_iter().zip(ZONES) {
        tier.start_keeper(keeper, zone, &KEEPERS, true);
    }
    tier.start_entry(ENTRY, "z2", &KEEPERS);
    for entry in NEAR_ENTRIES {
        tier.start_entry(entry, "z1", &KEEPERS);
    }
    let names: Vec<String> = ["a", "b"]
        .iter()
        .flat_map(|prefix| (0..SHARDS).map(move |shard| format!("{prefix}{shard}")))
        .collect();
    for (number, service) in (31..).zip(&names) {
        tier.start_server(number, service, "z1", &KEEPERS);
    }
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let first = document(1, &[search("search", "alpha.example", "a")], &services, "");
    let entries: Vec<Host> = NEAR_ENTRIES.into_iter().chain([ENTRY]).collect();
    if !tier.submit(&KEEPERS, 1, &first) || !tier.wait_ready(&entries) {
        return Verdict::CouldNotRun("the tier did not start");
    }
    sleep(Duration::from_secs(3));
    let mut served = send_searches(&tier, 1, &mut HashSet::new());
    if served == 0 {
        return Verdict::CouldNotRun("no search was served at first");
    }
    let added = if has_trouble {
        "search"
    } else {
        "other-search"
    };
    let mut wrong_answers = HashSet::new();
    for version in VERSIONS {
        let routes = [
            search("search", "alpha.example", "a"),
            search(added, "beta.example", "b"),
        ];
        if !tier.submit(
            &KEEPERS,
            version,
            &document(version, &routes, &services, ""),
        ) {
            return Verdict::CouldNotRun("a version was not acknowledged");
        }
        sleep(CONFIG_APPLY + Duration::from_millis(500));
        served += send_searches(&tier, version, &mut wrong_answers);
    }
    let runs = tier.runs.lock().unwrap();
    // All requests were sent to the host whose search has the shards a0 to a4.
    let foreign: Vec<_> = runs
        .iter()
        .filter(|run| run.service.starts_with('b'))
        .collect();
    for run in foreign.iter().take(20) {
        tier.record.line(format!(
            "service {} (server {}) ran request {} for host {}, which no configuration sends there",
            run.service, run.server, run.id, run.host
        ));
    }
    tier.record.line(format!(
        "served: {served}; runs by services that are not of the search: {}; successes with parts of them: {}",
        foreign.len(),
        wrong_answers.len()
    ));
    drop(runs);
    let runs = tier
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.service.starts_with('b'))
        .count();
    if !tier.all_run() {
        return Verdict::CouldNotRun("a process ended");
    }
    if runs > 0 || !wrong_answers.is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends searches to the host alpha.example. Returns how many were served, and adds those whose answer
/// has a part of another service to `wrong`.
fn send_searches(tier: &Tier, version: u64, wrong: &mut HashSet<String>) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("v{version}-{number}");
        let headers = [
            ("Host", "alpha.example"),
            ("X-Fulmarweir-Request-Id", id.as_str()),
            ("X-Fulmarweir-Deadline-Ms", "2000"),
        ];
        let path = format!("/search/{id}");
        let answer = call_once(
            tier.callers(ENTRY),
            "GET",
            &path,
            &headers,
            b"",
            Duration::from_millis(2_500),
        );
        let (status, stamps) = answer.map_or((0, String::new()), |answer| {
            let stamps = answer
                .header("x-fulmarweir-part-stamps")
                .unwrap_or_default()
                .to_owned();
            (answer.status, stamps)
        });
        tier.record.line(format!(
            "search {id} to vm {ENTRY}: {status}, parts {stamps}"
        ));
        if status == 200 {
            served += 1;
            // Servers i-31 to i-35 are those of the services a0 to a4.
            let is_foreign = |stamp: &str| {
                !matches!(
                    stamp.trim().split('.').next(),
                    Some("i-31" | "i-32" | "i-33" | "i-34" | "i-35")
                )
            };
            if stamps.split(',').any(is_foreign) {
                wrong.insert(id);
            }
        }
        sleep(Duration::from_millis(30));
    }
    served
}
