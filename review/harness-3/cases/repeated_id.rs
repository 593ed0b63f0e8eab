//! A server leaves, starts again under the id that it had, and leaves again before its second heartbeat.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use super::{document, route, send_request, wait_served};
use crate::{
    Verdict,
    links::Host,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 3] = [1, 2, 3];
const ENTRIES: [Host; 2] = [11, 12];
const ZONES: [(&str, &str); 3] = [("z1", "r1"), ("z2", "r2"), ("z3", "r3")];

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);
/// `drainMs` of the deployments with three zones, the longer one.
const DRAIN: Duration = Duration::from_millis(4_000);
/// Time that the server is away before it starts again.
const AWAY_FOR: Duration = Duration::from_secs(4);
/// Time from its first heartbeat to its departure, less than the period of heartbeats.
const STAYS_FOR: Duration = Duration::from_millis(900);
const WATCHED_FOR: Duration = Duration::from_secs(10);
const REQUEST_PERIOD: Duration = Duration::from_millis(40);

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
    // The service has no other server, so that all requests for it go to this one.
    let first = tier.start_silent_server(31, "i-31", "counter", "z1");
    if !tier.submit(
        &KEEPERS,
        1,
        &document(1, &[route("counter", "counter")], &["counter"], ""),
    ) {
        return Verdict::CouldNotRun("the configuration was not acknowledged");
    }
    let near = tier.control(KEEPERS[0]);
    for sequence in 1..=6 {
        if first
            .send_heartbeat(near, &first.heartbeat(sequence))
            .is_none()
        {
            return Verdict::CouldNotRun("a heartbeat was not acknowledged");
        }
        sleep(HEARTBEAT_PERIOD);
    }
    if !ENTRIES
        .iter()
        .all(|entry| wait_served(&tier, *entry, "counter"))
    {
        return Verdict::CouldNotRun("the tier does not serve");
    }
    let has_left = first.send_departure(near);
    tier.record.line(format!(
        "server i-31 left at keeper {}, acknowledged: {has_left}",
        KEEPERS[0]
    ));
    sleep(DRAIN + AWAY_FOR);
    let id = if has_trouble { "i-31" } else { "i-32" };
    let again = tier.start_silent_server(32, id, "counter", "z1");
    // It knows nothing of before, and picks another keeper first.
    let named = again.send_heartbeat(tier.control(KEEPERS[1]), &again.heartbeat(1));
    tier.record.line(format!(
        "first heartbeat of {id} to keeper {}, told to go on at {named:?}",
        KEEPERS[1]
    ));
    let Some(Some(named)) = named else {
        return Verdict::CouldNotRun("the first heartbeat was not acknowledged");
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = ENTRIES.map(|entry| {
        let (callers, stop, record) = (tier.callers(entry), Arc::clone(&stop), tier.record.clone());
        spawn(move || {
            let mut number = 0;
            while !stop.load(Relaxed) {
                number += 1;
                let request = format!("again-{entry}-{number}");
                let status = send_request(callers, "counter", &request);
                record.line(format!("request {request} to vm {entry}: {status}"));
                sleep(REQUEST_PERIOD);
            }
        })
    });
    sleep(STAYS_FOR);
    let has_left = again.send_departure(named);
    let left_at = Instant::now();
    tier.record.line(format!(
        "server {id} left at {named}, acknowledged: {has_left}"
    ));
    sleep(WATCHED_FOR);
    stop.store(true, Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = tier.runs.lock().unwrap();
    let at_server = runs.iter().filter(|run| run.address == again.address());
    let delays: Vec<Duration> = at_server
        .map(|run| run.at.saturating_duration_since(left_at))
        .collect();
    drop(runs);
    let late = delays.iter().filter(|delay| **delay > DRAIN).count();
    let last = delays.iter().max().copied().unwrap_or_default();
    tier.record.line(format!(
        "requests that reached the server: {}, later than {} ms after its acknowledged departure: {late}, the last one after {} ms",
        delays.len(),
        DRAIN.as_millis(),
        last.as_millis()
    ));
    if !has_left || delays.is_empty() || !tier.all_run() {
        return Verdict::CouldNotRun(
            "the server was not used, or its departure was not acknowledged",
        );
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
