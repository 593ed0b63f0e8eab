//! Tests of names, run verdicts, the timer service and key placement.

use std::time::Duration;

use fulmarweir_base::{MonoTime, RunVerdict, TimerService, VmName, shard_for_key};

#[test]
fn names_are_validated() {
    assert!("ub-1".parse::<VmName>().is_ok());
    assert!("1/a_b.c".parse::<VmName>().is_ok());
    for bad in ["", "-a", "A", "a b", "a\u{e9}", &"x".repeat(65)] {
        assert!(bad.parse::<VmName>().is_err(), "{bad:?}");
    }
}

#[test]
fn not_run_and_idempotent_requests_may_be_retried() {
    assert!(RunVerdict::NotRun.allows_retry(false));
    assert!(!RunVerdict::MayHaveRun.allows_retry(false));
    assert!(RunVerdict::MayHaveRun.allows_retry(true));
}

#[test]
fn combined_verdict_is_not_run_only_if_both_are() {
    use RunVerdict::{MayHaveRun, NotRun, Ran};
    assert_eq!(NotRun.combine(NotRun), NotRun);
    assert_eq!(NotRun.combine(MayHaveRun), MayHaveRun);
    assert_eq!(MayHaveRun.combine(Ran), Ran);
}

#[test]
fn keys_are_placed_by_xxh64() {
    // xxh64("") with seed 0 is 0xef46db3751d8e999.
    assert_eq!(shard_for_key("", 7), (0xef46_db37_51d8_e999_u64 % 7) as u32);
    assert_eq!(shard_for_key("x", 0), 0);
}

#[tokio::test(start_paused = true)]
async fn timer_ticks_until_it_is_closed() {
    let timer = TimerService::new();
    let mut ticks = timer.subscribe(Duration::from_millis(10));
    let first = ticks.next().await.unwrap();
    let second = ticks.next().await.unwrap();
    assert!(second.since(first) >= Duration::from_millis(10));
    timer.close().await;
    while ticks.next().await.is_some() {}
    timer.sleep_until(MonoTime::ZERO).await;
}
