//! Requests that must not repeat, at searchers that are full now and then, some of which send a few of
//! their answers a second time, late.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
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
    tier::{MASAMADRE, MASAMADRE_ZONES, Network, Tier},
};

const SERVICE: &str = "cobro-cuotas";
const SEARCHERS: u8 = 3;
/// Of the sheet of `masamadre-comun`: 5 searchers with 6 slots; up to 0.6 of them send up to 0.03 of their
/// answers a second time, for up to 5 s at a time.
const SLOTS: u32 = 3;
const QUEUE: u32 = 2;
const WORK: Duration = Duration::from_millis(40);
const FAULTY: usize = 1;
const COPY_EACH: u64 = 34;
const FAULT: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(2_000);
const ROUNDS: u32 = 8;
/// The zones of the entry machines, as in the sheet.
const ENTRY_ZONES: [usize; 9] = [0, 0, 1, 1, 1, 2, 2, 2, 2];
/// Clients that send one request after the other.
const CLIENTS: usize = 27;
const PAUSE_BETWEEN: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_millis(12_000);

pub fn run(program: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let tier = Tier::start(
        program,
        MASAMADRE,
        &MASAMADRE_ZONES,
        &ENTRY_ZONES,
        Network::Direct,
    );
    let searchers: Vec<Arc<Searcher>> = (0..SEARCHERS)
        .map(|number| {
            let plan = Plan {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: MASAMADRE_ZONES[usize::from(number) % MASAMADRE_ZONES.len()]
                    .0
                    .to_owned(),
                address: tier.address(100 + number, 8080),
                slots: SLOTS,
                queue: QUEUE,
                work: WORK,
                heartbeat: Duration::from_millis(MASAMADRE.heartbeat_ms),
                is_shard: false,
                retry_after: (usize::from(number) >= FAULTY).then_some("1"),
            };
            Searcher::start(plan, tier.controls(), record)
        })
        .collect();
    let document = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-cobro\",\"host\":\"cobro.example\",\"pathPrefix\":\"/cuota/\",\
         \"type\":\"non_idempotent\",\"timeoutMs\":12000,\"sloMs\":800,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":31,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{}}}",
        operator::LIMITS
    );
    if !operator::configure(&tier.controls(), &document, Duration::from_secs(15)) {
        return Verdict::NotRun("the configuration was not acknowledged");
    }
    if !tier.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the entry machines did not become ready");
    }
    sleep(Duration::from_secs(6));
    record.note("traffic starts");
    let stopped = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let fronts = tier.fronts();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (stopped, next_id, record) = (
                Arc::clone(&stopped),
                Arc::clone(&next_id),
                Arc::clone(record),
            );
            spawn(move || {
                while !stopped.load(SeqCst) {
                    let id = format!("{:016x}", next_id.fetch_add(1, SeqCst));
                    send(front, &id, &record);
                    sleep(PAUSE_BETWEEN);
                }
            })
        })
        .collect();
    for _ in 0..ROUNDS {
        sleep(PAUSE);
        set_copies(&searchers, if has_trouble { COPY_EACH } else { 0 }, record);
        sleep(FAULT);
        set_copies(&searchers, 0, record);
    }
    sleep(PAUSE);
    stopped.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // What was sent on may still run.
    sleep(Duration::from_secs(2));
    judge(record, &searchers)
}

fn set_copies(searchers: &[Arc<Searcher>], copy_each: u64, record: &Record) {
    record.note(&format!(
        "late copies of one answer in {copy_each} (0: none)"
    ));
    for searcher in &searchers[..FAULTY] {
        searcher.copy_each.store(copy_each, SeqCst);
    }
}

fn send(front: SocketAddr, id: &str, record: &Record) {
    record.sent(id, &format!("front={front}"));
    let headers = [
        ("Host", "cobro.example".to_owned()),
        ("X-Fulmarweir-Request-Id", id.to_owned()),
        ("X-Fulmarweir-Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    let request = http::encode("POST /cuota/1 HTTP/1.1", &headers, b"charge");
    let answer = Connection::open(front, Duration::from_secs(1)).and_then(|mut connection| {
        connection.stream.set_read_timeout(Some(DEADLINE))?;
        connection.write(&request)?;
        connection.read()
    });
    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
    record.answered(id, status);
}

/// TWICE: a request that isn't idempotent runs more than once. REFUSED: one is answered 429 or 503 (or
/// 408, 421) and has run, or runs later.
fn judge(record: &Record, searchers: &[Arc<Searcher>]) -> Verdict {
    let attempts = record.attempts();
    let mut statuses = std::collections::BTreeMap::new();
    let (mut twice, mut refused) = (0, 0);
    for (id, attempt) in &attempts {
        *statuses.entry(attempt.answer.unwrap_or(0)).or_insert(0) += 1;
        let has_promise = matches!(attempt.answer, Some(408 | 421 | 429 | 503));
        if attempt.runs.len() > 1 {
            twice += 1;
            record.say(&format!(
                "TWICE id={id} answer={:?} runs={:?}",
                attempt.answer, attempt.runs
            ));
        }
        if has_promise && !attempt.runs.is_empty() {
            refused += 1;
            record.say(&format!(
                "REFUSED id={id} answer={:?} runs={:?}",
                attempt.answer, attempt.runs
            ));
        }
    }
    let copies: u64 = searchers.iter().map(|s| s.copies.load(SeqCst)).sum();
    let met_own: u64 = searchers
        .iter()
        .map(|s| s.copies_met_own.load(SeqCst))
        .sum();
    record.say(&format!(
        "requests={} answers={statuses:?} late-copies={copies} of-the-same-request={met_own} twice={twice} refused-but-run={refused}",
        attempts.len()
    ));
    if attempts.len() < 100 {
        return Verdict::NotRun("too few requests");
    }
    if twice + refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
