//! Two searchers of a zone leave at the same time, and the core machine that has acknowledged it is
//! lost right after the second one.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering::SeqCst},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::{KeptConnection, Message},
    operator::{self, Route},
    record::Record,
    servers::{Runs, Server},
    tier::{Shape, Tier, TARGETS, ZONES},
    Verdict,
};

/// `drainMs` and `stableWindowMs` of the deployment.
const DRAIN: f64 = 4.0;
const STABLE_WINDOW: f64 = 5.0;
/// Time after which an empty machine comes in place of the lost one.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Time by which the second searcher leaves after the first.
const BETWEEN: Duration = Duration::from_millis(0);
/// Time for which a searcher that has said that it leaves still serves.
const SERVES_FOR: Duration = Duration::from_secs(12);
/// The core machine in the zone of the two searchers, and the one that takes its place.
const KEEPER: usize = 0;
const SUCCESSOR: usize = 3;
/// The clients are at leisure: they ask until the searchers leave, and again from this time after the
/// machines are in touch again.
const PAUSE_ENDS_AFTER: f64 = 0.1;
const ASKED_PER_S: f64 = 5.0;
const CALLERS_PER_ENTRY: usize = 8;
const SERVERS_PER_ZONE: u8 = 4;

/// A request: when its caller sent it, its id, and the front machine.
type Sent = (Instant, String, String);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let shape = Shape {
        keepers: 4,
        entries_per_zone: 3,
        drain_ms: 4_000,
        losses_max: 1,
        link_delay: Some(Duration::from_millis(20)),
    };
    let mut tier = Tier::prepare(&shape);
    let runs: Arc<Runs> = Arc::default();
    let keepers: Vec<_> = tier.keepers()[..3].iter().map(|node| tier.control_of(*node)).collect();
    for node in (0..3).chain(tier.entries()) {
        tier.start(node);
    }
    let mut servers = Vec::new();
    for number in 0..3 * SERVERS_PER_ZONE {
        let zone = usize::from(number) % 3;
        let address = tier.address(100 + number, TARGETS);
        let id = format!("i-{number}");
        let server = Server::new((&id, "desk", ZONES[zone]), address, (3, 40), &runs, &record);
        server.quiet.store(true, SeqCst);
        server.serve();
        servers.push(server);
    }
    let routes = [Route {
        name: "desk".into(),
        host: "desk.example".into(),
        prefix: "/desk/".into(),
        idempotent: true,
        timeout_ms: 4_000,
        service: Some("desk".into()),
        gather: Vec::new(),
    }];
    let document = operator::document(2, &routes, &["desk".to_owned()]);
    let limit = Duration::from_secs(15);
    let acknowledged = operator::put(&keepers, 0, &document, "operator", &record, limit);
    // Each searcher reports to the core machine in its zone.
    for (number, server) in servers.iter().enumerate() {
        let zone = number % 3;
        server.beat(vec![keepers[zone], keepers[(zone + 1) % 3], keepers[(zone + 2) % 3]]);
    }
    if acknowledged.is_none() || !tier.wait_ready(limit) {
        record.say("the tier does not start");
        return Verdict::NotRun;
    }
    tier.end_first_start();
    let stop = Arc::new(AtomicBool::new(false));
    let paused = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let callers: Vec<_> = tier
        .entries()
        .into_iter()
        .flat_map(|node| (0..CALLERS_PER_ENTRY).map(move |caller| (node, caller)))
        .map(|(node, caller)| {
            let address = tier.callers_of(node);
            let name = format!("{}-{caller}", tier.nodes[node].name);
            let (stop, paused) = (Arc::clone(&stop), Arc::clone(&paused));
            let sent = Arc::clone(&sent);
            thread::spawn(move || call_on_and_on(address, &name, (&stop, &paused), &sent))
        })
        .collect();
    // All machines are in touch by then.
    sleep(Duration::from_secs(10));
    // Two searchers in the zone of the first core machine.
    let (first, second) = (Arc::clone(&servers[0]), Arc::clone(&servers[3]));
    first.silent.store(true, SeqCst);
    second.silent.store(true, SeqCst);
    sleep(Duration::from_millis(1_300));
    paused.store(true, SeqCst);
    sleep(Duration::from_millis(100));
    let is_first = first.withdraw(keepers[KEEPER]);
    sleep(BETWEEN);
    let is_second = second.withdraw(keepers[KEEPER]);
    let acknowledged = Instant::now();
    if trouble {
        tier.kill(KEEPER);
    }
    let name = tier.nodes[KEEPER].name.clone();
    record.say(&format!("{name} has acknowledged that {} ({is_first}) and {} ({is_second}) leave", first.id, second.id));
    let mut stable_from = acknowledged;
    if trouble {
        record.say(&format!("{name} is lost for good {} us later", acknowledged.elapsed().as_micros()));
        tier.wipe(KEEPER);
        sleep(REPLACED_AFTER);
        tier.start(SUCCESSOR);
        stable_from = Instant::now();
        record.say(&format!("{} comes with an empty disk at another address", tier.nodes[SUCCESSOR].name));
    }
    let in_touch = stable_from + Duration::from_secs_f64(STABLE_WINDOW);
    let pause_end = in_touch + Duration::from_secs_f64(PAUSE_ENDS_AFTER);
    sleep(pause_end.saturating_duration_since(Instant::now()));
    paused.store(false, SeqCst);
    sleep(SERVES_FOR.saturating_sub(acknowledged.elapsed()));
    stop.store(true, SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let late = acknowledged + Duration::from_secs_f64(DRAIN);
    let sent = sent.lock().unwrap();
    let list = runs.list.lock().unwrap();
    let mut broken = 0;
    for run in list.iter().filter(|run| run.server == second.id || run.server == first.id) {
        let Some((at, id, entry)) = sent.iter().find(|(_, id, _)| *id == run.request) else { continue };
        let after = |at: Instant| at.saturating_duration_since(acknowledged).as_secs_f64();
        let is_late = run.at > late && *at >= in_touch;
        if run.at > acknowledged {
            record.line(&format!(
                "request {id}: sent to {entry} {:.3} s after the acknowledgement, run by {} at {:.3} s{}",
                after(*at),
                run.server,
                after(run.at),
                if is_late { " <- too late, by machines in touch" } else { "" }
            ));
        }
        broken += usize::from(is_late);
    }
    record.say(&format!(
        "{broken} requests reached a searcher later than {DRAIN} s after the acknowledgement, sent on by machines that had been in touch for {STABLE_WINDOW} s"
    ));
    if !(is_first && is_second) {
        return Verdict::NotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

fn call_on_and_on(
    address: std::net::SocketAddr,
    name: &str,
    (stop, paused): (&AtomicBool, &AtomicBool),
    sent: &Mutex<Vec<Sent>>,
) {
    let mut connection = KeptConnection::new(address, Duration::from_secs(5));
    let mut number = 0;
    while !stop.load(SeqCst) {
        sleep(Duration::from_secs_f64(1.0 / ASKED_PER_S));
        if paused.load(SeqCst) {
            continue;
        }
        number += 1;
        let id = format!("{name}-{number}");
        let headers = [
            ("host", "desk.example"),
            ("x-fulmarweir-request-id", id.as_str()),
            ("x-fulmarweir-deadline-ms", "4000"),
        ];
        sent.lock().unwrap().push((Instant::now(), id.clone(), name.to_owned()));
        let _: std::io::Result<Message> = connection.call("GET", "/desk/2f", &headers);
    }
}
