//! The nearest keeper freezes for a moment while requests wait for permits of their tenants' quotas.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    Verdict,
    http::{self, Connection},
    operator,
    record::Record,
    searcher::{Plan, Searcher},
    tier::{Network, TSOG, TSOG_ZONES, Tier},
};

const SERVICE: &str = "counter-desk";
/// Time after which the machines are in touch again; `stableWindowMs` is 4 s.
const STEADY_AFTER: Duration = Duration::from_millis(8_000);
const SPAN: Duration = Duration::from_millis(4_000);
const FREEZE: Duration = Duration::from_millis(350);
const FREEZES: u32 = 3;
const BETWEEN: Duration = Duration::from_millis(2_000);
/// The entry machines of one zone.
const ENTRY_ZONES: [usize; 2] = [0, 0];
/// One way between regions, as in the sheet.
const REGION_DELAY: Duration = Duration::from_millis(8);
const TENANTS: usize = 84;
const RATE_PER_S: u32 = 8;
const BURST: u32 = 8;
const CLIENTS: usize = 20;
const PAUSE_BETWEEN: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 2_500;
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Route {
    First,
    Added,
}

/// Requests of a route in a span of time: sent, served, refused with 503.
type Counts = BTreeMap<(u64, Route), (u32, u32, u32)>;

fn document(version: u64, has_added: bool) -> String {
    let route = |name: &str, is_anonymous: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"fisa.example\",\"pathPrefix\":\"/{name}/\",\"type\":\"idempotent\",\
             \"timeoutMs\":{DEADLINE_MS},\"sloMs\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\
             \"anonymous\":{is_anonymous}}}"
        )
    };
    let mut routes = vec![route("first", true)];
    routes.extend(has_added.then(|| route("added", false)));
    let tenants: Vec<String> = (0..TENANTS)
        .map(|n| {
            format!(
                "{{\"name\":\"t-{n}\",\"apiKeys\":[\"key-{n}\"],\"priority\":1,\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\
         \"maxConns\":550,\"protocol\":\"h1\",\"tls\":false}}],\"tenants\":[{}],\"limits\":{}}}",
        routes.join(","),
        tenants.join(","),
        operator::LIMITS
    )
}

pub fn run(program: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let tier = Tier::start(
        program,
        TSOG,
        &TSOG_ZONES,
        &ENTRY_ZONES,
        Network::RegionDelay(REGION_DELAY),
    );
    for number in 0..6u16 {
        let plan = Plan {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            zone: TSOG_ZONES[usize::from(number) % 3].0.to_owned(),
            address: tier.address(200, 9_000 + number),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(10),
            heartbeat: Duration::from_millis(TSOG.heartbeat_ms),
            is_shard: false,
            retry_after: None,
        };
        Searcher::start(plan, tier.controls(), record);
    }
    let controls = tier.controls();
    let configure = |version, has_added| {
        let is_done = operator::configure(
            &controls,
            &document(version, has_added),
            Duration::from_secs(15),
        );
        record.note(&format!(
            "configuration version={version} acknowledged={is_done}"
        ));
        is_done
    };
    if !configure(1, false) || !tier.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the tier did not become ready");
    }
    sleep(Duration::from_secs(5));
    if !configure(2, true) {
        return Verdict::NotRun("the second configuration was not acknowledged");
    }
    sleep(CONFIG_APPLY);
    let stopped = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    // The span of time that is counted, 0 for none.
    let span = Arc::new(AtomicU64::new(0));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let fronts = tier.fronts();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (stopped, next_id, record) = (
                Arc::clone(&stopped),
                Arc::clone(&next_id),
                Arc::clone(record),
            );
            let (span, counts) = (Arc::clone(&span), Arc::clone(&counts));
            spawn(move || {
                let mut turn = number;
                while !stopped.load(SeqCst) {
                    turn += 1;
                    let route = if turn % 4 == 0 {
                        Route::First
                    } else {
                        Route::Added
                    };
                    let key = (number * 7 + turn) % TENANTS;
                    let id = format!("{:016x}", next_id.fetch_add(1, SeqCst));
                    let before = span.load(SeqCst);
                    let status = send(front, route, key, &id, &record);
                    if before > 0 && span.load(SeqCst) == before {
                        let mut counts = counts.lock().unwrap();
                        let count = counts.entry((before, route)).or_default();
                        count.0 += 1;
                        count.1 += u32::from(status == 200);
                        count.2 += u32::from(status == 503);
                    }
                    sleep(PAUSE_BETWEEN);
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(5));
    span.store(1, SeqCst);
    sleep(SPAN);
    span.store(0, SeqCst);
    if has_trouble {
        for _ in 0..FREEZES {
            record.note("the keeper of the zone freezes");
            tier.signal(0, "STOP");
            sleep(FREEZE);
            tier.signal(0, "CONT");
            record.note("the keeper of the zone wakes");
            sleep(BETWEEN);
        }
    }
    sleep(STEADY_AFTER);
    for number in 2..5 {
        span.store(number, SeqCst);
        sleep(SPAN);
    }
    span.store(0, SeqCst);
    stopped.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(record, &counts.lock().unwrap())
}

/// Returns the status of the answer, 0 if the connection was closed without one.
fn send(front: SocketAddr, route: Route, key: usize, id: &str, record: &Record) -> u16 {
    let path = match route {
        Route::First => "/first/a",
        Route::Added => "/added/a",
    };
    record.sent(id, &format!("front={front} path={path}"));
    let headers = [
        ("Host", "fisa.example".to_owned()),
        ("X-Fulmarweir-Request-Id", id.to_owned()),
        ("X-Fulmarweir-Deadline-Ms", DEADLINE_MS.to_string()),
        ("Authorization", format!("Bearer key-{key}")),
    ];
    let request = http::encode(&format!("GET {path} HTTP/1.1"), &headers, b"");
    let answer = Connection::open(front, Duration::from_secs(1)).and_then(|mut connection| {
        connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        connection.write(&request)?;
        connection.read()
    });
    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
    record.answered(id, status);
    status
}

/// CONFIG: in steady state, machines in touch get 20 or more requests on routes that were added later,
/// and serve them less than a quarter as often as those on the first routes.
fn judge(record: &Record, counts: &Counts) -> Verdict {
    let mut is_broken = false;
    let mut spans: Vec<u64> = counts.keys().map(|(span, _)| *span).collect();
    spans.dedup();
    for span in spans {
        let of = |route| counts.get(&(span, route)).copied().unwrap_or_default();
        let (first, added) = (of(Route::First), of(Route::Added));
        let share = |count: (u32, u32, u32)| f64::from(count.1) / f64::from(count.0.max(1));
        let breaks = added.0 >= 20 && share(added) < share(first) / 4.0;
        is_broken |= breaks;
        record.say(&format!(
            "span={span} first: sent={} served={} refused={} added: sent={} served={} refused={} breaks={breaks}",
            first.0, first.1, first.2, added.0, added.1, added.2
        ));
    }
    if counts.is_empty() {
        return Verdict::NotRun("nothing was measured");
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
