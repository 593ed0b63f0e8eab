//! Tests of when refused callers of a tenant are told to return.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{RateKey, RetryPlanner, hold_limit};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against requests that are held for more than 60 ms, or than half of their objective.
#[test]
fn a_request_is_held_for_a_part_of_its_objective() {
    assert_eq!(hold_limit(ms(150)), ms(60));
    assert_eq!(hold_limit(ms(50)), ms(25));
    assert_eq!(hold_limit(Duration::ZERO), Duration::ZERO);
}

/// Guards against callers that all return for the same permit.
#[test]
fn each_refused_caller_is_told_the_time_of_another_permit() {
    let mut planner = RetryPlanner::default();
    let key = RateKey::Tenant("ordu".into());
    let now = MonoTime::from_millis(10_000);
    for _ in 0..40 {
        planner.record_admitted(&key, now);
    }
    let until = now + ms(80);
    let retries = [(); 3].map(|()| planner.retry_after(&key, 20.0, until, 0.0, now));
    // The quota of 20 per second has a permit every 50 ms, whatever this VM has got in a burst.
    assert_eq!(retries, [ms(80), ms(130), ms(180)]);
    let spread = planner.retry_after(&key, 20.0, until, 1.0, now);
    assert_eq!(spread, ms(230 + 50));
    // Those of another tenant do not wait for them.
    let other = RateKey::Tenant("kars".into());
    let retry = planner.retry_after(&other, 20.0, until, 0.0, now);
    assert_eq!(retry, ms(80));
}

/// Guards against callers that are sent away for much longer than a permit takes, after many others.
#[test]
fn no_caller_is_told_to_return_after_more_than_5_s() {
    let mut planner = RetryPlanner::default();
    let key = RateKey::Tenant("ordu".into());
    let now = MonoTime::from_millis(10_000);
    let until = now + ms(4_000);
    for _ in 0..1_000 {
        let retry = planner.retry_after(&key, 0.05, until, 0.9, now);
        assert!(retry >= ms(4_000) && retry <= ms(5_000), "{retry:?}");
    }
    // Later, they have returned or gone.
    let now = now + ms(60_000);
    let retry = planner.retry_after(&key, 0.05, now + ms(20), 0.0, now);
    assert_eq!(retry, ms(20));
}
