//! One machine of the core is lost for good while the system starts for the first time, and an
//! empty one comes at another address.

use std::{
    path::Path,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    operator::{self, Route},
    record::Record,
    servers::{Runs, Server},
    tier::{Shape, Tier, TARGETS, ZONES},
    Verdict,
};

/// Time from the start for which the operator sends the first configuration again and again.
const WAIT: Duration = Duration::from_secs(80);
/// The machine that is lost, and the one that takes its place.
const LOST: usize = 2;
const SUCCESSOR: usize = 3;
/// Time after which the empty machine comes.
const REPLACED_AFTER: Duration = Duration::from_secs(2);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let shape = Shape {
        keepers: 4,
        entries_per_zone: 1,
        drain_ms: 4_000,
        losses_max: 1,
        link_delay: None,
    };
    let mut tier = Tier::prepare(&shape);
    let runs: Arc<Runs> = Arc::default();
    let mut keepers: Vec<_> = tier.keepers().iter().map(|node| tier.control_of(*node)).collect();
    let entries = tier.entries();
    for node in [0, 1].into_iter().chain(entries.iter().copied()) {
        tier.start(node);
    }
    tier.start(LOST);
    record.line("the machines start for the first time: 3 of the core, 3 entry VMs");
    if trouble {
        tier.kill(LOST);
        tier.wipe(LOST);
        record.line(&format!("{} is lost for good as it starts", tier.nodes[LOST].name));
        sleep(REPLACED_AFTER);
        tier.end_first_start();
        tier.start(SUCCESSOR);
        record.line(&format!("{} comes with an empty disk at another address", tier.nodes[SUCCESSOR].name));
        keepers.swap_remove(LOST);
    } else {
        keepers.truncate(3);
        sleep(REPLACED_AFTER);
        tier.end_first_start();
    }
    for (zone, name) in ZONES.iter().enumerate() {
        let address = tier.address(100 + zone as u8, TARGETS);
        let server = Server::new((&format!("i-{zone}"), "desk", name), address, (8, 10), &runs, &record);
        server.serve();
        server.beat(vec![keepers[zone], keepers[(zone + 1) % 3], keepers[(zone + 2) % 3]]);
    }
    let routes = [Route {
        name: "plain".into(),
        host: "desk.example".into(),
        prefix: "/plain/".into(),
        idempotent: true,
        timeout_ms: 4_000,
        service: Some("desk".into()),
        gather: Vec::new(),
    }];
    let document = operator::document(2, &routes, &["desk".to_owned()]);
    let start = Instant::now();
    let acknowledged = operator::put(&keepers, 0, &document, "operator", &record, WAIT);
    let waited = start.elapsed();
    match acknowledged {
        Some((_, status)) => record.say(&format!("the first configuration: status {status} after {:.1} s", waited.as_secs_f64())),
        None => record.say(&format!("the first configuration has no acknowledgement after {:.0} s", waited.as_secs_f64())),
    }
    sleep(Duration::from_secs(6));
    let read: Vec<bool> = keepers.iter().map(|keeper| operator::get(*keeper).is_some()).collect();
    record.say(&format!("the configuration can be read back at the machines of the core: {read:?}"));
    let mut served = 0;
    for (index, node) in entries.iter().enumerate() {
        for number in 0..5 {
            let id = format!("q{index}-{number}");
            let headers = [
                ("host", "desk.example"),
                ("x-fulmarweir-request-id", id.as_str()),
                ("x-fulmarweir-deadline-ms", "4000"),
            ];
            let limit = Duration::from_secs(5);
            let answer = http::call(tier.callers_of(*node), "GET", "/plain/2f", &headers, &[], limit);
            let status = answer.as_ref().map_or(0, Message::status);
            record.line(&format!("request {id} at {}: status {status}", tier.nodes[*node].name));
            served += usize::from(status == 200);
        }
    }
    record.say(&format!("{served} of {} requests were served", 5 * entries.len()));
    if read.iter().any(|came| *came) && served > 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
