//! A stand-in operator, and the documents that it sends.

use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// A route to one service or, with `gather`, to all shards of a list.
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub idempotent: bool,
    pub timeout_ms: u64,
    pub service: Option<String>,
    pub gather: Vec<String>,
}

/// Returns a configuration document.
pub fn document(version: u64, routes: &[Route], services: &[String]) -> String {
    let routes: Vec<String> = routes.iter().map(route).collect();
    let service = |name: &String| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":52,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn route(route: &Route) -> String {
    let kind = if route.idempotent { "idempotent" } else { "non_idempotent" };
    let destination = match &route.service {
        Some(service) => format!("\"service\":\"{service}\""),
        None => {
            let shards: Vec<String> = route.gather.iter().map(|s| format!("\"{s}\"")).collect();
            format!("\"gather\":[{}],\"topK\":5,\"minCoverage\":0.75", shards.join(","))
        }
    };
    format!(
        "{{\"name\":\"{}\",\"host\":\"{}\",\"pathPrefix\":\"{}\",\"type\":\"{kind}\",\
         \"timeoutMs\":{},\"sloMs\":800,\"priority\":1,\"maxAttempts\":2,{destination}}}",
        route.name, route.host, route.prefix, route.timeout_ms
    )
}

/// Sends a document to the keepers, beginning with `first`, until one acknowledges it. Returns
/// which keeper answered, and its status; `None` if none did within `limit`.
pub fn put(
    keepers: &[SocketAddr],
    first: usize,
    document: &str,
    who: &str,
    record: &Record,
    limit: Duration,
) -> Option<(usize, u16)> {
    let end = Instant::now() + limit;
    let mut at = first;
    let mut pause = Duration::from_millis(50);
    while Instant::now() < end {
        let keeper = keepers[at % keepers.len()];
        let headers = [("host", "control"), ("content-type", "application/json")];
        let body = document.as_bytes();
        let second = Duration::from_secs(1);
        let answer = http::call(keeper, "PUT", "/fulmarweir/config", &headers, body, second);
        match answer {
            Ok(answer) => {
                let status = answer.status();
                record.line(&format!("{who}: PUT config to {keeper} -> {status}"));
                if status < 500 && status != 408 && status != 429 {
                    return Some((at % keepers.len(), status));
                }
            }
            Err(error) => record.line(&format!("{who}: PUT config to {keeper} -> no answer ({error})")),
        }
        at += 1;
        sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(800));
    }
    None
}

/// Reads the configuration back from one keeper.
pub fn get(keeper: SocketAddr) -> Option<String> {
    let headers = [("host", "control")];
    let limit = Duration::from_secs(2);
    let answer = http::call(keeper, "GET", "/fulmarweir/config", &headers, &[], limit).ok()?;
    (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
}
