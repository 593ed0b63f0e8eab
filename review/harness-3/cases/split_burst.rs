//! One of three zones is cut off from the others for some time. Then all servers of a service fail a part
//! of their requests, while the cut lasts. The budget of second attempts holds over all VMs.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use super::{document, route, send_request, wait_served};
use crate::{
    Verdict,
    links::Host,
    targets::FailurePlan,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 3] = [1, 2, 3];
/// Two entry VMs a zone.
const ENTRIES: [Host; 6] = [11, 12, 13, 14, 15, 16];
const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];

/// `retryBudget`, `budgetExtra` and `budgetWindowS` of the deployment, as in the settings of the VMs.
const SHARE: f64 = 0.2;
const BURST: f64 = 58.0;
const WINDOW: Duration = Duration::from_secs(10);

const CUT_BEFORE_FAILURES: Duration = Duration::from_secs(50);
const FAILING_FOR: Duration = Duration::from_secs(12);
/// Part of the requests that fail, in percent: the largest dose of `srv_grey` on the site is 0.6.
const FAILING_PERCENT: u64 = 60;
/// Time from one request to the next at each entry VM.
const REQUEST_PERIOD: Duration = Duration::from_millis(300);

pub fn play(record: Record, has_trouble: bool) -> Verdict {
    let settings = TierSettings {
        losses_max: 1,
        catch_up_s: 4,
        zones: ZONES.to_vec(),
    };
    let mut tier = Tier::new(settings, record);
    for (keeper, (zone, _)) in KEEPERS.into_iter().zip(ZONES) {
        tier.start_keeper(keeper, zone, &KEEPERS, true);
    }
    for (entry, (zone, _)) in ENTRIES.into_iter().zip(ZONES.into_iter().cycle()) {
        tier.start_entry(entry, zone, &KEEPERS);
    }
    let failures = FailurePlan::none();
    for (number, (zone, _)) in (31..37).zip(ZONES.into_iter().cycle()) {
        tier.start_failing_server(number, "counter", zone, &KEEPERS, Arc::clone(&failures));
    }
    let text = document(1, &[route("counter", "counter")], &["counter"], "");
    if !tier.submit(&KEEPERS, 1, &text)
        || !tier.wait_ready(&ENTRIES)
        || !wait_served(&tier, ENTRIES[0], "counter")
    {
        return Verdict::CouldNotRun("the tier did not start");
    }
    sleep(Duration::from_secs(3));
    if has_trouble {
        // Keeper 3 and the entry VMs 13 and 16 are in zone z3.
        for host in [1, 2, 11, 12, 14, 15] {
            tier.links.cut(3, host);
        }
        for entry in [13, 16] {
            for keeper in [1, 2] {
                tier.links.cut(entry, keeper);
            }
        }
        tier.record.line("cut: zone z3 from the zones z1 and z2");
    }
    sleep(CUT_BEFORE_FAILURES.saturating_sub(WINDOW));
    let (sent, stop) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(AtomicBool::new(false)),
    );
    let clients = ENTRIES.map(|entry| {
        let (callers, sent, stop) = (tier.callers(entry), Arc::clone(&sent), Arc::clone(&stop));
        let record = tier.record.clone();
        spawn(move || {
            let mut number = 0;
            while !stop.load(Relaxed) {
                number += 1;
                let id = format!("b-{entry}-{number}");
                let sent_at = Instant::now();
                sent.lock().unwrap().push(sent_at);
                let status = send_request(callers, "counter", &id);
                record.line(format!("request {id} to vm {entry}: {status}"));
                sleep(REQUEST_PERIOD.saturating_sub(sent_at.elapsed()));
            }
        })
    });
    sleep(WINDOW);
    failures.percent.store(FAILING_PERCENT, Relaxed);
    tier.record.line("servers begin to fail");
    sleep(FAILING_FOR);
    stop.store(true, Relaxed);
    for client in clients {
        let _ = client.join();
    }
    tier.links.heal();
    if !tier.all_run() {
        return Verdict::CouldNotRun("a process ended");
    }
    let sent = sent.lock().unwrap();
    judge(&tier, &sent)
}

/// Finds the window in which the arrivals beyond the first of each request pass the budget by most.
fn judge(tier: &Tier, sent: &[Instant]) -> Verdict {
    let runs = tier.runs.lock().unwrap();
    let mut arrivals: Vec<_> = runs.iter().filter(|run| run.id.starts_with("b-")).collect();
    arrivals.sort_unstable_by_key(|run| run.at);
    let mut seen: HashMap<&str, u32> = HashMap::new();
    let mut extra = Vec::new();
    for run in &arrivals {
        let count = seen.entry(run.id.as_str()).or_default();
        *count += 1;
        if *count > 1 {
            extra.push(run.at);
        }
    }
    let requests_in = |from: Instant| {
        let in_window = sent.iter().filter(|at| (from..from + WINDOW).contains(at));
        in_window.count()
    };
    let mut worst: Option<(f64, usize, f64)> = None;
    for (index, from) in extra.iter().enumerate() {
        let count = extra[index..]
            .iter()
            .take_while(|at| **at <= *from + WINDOW)
            .count();
        let requests =
            [Duration::ZERO, WINDOW / 2, WINDOW].map(|earlier| requests_in(*from - earlier));
        let allowed = SHARE * requests.into_iter().max().unwrap_or_default() as f64 + BURST;
        let beyond = count as f64 - allowed;
        if worst.is_none_or(|(known, _, _)| beyond > known) {
            worst = Some((beyond, count, allowed));
        }
    }
    let (beyond, count, allowed) = worst.unwrap_or((-BURST, 0, BURST));
    tier.record.line(format!(
        "requests: {}, arrivals beyond the first: {}; the worst window has {count}, allowed are {allowed:.1}",
        sent.len(),
        extra.len()
    ));
    if beyond > 0.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
