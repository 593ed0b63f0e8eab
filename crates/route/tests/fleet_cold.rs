//! Tests of the rate of cold targets over all VMs of a deployment, as the targets count requests.

mod relay_fleet;

use std::time::Duration;

use fulmarweir_route::RelayAttemptOutcome;
use relay_fleet::{Fleet, ModelRequest, Reaction, extra_limits};

const ANSWER: Reaction = (RelayAttemptOutcome::Answered { load: None }, 15);
const RATE: f64 = 20.0;
/// Most requests that a target may get in any second, and how many are used at least.
const ALLOWED: f64 = RATE * 1.5 + 5.0;
const USED_MIN: f64 = RATE * 0.8;
const TARGETS: [&str; 3] = ["s0-0", "s0-1", "s0-2"];
const LONG: Duration = Duration::from_mins(1);

fn fleet(vms: usize) -> Fleet {
    let centres: Vec<&str> = ["a", "b"].into_iter().cycle().take(vms).collect();
    Fleet::new(&centres, 3, extra_limits(), |_, _| ANSWER).with_cold_rate(5, RATE)
}

/// Sends requests to the first shard to all VMs in turn.
fn send(fleet: &mut Fleet, from_ms: u64, until_ms: u64, per_second: u64) {
    let vms = fleet.vm_count();
    for number in 0..(until_ms - from_ms) * per_second / 1_000 {
        let at_ms = from_ms + number * 1_000 / per_second;
        fleet.run_until(at_ms);
        let vm = usize::try_from(number).unwrap() * 7 % vms;
        let request = ModelRequest::lookup(&format!("/find/{at_ms}/{number}"));
        fleet.request(vm, None, &request);
    }
    fleet.run_until(until_ms);
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn assert_rate_kept(fleet: &Fleet, from_ms: u64, until_ms: u64) {
    for target in TARGETS {
        let times = fleet.arrival_times(target, from_ms, until_ms);
        for (first, start) in times.iter().enumerate() {
            let count = times[first..].partition_point(|at_ms| at_ms < &(start + 1_000));
            assert!(
                count as f64 <= ALLOWED,
                "{count} at {target} from {start} ms"
            );
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn assert_rate_used(fleet: &Fleet, from_ms: u64, until_ms: u64) {
    for target in TARGETS {
        let used = fleet.arrival_times(target, from_ms, until_ms).len() as f64;
        let span_s = (until_ms - from_ms) as f64 / 1_000.0;
        assert!(
            used >= USED_MIN * span_s,
            "{used} in {span_s} s at {target}"
        );
    }
}

/// Load pattern: all targets of a shard turn cold at once, and callers want five times as much.
/// Guards against VMs that each send what a cold target tolerates from all.
#[test]
fn all_vms_together_keep_to_the_rate_of_cold_targets_and_use_it() {
    for vms in [9, 75, 300] {
        let mut fleet = fleet(vms);
        send(&mut fleet, 0, 2_000, 300);
        for target in TARGETS {
            fleet.tell_cold(target, 1, LONG);
        }
        send(&mut fleet, 2_000, 10_000, 300);
        assert_rate_kept(&fleet, 2_100, 10_000);
        assert_rate_used(&fleet, 3_000, 10_000);
    }
}

/// Load pattern: the targets of a shard are down and return at once, cold, before any keeper tells.
/// Guards against the burst of all VMs that find them within the same moment.
#[test]
fn targets_that_return_at_once_are_not_flooded() {
    for vms in [9, 75, 300] {
        let mut fleet = fleet(vms);
        fleet.links.down.push((0, 2_000, 6_000));
        send(&mut fleet, 0, 7_200, 300);
        for target in TARGETS {
            fleet.tell_cold(target, 1, LONG);
        }
        send(&mut fleet, 7_200, 14_000, 300);
        assert_rate_kept(&fleet, 6_000, 14_000);
        assert_rate_used(&fleet, 8_500, 14_000);
    }
}

/// Load pattern: a third of the VMs reach no keeper while all targets of a shard are cold.
/// Guards against VMs that nobody tells the rate.
#[test]
fn vms_out_of_touch_keep_to_their_share() {
    for vms in [9, 75, 300] {
        let mut fleet = fleet(vms);
        send(&mut fleet, 0, 1_000, 300);
        fleet.cut_off_keepers(vms / 3);
        for target in TARGETS {
            fleet.tell_cold(target, 1, LONG);
        }
        send(&mut fleet, 1_000, 9_000, 300);
        assert_rate_kept(&fleet, 1_100, 9_000);
        assert_rate_used(&fleet, 2_000, 9_000);
    }
}
