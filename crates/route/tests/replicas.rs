//! Replica selection and ejection.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict, TargetName};
use fulmarweir_route::{
    AttemptOutcome, AttemptSpec, ReportedLoad, SearchParams, SearchRun, ServiceState, TargetView,
};
use rand_pcg::Pcg64Mcg;
use support::{
    EventQueue, answer_to, drive_search, grid_view, new_state, permit, seeded, test_service_config,
};

const REPLY_DELAY: Duration = Duration::from_millis(5);
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Start time at which targets are past slow start.
const AFTER_SLOW_START: MonoTime = MonoTime::from_millis(10_000);

/// Runs searches on one service and view, one after another.
struct Searcher {
    state: Arc<ServiceState>,
    view: Arc<TargetView>,
    rng: Pcg64Mcg,
    now: MonoTime,
    sent: BTreeMap<TargetName, u32>,
}

impl Searcher {
    fn new(view: Arc<TargetView>) -> Self {
        Self {
            state: new_state(),
            view,
            rng: seeded(9),
            now: AFTER_SLOW_START,
            sent: BTreeMap::new(),
        }
    }

    /// Runs `count` searches and counts their attempts by target.
    fn search(
        &mut self,
        count: usize,
        network: &mut dyn FnMut(&AttemptSpec) -> (Duration, AttemptOutcome),
    ) {
        self.sent.clear();
        for _ in 0..count {
            let permit = permit(&self.state, self.now);
            let view = Arc::clone(&self.view);
            let service_config = Arc::new(test_service_config());
            let params = SearchParams::default();
            let run = SearchRun::start(
                permit,
                service_config,
                view,
                params,
                self.now,
                &mut self.rng,
            );
            let mut answer = |spec: &AttemptSpec, _: MonoTime| vec![network(spec)];
            let events = EventQueue::default();
            let trace = drive_search(run.unwrap(), self.now, events, &mut answer, &mut self.rng);
            for spec in trace.sent {
                *self.sent.entry(spec.target.name.clone()).or_default() += 1;
            }
            self.now = trace.finished_at + SEARCH_INTERVAL;
        }
    }

    fn sent_to(&self, name: &str) -> u32 {
        self.sent.get(name).copied().unwrap_or_default()
    }

    fn is_ejected(&self, name: &str) -> bool {
        let name = name.parse().unwrap();
        self.state
            .target_gauges(&name)
            .is_some_and(|gauges| gauges.ejected)
    }
}

fn failing_reply(spec: &AttemptSpec, failing: &[&str]) -> (Duration, AttemptOutcome) {
    if failing.contains(&spec.target.name.as_str()) {
        let outcome = AttemptOutcome::Failed {
            verdict: RunVerdict::MayHaveRun,
            retried_downstream: false,
        };
        return (Duration::from_micros(300), outcome);
    }
    (REPLY_DELAY, answer_to(spec))
}

#[test]
fn a_target_that_fails_fast_is_ejected_and_probed_back_in() {
    let mut searcher = Searcher::new(grid_view(1, 1, 3));
    searcher.search(40, &mut |spec| failing_reply(spec, &["0-1"]));
    assert!(searcher.is_ejected("0-1"));
    searcher.search(20, &mut |spec| failing_reply(spec, &["0-1"]));
    assert!(searcher.sent_to("0-1") <= 2, "{:?}", searcher.sent);
    // The target has recovered: probes end the ejection once its time is over.
    searcher.now = searcher.now + Duration::from_mins(1);
    searcher.search(200, &mut |spec| failing_reply(spec, &[]));
    assert!(!searcher.is_ejected("0-1"));
    assert!(searcher.sent_to("0-1") > 5, "{:?}", searcher.sent);
}

#[test]
fn replies_to_other_attempts_eject_the_target() {
    let mut searcher = Searcher::new(grid_view(1, 1, 3));
    searcher.search(40, &mut |spec| {
        if spec.target.name.as_str() == "0-2" {
            return (REPLY_DELAY, AttemptOutcome::BadEcho);
        }
        (REPLY_DELAY, answer_to(spec))
    });
    assert!(searcher.is_ejected("0-2"));
}

#[test]
fn ejection_never_leaves_a_shard_without_a_replica() {
    let mut searcher = Searcher::new(grid_view(1, 2, 2));
    let failing = ["0-0", "0-1"];
    searcher.search(60, &mut |spec| failing_reply(spec, &failing));
    assert!(failing.iter().all(|name| searcher.is_ejected(name)));
    searcher.search(10, &mut |spec| failing_reply(spec, &failing));
    assert!(searcher.sent_to("0-0") + searcher.sent_to("0-1") >= 10);
    // The targets have recovered: the shard is answered at once, because it is still queried.
    searcher.search(1, &mut |spec| failing_reply(spec, &[]));
    assert!(searcher.sent_to("0-0") + searcher.sent_to("0-1") >= 1);
}

#[test]
fn a_slow_target_is_passed_over() {
    let mut searcher = Searcher::new(grid_view(1, 1, 3));
    searcher.search(300, &mut |spec| {
        let slow = spec.target.name.as_str() == "0-0";
        let delay = if slow { REPLY_DELAY * 20 } else { REPLY_DELAY };
        (delay, answer_to(spec))
    });
    assert!(searcher.sent_to("0-0") < 15, "{:?}", searcher.sent);
}

#[test]
fn a_silent_target_is_passed_over() {
    let mut searcher = Searcher::new(grid_view(1, 1, 3));
    searcher.search(300, &mut |spec| {
        let silent = spec.target.name.as_str() == "0-0";
        let delay = if silent {
            SEARCH_INTERVAL * 1_000
        } else {
            REPLY_DELAY
        };
        (delay, answer_to(spec))
    });
    assert!(searcher.sent_to("0-0") < 30, "{:?}", searcher.sent);
}

#[test]
fn a_target_that_reports_load_gets_less() {
    let mut searcher = Searcher::new(grid_view(1, 1, 2));
    searcher.search(200, &mut |spec| {
        let busy = spec.target.name.as_str() == "0-0";
        let load = ReportedLoad {
            in_flight: if busy { 3 } else { 0 },
            slots: 3,
            queued: if busy { u32::MAX } else { 0 },
        };
        let AttemptOutcome::Hits { hits, .. } = answer_to(spec) else {
            unreachable!("an answer has hits")
        };
        let load = Some(load);
        (REPLY_DELAY, AttemptOutcome::Hits { hits, load })
    });
    // The target still gets some attempts, because its load reports expire.
    let busy = searcher.sent_to("0-0");
    assert!((2..40).contains(&busy), "{:?}", searcher.sent);
}
