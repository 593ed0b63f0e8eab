//! Tests of which requests a VM takes in a planned stop.

use std::time::Duration;

use fulmarweir_base::MonoTime;
use fulmarweir_route::StopPlan;

const GRACE: Duration = Duration::from_secs(6);

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Guards against requests that are taken late in the grace period and outlast the process.
#[test]
fn late_requests_are_taken_only_if_they_end_before_the_process() {
    let plan = StopPlan::new(at(1_000), GRACE);
    // The load balancer has half of the grace period to notice.
    assert!(plan.admits(at(1_000), at(60_000)));
    assert!(plan.admits(at(3_999), at(60_000)));
    assert!(!plan.admits(at(4_000), at(60_000)));
    assert!(plan.admits(at(4_000), plan.answer_by));
    assert!(!plan.admits(at(6_000), plan.answer_by + Duration::from_millis(1)));
    assert!(plan.accept_until < plan.answer_by);
    assert!(plan.answer_by < plan.exit_by);
    assert!(plan.exit_by < at(1_000) + GRACE);
}

/// Guards against phases in the wrong order where the grace period is shorter than the margins.
#[test]
fn a_short_grace_period_keeps_the_order_of_the_phases() {
    for grace_ms in [0, 100, 400, 500, 1_000, 1_100, 2_000] {
        let plan = StopPlan::new(at(5_000), Duration::from_millis(grace_ms));
        assert!(at(5_000) <= plan.accept_until, "{grace_ms}");
        assert!(plan.accept_until <= plan.answer_by, "{grace_ms}");
        assert!(plan.answer_by <= plan.exit_by, "{grace_ms}");
        let end = at(5_000) + Duration::from_millis(grace_ms);
        assert!(plan.exit_by <= end, "{grace_ms}");
    }
}
