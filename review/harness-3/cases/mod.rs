//! The cases, and what they share.

pub mod forgotten_keeper;
pub mod promised_failure;
pub mod repeated_id;
pub mod same_name;
pub mod split_burst;

use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http::call_once, tier::Tier};

/// Returns a route to one service, whose requests may be repeated.
pub fn route(name: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{name}.example\",\"pathPrefix\":\"/{name}/\",\"type\":\"idempotent\",\
         \"timeoutMs\":2000,\"sloMs\":500,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}"
    )
}

/// Returns a configuration. `more` holds further fields, each followed by a comma.
pub fn document(version: u64, routes: &[String], services: &[&str], more: &str) -> String {
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":100}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},{more}\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Sends one request on a route that [`route`] has named. Returns the status, 0 without an answer.
pub fn send_request(callers: SocketAddr, name: &str, id: &str) -> u16 {
    let host = format!("{name}.example");
    let headers = [
        ("Host", host.as_str()),
        ("X-Fulmarweir-Request-Id", id),
        ("X-Fulmarweir-Deadline-Ms", "2000"),
    ];
    let path = format!("/{name}/{id}");
    let answer = call_once(
        callers,
        "GET",
        &path,
        &headers,
        b"",
        Duration::from_millis(2_500),
    );
    answer.map_or(0, |answer| answer.status)
}

/// Sends requests one after the other and records them. Returns how many were served.
pub fn send_requests(tier: &Tier, vm: u8, name: &str, label: &str, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let id = format!("{label}-{vm}-{name}-{number}");
        let status = send_request(tier.callers(vm), name, &id);
        tier.record
            .line(format!("request {id} on route {name} to vm {vm}: {status}"));
        served += usize::from(status / 100 == 2);
        sleep(Duration::from_millis(50));
    }
    served
}

/// Sends requests until one is served, for a while.
pub fn wait_served(tier: &Tier, vm: u8, name: &str) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let id = format!("first-{vm}-{name}-{number}");
        if send_request(tier.callers(vm), name, &id) / 100 == 2 {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}
