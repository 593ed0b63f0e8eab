//! A keeper is cut off from the other keepers, which put another one in its place, while entry VMs
//! reach all of them. The quota of a tenant holds over all VMs.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use super::{document, route, wait_served};
use crate::{
    Verdict,
    http::Client,
    links::Host,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 6] = [1, 2, 3, 4, 5, 6];
const SEEDS: [Host; 3] = [1, 2, 3];
/// A seed, and so one of the first voters.
const CUT_KEEPER: Host = 3;
const ENTRIES: [Host; 3] = [11, 12, 13];
const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];

const RATE_PER_S: f64 = 300.0;
const BURST: f64 = 60.0;
/// `quotaWindowS`, `quotaExcess` and `quotaSlack` of the deployment with tenants.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

const CUT_FOR: Duration = Duration::from_secs(15);
/// Clients of each entry VM, and the time from one of their requests to the next.
const CLIENTS: usize = 8;
const PERIOD: Duration = Duration::from_millis(25);

/// When each request was sent, by its id.
type SentLog = Arc<Mutex<Vec<(String, Instant, u16)>>>;

pub fn play(record: Record, has_trouble: bool) -> Verdict {
    let settings = TierSettings { losses_max: 2, catch_up_s: 6, zones: ZONES.to_vec() };
    let mut tier = Tier::new(settings, record);
    for (index, keeper) in KEEPERS.into_iter().enumerate() {
        tier.start_keeper(keeper, ZONES[index % 3].0, &SEEDS, true);
    }
    for (entry, (zone, _)) in ENTRIES.into_iter().zip(ZONES) {
        tier.start_entry(entry, zone, &SEEDS);
    }
    for (number, (zone, _)) in (31..37).zip(ZONES.into_iter().cycle()) {
        tier.start_server(number, "counter", zone, &KEEPERS);
    }
    let tenants = format!(
        "\"tenants\":[{{\"name\":\"club\",\"apiKeys\":[\"key-club\"],\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}},\
         {{\"name\":\"probe\",\"apiKeys\":[\"key-probe\"]}}],"
    );
    // The second route needs no key; it shows that the tier serves.
    let open = route("open", "counter").replace("\"priority\"", "\"anonymous\":true,\"priority\"");
    let text = document(1, &[route("counter", "counter"), open], &["counter"], &tenants);
    if !tier.submit(&KEEPERS, 1, &text) || !tier.wait_ready(&ENTRIES) || !wait_served(&tier, ENTRIES[0], "open") {
        return Verdict::CouldNotRun("the tier did not start");
    }
    // Keepers join as voters.
    sleep(Duration::from_secs(12));
    let (sent, stop) = (SentLog::default(), Arc::new(AtomicBool::new(false)));
    let numbers = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for entry in ENTRIES {
        for _ in 0..CLIENTS {
            let (callers, sent, stop) = (tier.callers(entry), Arc::clone(&sent), Arc::clone(&stop));
            let numbers = Arc::clone(&numbers);
            clients.push(spawn(move || send_load(callers, &sent, &stop, &numbers)));
        }
    }
    sleep(Duration::from_secs(10));
    if has_trouble {
        for keeper in KEEPERS {
            if keeper != CUT_KEEPER {
                tier.links.cut(CUT_KEEPER, keeper);
            }
        }
        tier.record.line(format!("cut: keeper {CUT_KEEPER} from the other keepers"));
    }
    sleep(CUT_FOR);
    tier.links.heal();
    tier.record.line("healed");
    sleep(Duration::from_secs(3));
    stop.store(true, Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !tier.all_run() {
        return Verdict::CouldNotRun("a process ended");
    }
    judge(&tier, &sent)
}

fn send_load(callers: SocketAddr, sent: &SentLog, stop: &AtomicBool, numbers: &AtomicU64) {
    let mut client = None;
    let mut due = Instant::now();
    while !stop.load(Relaxed) {
        sleep(due.saturating_duration_since(Instant::now()));
        due = Instant::now().max(due) + PERIOD;
        let id = format!("q{}", numbers.fetch_add(1, Relaxed));
        let headers = [
            ("Host", "counter.example"),
            ("X-Fulmarweir-Request-Id", id.as_str()),
            ("X-Fulmarweir-Deadline-Ms", "2000"),
            ("Authorization", "Bearer key-club"),
        ];
        if client.is_none() {
            client = Client::connect(callers, Duration::from_millis(2_500)).ok();
        }
        let Some(connection) = client.as_mut() else {
            continue;
        };
        let sent_at = Instant::now();
        let answer = connection.call("GET", &format!("/counter/{id}"), &headers, b"");
        if answer.is_err() {
            client = None;
        }
        let status = answer.map_or(0, |answer| answer.status);
        sent.lock().unwrap().push((id, sent_at, status));
    }
}

/// Finds the window with the most requests that were both sent and run in it.
fn judge(tier: &Tier, sent: &SentLog) -> Verdict {
    let sent = sent.lock().unwrap();
    let runs = tier.runs.lock().unwrap();
    let ran_at: std::collections::HashMap<&str, Instant> =
        runs.iter().filter(|run| run.tenant == "club").rev().map(|run| (run.id.as_str(), run.at)).collect();
    let Some(began) = sent.iter().map(|(_, at, _)| *at).min() else {
        return Verdict::CouldNotRun("nothing was sent");
    };
    let mut spans: Vec<(Instant, Instant)> = sent
        .iter()
        .filter_map(|(id, sent_at, _)| Some((*sent_at, *ran_at.get(id.as_str())?)))
        .collect();
    spans.sort_unstable();
    for second in 0..60 {
        let (from, to) = (began + Duration::from_secs(second), began + Duration::from_secs(second + 1));
        let asked = sent.iter().filter(|(_, at, _)| (from..to).contains(at)).count();
        let ran = spans.iter().filter(|(_, at)| (from..to).contains(at)).count();
        if asked > 0 {
            tier.record.line(format!("second {second} of the load: {asked} sent, {ran} run"));
        }
    }
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    let (mut most, mut most_at) = (0, Duration::ZERO);
    for (index, (from, _)) in spans.iter().enumerate() {
        let to = *from + WINDOW;
        let within = spans[index..].iter().take_while(|(sent_at, _)| *sent_at <= to);
        let count = within.filter(|(_, ran)| *ran <= to).count();
        if count > most {
            (most, most_at) = (count, from.duration_since(began));
        }
    }
    tier.record.line(format!(
        "most requests of the tenant in {} s: {most}, from {:.1} s of the load on; allowed: {limit:.0}",
        WINDOW.as_secs(),
        most_at.as_secs_f64()
    ));
    if most as f64 > limit { Verdict::Broken } else { Verdict::Held }
}
