//! A search route that was added later moves to fewer shards, while requests wait for permits of their
//! tenants' quotas, since the nearest keeper is lost.

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

/// Shards of the larger and of the smaller set.
const LARGE: usize = 36;
const SMALL: usize = 10;
/// The entry machines of one zone.
const ENTRY_ZONES: [usize; 2] = [0, 0];
/// One way between regions, as in the sheet.
const REGION_DELAY: Duration = Duration::from_millis(8);
const TENANTS: usize = 84;
const RATE_PER_S: u32 = 8;
const BURST: u32 = 8;
const CLIENTS: usize = 60;
const PAUSE_BETWEEN: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 2_500;
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const STEADY: Duration = Duration::from_millis(3_000);
/// Time for which the larger set is in force again.
const BETWEEN: Duration = Duration::from_millis(2_000);
/// Time from the loss of a keeper until the first change, in which the core gets stable.
const WARM_UP: Duration = Duration::from_millis(15_000);
const ROUNDS: u64 = 8;

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Route {
    First,
    Added,
}

/// Requests of a route in the steady time of a version: sent, served, closed without an answer.
type Counts = BTreeMap<(u64, Route), (u32, u32, u32)>;

fn document(version: u64, added: Option<usize>) -> String {
    let gather = |count: usize| {
        let names: Vec<String> = (0..count)
            .map(|n| format!("\"{}\"", shard(count, n)))
            .collect();
        names.join(",")
    };
    let route = |name: &str, count: usize| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"busca.example\",\"pathPrefix\":\"/{name}/\",\"type\":\"idempotent\",\
             \"timeoutMs\":{DEADLINE_MS},\"sloMs\":150,\"priority\":1,\"gather\":[{}],\"maxAttempts\":2,\"topK\":5,\
             \"minCoverage\":0.75}}",
            gather(count)
        )
    };
    let mut routes = vec![route("first", LARGE)];
    routes.extend(added.map(|count| route("added", count)));
    let sets = [LARGE, SMALL].into_iter();
    let services = sets.flat_map(|count| (0..count).map(move |n| shard(count, n)));
    let services: Vec<String> = services
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":67,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    let tenants: Vec<String> = (0..TENANTS)
        .map(|n| {
            format!(
                "{{\"name\":\"t-{n}\",\"apiKeys\":[\"key-{n}\"],\"priority\":1,\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"tenants\":[{}],\"limits\":{}}}",
        routes.join(","),
        services.join(","),
        tenants.join(","),
        operator::LIMITS
    )
}

fn shard(count: usize, number: usize) -> String {
    let set = if count == LARGE { "horno" } else { "tienda" };
    format!("{set}-{number:02}")
}

pub fn run(program: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut tier = Tier::start(
        program,
        TSOG,
        &TSOG_ZONES,
        &ENTRY_ZONES,
        Network::RegionDelay(REGION_DELAY),
    );
    let mut port = 9_000;
    for count in [LARGE, SMALL] {
        for number in 0..count {
            let plan = Plan {
                id: format!("i-{}", shard(count, number)),
                service: shard(count, number),
                zone: TSOG_ZONES[0].0.to_owned(),
                address: tier.address(200, port),
                slots: 4,
                queue: 24,
                work: Duration::from_millis(3),
                heartbeat: Duration::from_millis(TSOG.heartbeat_ms),
                is_shard: true,
                retry_after: None,
            };
            port += 1;
            Searcher::start(plan, tier.controls(), record);
        }
    }
    let controls = tier.controls();
    let configure = |version, added| {
        let is_done = operator::configure(
            &controls,
            &document(version, added),
            Duration::from_secs(15),
        );
        record.note(&format!(
            "configuration version={version} acknowledged={is_done}"
        ));
        is_done
    };
    if !configure(1, None) || !tier.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the tier did not become ready");
    }
    sleep(Duration::from_secs(8));
    if !configure(2, Some(LARGE)) {
        return Verdict::NotRun("the second configuration was not acknowledged");
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    // The version whose steady time it is, 0 for none.
    let steady_version = Arc::new(AtomicU64::new(0));
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
            let (steady_version, counts) = (Arc::clone(&steady_version), Arc::clone(&counts));
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
                    let version = steady_version.load(SeqCst);
                    let status = send(front, route, key, &id, &record);
                    if version > 0 && steady_version.load(SeqCst) == version {
                        let mut counts = counts.lock().unwrap();
                        let count = counts.entry((version, route)).or_default();
                        count.0 += 1;
                        count.1 += u32::from(status == 200);
                        count.2 += u32::from(status == 0);
                    }
                    sleep(PAUSE_BETWEEN);
                }
            })
        })
        .collect();
    if has_trouble {
        record.note("the keeper of the zone loses power for good");
        tier.kill(0);
    }
    sleep(WARM_UP);
    let mut version = 2;
    let measure = |version| {
        sleep(CONFIG_APPLY);
        steady_version.store(version, SeqCst);
        sleep(STEADY);
        steady_version.store(0, SeqCst);
    };
    for _ in 0..ROUNDS {
        for count in [SMALL, LARGE] {
            version += 1;
            if has_trouble && !configure(version, Some(count)) {
                return Verdict::NotRun("a configuration was not acknowledged");
            }
            match count {
                SMALL => measure(version),
                _ => sleep(BETWEEN),
            }
        }
    }
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
        ("Host", "busca.example".to_owned()),
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
    let versions: Vec<u64> = counts.keys().map(|(version, _)| *version).collect();
    let mut versions = versions;
    versions.dedup();
    for version in versions {
        let of = |route| counts.get(&(version, route)).copied().unwrap_or_default();
        let (first, added) = (of(Route::First), of(Route::Added));
        let share = |count: (u32, u32, u32)| f64::from(count.1) / f64::from(count.0.max(1));
        let breaks = added.0 >= 20 && share(added) < share(first) / 4.0;
        is_broken |= breaks;
        record.say(&format!(
            "version={version} first: sent={} served={} closed={} added: sent={} served={} closed={} breaks={breaks}",
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
