//! The operator's first configuration has version 0.

use std::{path::Path, sync::Arc, thread::sleep, time::Duration};

use crate::{
    http::{self, Message},
    operator::{self, Route},
    record::Record,
    servers::{Runs, Server},
    tier::{Shape, Tier, TARGETS, ZONES},
    Verdict,
};

/// `configApplyMs` of the deployment and a margin.
const IN_FORCE_AFTER: Duration = Duration::from_secs(6);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let shape = Shape {
        keepers: 3,
        entries_per_zone: 1,
        drain_ms: 4_000,
        losses_max: 1,
        link_delay: None,
    };
    let mut tier = Tier::prepare(&shape);
    let runs: Arc<Runs> = Arc::default();
    let keepers: Vec<_> = tier.keepers().iter().map(|node| tier.control_of(*node)).collect();
    tier.start_all();
    for (zone, name) in ZONES.iter().enumerate() {
        let address = tier.address(100 + zone as u8, TARGETS);
        let id = format!("i-{zone}");
        let server = Server::new((&id, "desk", name), address, (8, 10), &runs, &record);
        server.serve();
        server.beat(vec![keepers[zone], keepers[(zone + 1) % 3], keepers[(zone + 2) % 3]]);
    }
    sleep(Duration::from_secs(2));
    tier.end_first_start();
    let routes = [Route {
        name: "desk".into(),
        host: "desk.example".into(),
        prefix: "/desk/".into(),
        idempotent: true,
        timeout_ms: 4_000,
        service: Some("desk".into()),
        gather: Vec::new(),
    }];
    let version = u64::from(!trouble);
    let document = operator::document(version, &routes, &["desk".to_owned()]);
    let limit = Duration::from_secs(15);
    let Some((_, status)) = operator::put(&keepers, 0, &document, "operator", &record, limit) else {
        record.say("the first configuration has no acknowledgement");
        return Verdict::NotRun;
    };
    record.say(&format!("the first configuration, version {version}: status {status}"));
    sleep(IN_FORCE_AFTER);
    let read: Vec<bool> =
        keepers.iter().map(|keeper| operator::get(*keeper).as_ref() == Some(&document)).collect();
    record.say(&format!("it is read back at the core machines: {read:?}"));
    let mut served = 0;
    let entries = tier.entries();
    for node in &entries {
        for number in 0..5 {
            let id = format!("{}-{number}", tier.nodes[*node].name);
            let headers = [
                ("host", "desk.example"),
                ("x-fulmarweir-request-id", id.as_str()),
                ("x-fulmarweir-deadline-ms", "4000"),
            ];
            let limit = Duration::from_secs(5);
            let address = tier.callers_of(*node);
            let answer = http::call(address, "GET", "/desk/2f", &headers, &[], limit);
            let status = answer.as_ref().map_or(0, Message::status);
            record.line(&format!("request {id}: status {status}"));
            served += usize::from(status == 200);
        }
    }
    record.say(&format!("{served} of {} requests were served", 5 * entries.len()));
    let is_lost = status == 200 && !read.contains(&true);
    if is_lost { Verdict::Broken } else { Verdict::Held }
}
