//! Tests of which keepers one VM asks for permits, and what it tells its requests.

use std::{net::SocketAddr, time::Duration};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{
    RateCall, RateGrant, RateKey, RateLedger, RateLimit, RateState, RequestRank, WaitTimes,
};

const LIMIT: RateLimit = RateLimit {
    version: 1,
    per_second: 5.0,
    burst: 5.0,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

/// Returns five keepers, the nearest first.
fn keepers() -> Vec<SocketAddr> {
    (1..=5).map(|host| ([10, 0, 0, host], 1).into()).collect()
}

fn key() -> RateKey {
    RateKey::Tenant("club".into())
}

/// Lets a request wait for up to 60 ms.
fn wait(ledger: &mut RateLedger, ticket: u64, ms: u64) {
    wait_until(ledger, ticket, ms, ms + 60);
}

fn wait_until(ledger: &mut RateLedger, ticket: u64, ms: u64, until_ms: u64) {
    let deadline = at(until_ms);
    let rank = RequestRank {
        priority: 0,
        deadline,
        ticket,
    };
    let times = WaitTimes {
        retry_at: deadline,
        usable_until: deadline,
    };
    ledger.set_limit(&key(), LIMIT, at(ms));
    ledger.wait(&key(), rank, times, at(ms));
}

/// Applies the same reply to all calls.
fn reply(ledger: &mut RateLedger, calls: &[RateCall], granted: u32, ms: u64) {
    for call in calls {
        let grant = RateGrant {
            granted,
            ask_again_after: Duration::from_millis(500),
        };
        let grants = vec![grant; call.asks.len()];
        ledger.apply_grants(call, &grants, at(ms));
    }
}

fn hosts(calls: &[RateCall]) -> Vec<SocketAddr> {
    calls.iter().map(|call| call.keeper).collect()
}

/// Guards against more than one call in the normal case.
#[test]
fn one_permit_costs_one_call_to_the_nearest_keeper() {
    let mut ledger = RateLedger::default();
    ledger.due_calls(&keepers(), at(0));
    wait(&mut ledger, 1, 10);
    let calls = ledger.due_calls(&keepers(), at(10));
    assert_eq!(hosts(&calls), [keepers()[0]]);
    assert_eq!((calls[0].asks.len(), calls[0].asks[0].wanted), (1, 1));
    assert!(
        ledger.due_calls(&keepers(), at(11)).is_empty(),
        "it is being asked"
    );
    reply(&mut ledger, &calls, 1, 12);
    assert!(ledger.try_take(&key(), at(12)).is_some());
    assert!(ledger.try_take(&key(), at(12)).is_none());
}

/// Guards against a quota of which only the nearest keeper's part is used, and against refusals
/// before all keepers have refused.
#[test]
fn other_keepers_are_asked_before_a_request_is_denied() {
    let mut ledger = RateLedger::default();
    ledger.due_calls(&keepers(), at(0));
    wait(&mut ledger, 1, 10);
    let mut asked = Vec::new();
    for ms in [10, 12, 22, 32, 42] {
        let calls = ledger.due_calls(&keepers(), at(ms));
        asked.extend(hosts(&calls));
        assert_eq!(ledger.state(&key(), at(ms)), RateState::Pending, "at {ms}");
        reply(&mut ledger, &calls, 0, ms + 2);
        if asked.len() == 5 {
            break;
        }
    }
    asked.sort_unstable();
    assert_eq!(asked, keepers());
    let until = ledger.denied_until(&key(), at(50)).unwrap();
    assert!((at(512)..=at(514)).contains(&until), "{until:?}");
    assert!(ledger.due_calls(&keepers(), at(50)).is_empty());
    assert_eq!(ledger.state(&key(), until), RateState::Pending);
}

/// Guards against permits that nobody uses until they expire.
#[test]
fn permits_that_are_not_needed_are_given_back_once() {
    let mut ledger = RateLedger::default();
    ledger.due_calls(&keepers(), at(0));
    wait(&mut ledger, 1, 10);
    let calls = ledger.due_calls(&keepers(), at(10));
    ledger.stop_waiting(&key(), 1);
    reply(&mut ledger, &calls, 1, 12);
    let returns = ledger.due_calls(&keepers(), at(150));
    assert_eq!(hosts(&returns), [keepers()[0]]);
    assert_eq!(
        (returns[0].asks[0].wanted, returns[0].asks[0].returned),
        (0, 1)
    );
    reply(&mut ledger, &returns, 0, 152);
    assert!(ledger.try_take(&key(), at(152)).is_none());
    assert_eq!(
        ledger.denied_until(&key(), at(152)),
        None,
        "nothing was refused"
    );
    assert!(ledger.due_calls(&keepers(), at(300)).is_empty());
}

/// Guards against requests that wait for a keeper that is gone, or that are unlimited without one.
#[test]
fn without_keepers_a_vm_uses_a_small_random_share() {
    let mut ledger = RateLedger::default();
    ledger.due_calls(&keepers()[..1], at(0));
    wait(&mut ledger, 1, 10);
    let calls = ledger.due_calls(&keepers()[..1], at(10));
    assert!(!ledger.is_alone());
    ledger.record_failed_call(&calls[0], at(410));
    assert_eq!(ledger.state(&key(), at(410)), RateState::Unreachable);
    ledger.grant_alone(82, Duration::from_millis(100), || 0.5, at(410));
    assert!(ledger.try_take(&key(), at(410)).is_none());
    ledger.grant_alone(82, Duration::from_millis(100), || 0.0, at(420));
    assert!(ledger.try_take(&key(), at(420)).is_some());
    wait(&mut ledger, 2, 1_400);
    assert!(
        ledger.due_calls(&keepers()[..1], at(1_400)).is_empty(),
        "too early"
    );
    wait(&mut ledger, 3, 1_420);
    let calls = ledger.due_calls(&keepers()[..1], at(1_420));
    reply(&mut ledger, &calls, 1, 1_422);
    assert!(!ledger.is_alone());
}

/// Guards against permits of a higher rate that outlive it.
#[test]
fn a_lower_rate_drops_permits_in_part() {
    let mut ledger = RateLedger::default();
    ledger.due_calls(&keepers(), at(0));
    for ticket in 1..=10 {
        wait(&mut ledger, ticket, 10);
    }
    let calls = ledger.due_calls(&keepers(), at(10));
    reply(&mut ledger, &calls, 10, 12);
    let lower = RateLimit {
        version: 2,
        per_second: 2.0,
        burst: 2.0,
    };
    ledger.set_limit(&key(), lower, at(13));
    ledger.set_limit(&key(), LIMIT, at(14));
    let taken = (0..10).filter(|_| ledger.try_take(&key(), at(15)).is_some());
    assert_eq!(taken.count(), 4);
}

/// Time in which keepers reply to the calls of these tests, in milliseconds.
const REPLY_MS: u64 = 8;
const REPLY_TIME: Duration = Duration::from_millis(REPLY_MS);

/// Asks the keepers in `frozen`, whose replies take 350 ms, as after they stood still.
fn freeze(ledger: &mut RateLedger, keepers: &[SocketAddr], frozen: &[SocketAddr]) {
    ledger.due_calls(keepers, at(0));
    wait_until(ledger, 1, 10, 400);
    let mut late = Vec::new();
    for ms in [10, 25, 40] {
        let mut calls = ledger.due_calls(keepers, at(ms));
        late.extend(calls.extract_if(.., |call| frozen.contains(&call.keeper)));
        reply(ledger, &calls, 0, ms + 2);
    }
    assert_eq!(late.len(), frozen.len());
    ledger.stop_waiting(&key(), 1);
    reply(ledger, &late, 0, 360);
}

/// Lets one request wait from `ms` on, and returns after how many milliseconds it has a permit. Keepers
/// reply to all calls after `REPLY_MS`, and grant what is asked for, except for those in `denying`.
fn served_after(
    ledger: &mut RateLedger,
    keepers: &[SocketAddr],
    denying: &[SocketAddr],
    ms: u64,
) -> u64 {
    let ticket = ms;
    wait(ledger, ticket, ms);
    let mut calls = Vec::new();
    for now in ms..ms + 60 {
        calls.extend(ledger.due_calls(keepers, at(now)));
        let is_due = |call: &mut RateCall| call.asked_at + REPLY_TIME <= at(now);
        for call in calls.extract_if(.., is_due) {
            let denies = denying.contains(&call.keeper);
            let grant = |wanted| RateGrant {
                granted: if denies { 0 } else { wanted },
                ask_again_after: Duration::from_millis(200),
            };
            let grants = call.asks.iter().map(|ask| grant(ask.wanted));
            let grants: Vec<RateGrant> = grants.collect();
            ledger.apply_grants(&call, &grants, at(now));
        }
        if ledger.try_take(&key(), at(now)).is_some() {
            ledger.stop_waiting(&key(), ticket);
            return now - ms;
        }
    }
    panic!("no permit from {ms} to {} ms", ms + 60);
}

/// Guards against requests that are refused for good after a keeper stood still: its replies were expected
/// too late, so no keeper was asked, and no reply could correct that.
#[test]
fn permits_are_asked_for_after_the_nearest_keeper_stood_still() {
    let mut ledger = RateLedger::default();
    let keepers = &keepers()[..3];
    freeze(&mut ledger, keepers, &keepers[..1]);
    for number in 0..10 {
        let after = served_after(&mut ledger, keepers, &[], 1_000 + 300 * number);
        assert_eq!(after, REPLY_MS, "request {number}");
    }
    // The nearest keeper is the first one again, and no other is asked.
    wait(&mut ledger, 20, 10_000);
    let calls = ledger.due_calls(keepers, at(10_000));
    assert_eq!(hosts(&calls), keepers[..1]);
}

/// The same for all keepers, and for the only one.
#[test]
fn permits_are_asked_for_after_all_keepers_stood_still() {
    for count in [1, 3] {
        let mut ledger = RateLedger::default();
        let keepers = &keepers()[..count];
        freeze(&mut ledger, keepers, keepers);
        for number in 0..10 {
            let after = served_after(&mut ledger, keepers, &[], 1_000 + 300 * number);
            assert_eq!(after, REPLY_MS, "request {number} of {count} keepers");
        }
    }
}

/// Guards against requests that are refused while the nearest keeper has no permits left, since others
/// stood still before.
#[test]
fn other_keepers_are_asked_after_they_stood_still() {
    let mut ledger = RateLedger::default();
    let keepers = &keepers()[..3];
    freeze(&mut ledger, keepers, &keepers[1..]);
    for number in 0..10 {
        let ms = 1_000 + 300 * number;
        let after = served_after(&mut ledger, keepers, &keepers[..1], ms);
        assert!(after <= 3 * REPLY_MS, "request {number}: {after} ms");
    }
}

/// Guards against calls without end to a keeper that is too far away for the requests that wait.
#[test]
fn a_keeper_that_is_far_away_is_asked_once_a_second() {
    let mut ledger = RateLedger::default();
    let keepers = &keepers()[..2];
    freeze(&mut ledger, keepers, &keepers[1..]);
    let mut far = 0;
    for number in 0..40 {
        let ms = 1_000 + 100 * number;
        wait(&mut ledger, 2 + number, ms);
        let calls = ledger.due_calls(keepers, at(ms));
        far += calls.iter().filter(|c| c.keeper == keepers[1]).count();
        let (far_calls, near): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|c| c.keeper == keepers[1]);
        reply(&mut ledger, &near, 1, ms + 2);
        assert!(ledger.try_take(&key(), at(ms + 2)).is_some());
        ledger.stop_waiting(&key(), 2 + number);
        reply(&mut ledger, &far_calls, 0, ms + 90);
    }
    assert_eq!(far, 4);
}
