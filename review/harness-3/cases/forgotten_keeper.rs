//! Two zones lose each other for some time, while all others reach both.
//!
//! Six keepers, one a zone, of which the seeds name three. The two zones that lose each other have none
//! of these.

use std::{thread::sleep, time::Duration};

use super::{document, route, send_requests, wait_served};
use crate::{
    Verdict,
    links::Host,
    tier::{Record, Tier, TierSettings},
};

const KEEPERS: [Host; 6] = [1, 2, 3, 4, 5, 6];
const SEEDS: [Host; 3] = [1, 2, 3];
/// Entry VM in the zone of keeper 4.
const ENTRY: Host = 14;
const ZONES: [(&str, &str); 6] = [
    ("z1", "r1"),
    ("z2", "r2"),
    ("z3", "r3"),
    ("z4", "r1"),
    ("z5", "r2"),
    ("z6", "r3"),
];

const CUT_FOR: Duration = Duration::from_secs(36);
/// `stableWindowMs` and `configApplyMs` of the deployments with six keepers, the longer ones.
const STABLE_WINDOW: Duration = Duration::from_millis(6_000);
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);
const REQUESTS: usize = 40;

pub fn play(record: Record, has_trouble: bool) -> Verdict {
    let settings = TierSettings {
        losses_max: 2,
        catch_up_s: 6,
        zones: ZONES.to_vec(),
    };
    let mut tier = Tier::new(settings, record);
    for (keeper, (zone, _)) in KEEPERS.into_iter().zip(ZONES) {
        tier.start_keeper(keeper, zone, &SEEDS, true);
    }
    tier.start_entry(ENTRY, "z4", &SEEDS);
    // The first route has servers in three zones, the later one in zone z6 only.
    for (number, zone) in [(31, "z1"), (32, "z2"), (33, "z4")] {
        tier.start_server(number, "counter", zone, &KEEPERS);
    }
    for number in [41, 42] {
        tier.start_server(number, "ledger", "z6", &KEEPERS);
    }
    let services = ["counter", "ledger"];
    let first = document(1, &[route("counter", "counter")], &services, "");
    if !tier.submit(&KEEPERS, 1, &first)
        || !tier.wait_ready(&[ENTRY])
        || !wait_served(&tier, ENTRY, "counter")
    {
        return Verdict::CouldNotRun("the tier did not start");
    }
    // Keepers join as voters, and servers report to the keeper of their zone.
    sleep(Duration::from_secs(10));
    if has_trouble {
        for host in [4, ENTRY] {
            tier.links.cut(host, 6);
        }
        tier.record
            .line("cut: keeper 4 and entry 14 (z4) from keeper 6 (z6)");
    }
    sleep(CUT_FOR);
    tier.links.heal();
    tier.record.line("healed");
    sleep(STABLE_WINDOW);
    let routes = [route("counter", "counter"), route("ledger", "ledger")];
    let second = document(2, &routes, &services, "");
    if !tier.submit(&KEEPERS, 2, &second) {
        return Verdict::CouldNotRun("version 2 was not acknowledged");
    }
    sleep(CONFIG_APPLY + Duration::from_secs(1));
    let on_first = send_requests(&tier, ENTRY, "counter", "after", REQUESTS);
    let on_later = send_requests(&tier, ENTRY, "ledger", "after", REQUESTS);
    tier.record.line(format!(
        "served of {REQUESTS} on the first route: {on_first}, on the later one: {on_later}"
    ));
    if !tier.all_run() || on_first < REQUESTS / 2 {
        return Verdict::CouldNotRun("the first route is not served, or a process ended");
    }
    // Less than a quarter as often as on the first route.
    if on_later * 4 < on_first {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
