//! A front machine is cut off from the core as a searcher turns cold.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::{KeptConnection, Message},
    operator,
    record::Record,
    servers::{Runs, Server},
    tier::{Shape, Tier, TARGETS, ZONES},
    Verdict,
};

/// `warmupPerS` and `warmupS` of the service, `warmupExcess` and `warmupSlack` of the deployment.
const WARM_UP_PER_S: f64 = 5.0;
const WARM_UP: Duration = Duration::from_secs(20);
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
const CUT_FOR: Duration = Duration::from_secs(5);
/// Requests in a second at which a cold searcher crashes: twice what the rule allows.
const CRASHES_ABOVE: u32 = 25;
/// Requests per second at each front machine.
const ASKED_PER_S: f64 = 160.0;
const CALLERS_PER_ENTRY: usize = 24;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let shape = Shape {
        keepers: 3,
        entries_per_zone: 2,
        drain_ms: 4_000,
        losses_max: 1,
        link_delay: Some(Duration::from_millis(8)),
    };
    let mut tier = Tier::prepare(&shape);
    let runs: Arc<Runs> = Arc::default();
    let keepers: Vec<_> = tier.keepers().iter().map(|node| tier.control_of(*node)).collect();
    tier.start_all();
    let document = format!(
        "{{\"version\":2,\"routes\":[{{\"name\":\"desk\",\"host\":\"desk.example\",\"pathPrefix\":\"/desk/\",\
         \"type\":\"non_idempotent\",\"timeoutMs\":4000,\"sloMs\":800,\"priority\":1,\"maxAttempts\":2,\
         \"service\":\"desk\"}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":420,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":{},\"warmupPerS\":{WARM_UP_PER_S}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        WARM_UP.as_secs()
    );
    let limit = Duration::from_secs(15);
    let acknowledged = operator::put(&keepers, 0, &document, "operator", &record, limit);
    let mut servers = Vec::new();
    for number in 0..6_u8 {
        let zone = usize::from(number) % 3;
        let address = tier.address(100 + number, TARGETS);
        let server = Server::new((&format!("i-{number}"), "desk", ZONES[zone]), address, (16, 60), &runs, &record);
        server.quiet.store(true, SeqCst);
        server.crashes_above.store(CRASHES_ABOVE, SeqCst);
        server.serve();
        server.beat(vec![keepers[zone], keepers[(zone + 1) % 3], keepers[(zone + 2) % 3]]);
        servers.push(server);
    }
    if acknowledged.is_none() || !tier.wait_ready(limit) {
        record.say("the tier does not start");
        return Verdict::NotRun;
    }
    tier.end_first_start();
    let stop = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut callers = Vec::new();
    for node in tier.entries() {
        for _ in 0..CALLERS_PER_ENTRY {
            let address = tier.callers_of(node);
            let (stop, count) = (Arc::clone(&stop), Arc::clone(&count));
            let answers = Arc::clone(&answers);
            callers.push(thread::spawn(move || call_on_and_on(address, &stop, &count, &answers)));
        }
    }
    sleep(Duration::from_secs(10));
    let entry = tier.entries()[0];
    if trouble {
        for keeper in tier.keepers() {
            let host = tier.nodes[keeper].host;
            tier.cuts.cut(tier.id(entry), host);
        }
        record.say(&format!("{} is cut off from the core", tier.nodes[entry].name));
        sleep(Duration::from_millis(200));
    }
    // A searcher in its zone turns cold and says so at once.
    let cold = Arc::clone(&servers[0]);
    cold.turn_cold(WARM_UP);
    let turned_at = Instant::now();
    let is_told = cold.beat_once(keepers[0], "ready");
    record.say(&format!("{} turns cold and tells its core machine ({is_told})", cold.id));
    sleep(CUT_FOR);
    tier.cuts.heal();
    sleep(Duration::from_secs(3));
    stop.store(true, SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let bound = WARM_UP_PER_S * EXCESS + SLACK;
    let list = runs.list.lock().unwrap();
    let of_cold = list.iter().filter(|run| run.server == cold.id && run.at >= turned_at);
    let mut at: Vec<f64> = Vec::new();
    for run in of_cold.clone() {
        let seconds = run.at.duration_since(turned_at).as_secs_f64();
        record.line(&format!("{} runs {} {seconds:.3} s after it has turned cold", cold.id, run.request));
        at.push(seconds);
    }
    at.sort_by(f64::total_cmp);
    let within = |from: &f64| at.iter().filter(|t| **t >= *from && **t < from + 1.0).count();
    let worst = at.iter().map(within).max().unwrap_or(0);
    let answers = answers.lock().unwrap();
    let lost = of_cold.filter(|run| answers.get(&run.request).is_some_and(|status| *status != 200)).count();
    record.say(&format!(
        "it crashed: {}; {lost} requests that it ran, which must not be sent again, got no answer of its",
        cold.crashed.load(SeqCst)
    ));
    record.say(&format!(
        "{} got {worst} requests in one second while it was cold; the bound is {bound}",
        cold.id
    ));
    if worst as f64 > bound { Verdict::Broken } else { Verdict::Held }
}

fn call_on_and_on(
    address: std::net::SocketAddr,
    stop: &AtomicBool,
    count: &AtomicU64,
    answers: &Mutex<HashMap<String, u16>>,
) {
    let mut connection = KeptConnection::new(address, Duration::from_secs(5));
    while !stop.load(SeqCst) {
        sleep(Duration::from_secs_f64(CALLERS_PER_ENTRY as f64 / ASKED_PER_S));
        let id = format!("c-{}", count.fetch_add(1, SeqCst));
        let headers = [
            ("host", "desk.example"),
            ("x-fulmarweir-request-id", id.as_str()),
            ("x-fulmarweir-deadline-ms", "4000"),
        ];
        let answer = connection.call("POST", "/desk/2f", &headers);
        let status = answer.as_ref().map_or(0, Message::status);
        answers.lock().unwrap().insert(id, status);
    }
}
