//! Two of three servers fail part of their requests, which may not run twice, after they have run them.
//! Their answers do not say that the request has not run.

use std::{collections::HashSet, thread::sleep, time::Duration};

use super::{document, route};
use crate::{
    Verdict,
    http::call_once,
    links::Host,
    targets::FailurePlan,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 3] = [1, 2, 3];
const ENTRIES: [Host; 2] = [11, 12];
const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];

const REQUESTS: usize = 120;
/// Part of the requests of the failing servers that fail, in percent: below the dose of `srv_grey`, 0.4.
const FAILING_PERCENT: u64 = 33;

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
    for (entry, (zone, _)) in ENTRIES.into_iter().zip(ZONES) {
        tier.start_entry(entry, zone, &KEEPERS);
    }
    for (number, (zone, _)) in (31..).zip(ZONES) {
        let percent = if has_trouble && number < 33 {
            FAILING_PERCENT
        } else {
            0
        };
        let failures = FailurePlan::new(percent, "503 Service Unavailable");
        tier.start_failing_server(number, "orders", zone, &KEEPERS, failures);
    }
    let orders = route("orders", "orders").replace("\"idempotent\"", "\"non_idempotent\"");
    if !tier.submit(&KEEPERS, 1, &document(1, &[orders], &["orders"], ""))
        || !tier.wait_ready(&ENTRIES)
    {
        return Verdict::CouldNotRun("the tier did not start");
    }
    sleep(Duration::from_secs(2));
    let (mut served, mut promised, mut sent_again) = (0, HashSet::new(), HashSet::new());
    for number in 0..REQUESTS {
        let entry = ENTRIES[number % ENTRIES.len()];
        let id = format!("order-{number}");
        let status = send_order(&tier, entry, &id);
        served += usize::from(status == 200);
        if matches!(status, 408 | 421 | 429 | 503) {
            // The promise allows the client to send the order once more.
            let again = format!("{id}-again");
            send_order(&tier, entry, &again);
            sent_again.insert((id.clone(), again));
            promised.insert(id);
        }
        sleep(Duration::from_millis(40));
    }
    let ran: HashSet<String> = tier
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.id.clone())
        .collect();
    let broken: Vec<_> = promised.intersection(&ran).collect();
    for id in &broken {
        tier.record.line(format!(
            "request {id} has run, and its answer promises that it has not"
        ));
    }
    let doubled = sent_again
        .iter()
        .filter(|(id, again)| ran.contains(id) && ran.contains(again));
    tier.record.line(format!(
        "orders that ran twice, as the client was told to send them again: {}",
        doubled.count()
    ));
    tier.record.line(format!(
        "served: {served} of {REQUESTS}; answers that promise not run: {}, of these run: {}",
        promised.len(),
        broken.len()
    ));
    if !tier.all_run() || served == 0 {
        return Verdict::CouldNotRun("nothing was served, or a process ended");
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Sends an order and returns the status, 0 without an answer.
fn send_order(tier: &Tier, entry: Host, id: &str) -> u16 {
    let headers = [
        ("Host", "orders.example"),
        ("X-Fulmarweir-Request-Id", id),
        ("X-Fulmarweir-Deadline-Ms", "2000"),
    ];
    let callers = tier.callers(entry);
    let timeout = Duration::from_millis(2_500);
    let answer = call_once(
        callers,
        "POST",
        "/orders/new",
        &headers,
        b"one jar",
        timeout,
    );
    let (status, stamp) = answer.map_or((0, String::new()), |answer| {
        let stamp = answer.header("x-fulmarweir-server-stamp");
        (answer.status, stamp.unwrap_or("none").to_owned())
    });
    tier.record
        .line(format!("request {id}: {status}, stamp {stamp}"));
    status
}
