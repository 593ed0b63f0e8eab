//! Runs one search from admission to its answer.

use std::sync::Arc;

use fulmarweir_base::{MonoTime, TimerService};
use fulmarweir_conf::ServiceConfig;
use fulmarweir_route::{
    RefusalReason, RouteRefusal, SearchAnswer, SearchOutcome, SearchParams, SearchRun,
};

use crate::{
    metrics::{OutcomeLabel, ServiceLabel},
    node::NodeState,
    run_driver::{RunDriver, RunEvent, RunRequest},
};

/// Abandons a search when its future is dropped, e.g. because its caller has disconnected.
struct RunGuard {
    run: SearchRun,
    timer: TimerService,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        // The run driver is dropped as well, which cancels the attempts.
        drop(self.run.abandon(self.timer.now()));
    }
}

/// Runs a search. Dropping the future cancels the attempts at the targets.
pub(crate) async fn run_search(
    node: &NodeState,
    service_config: Arc<ServiceConfig>,
    mut params: SearchParams,
    request: RunRequest,
) -> Result<SearchAnswer, RouteRefusal> {
    let started = node.timer.now();
    params.arrived = Some(started);
    let Some(view) = node.views.get(&service_config.name) else {
        return Err(RouteRefusal::not_run(RefusalReason::NoTargets, None));
    };
    let queue = node.admission_queues.get(&service_config.name);
    queue.update_view(&view.targets);
    let admission = params.admission(&service_config, &view.targets, started);
    let permit = queue.admit(admission, started).await?;
    let label = ServiceLabel {
        service: service_config.name.to_string(),
    };

    let now = node.timer.now();
    let targets = Arc::clone(&view.targets);
    let started_run = SearchRun::start(
        permit,
        service_config,
        targets,
        params,
        now,
        &mut rand::rng(),
    );
    let (run, actions) = started_run?;
    let mut driver = RunDriver::new(node, view, &request);
    let mut guard = RunGuard {
        run,
        timer: node.timer.clone(),
    };
    let mut outcome = driver.perform(actions);
    while outcome.is_none() {
        let event = driver.next().await;
        let actions = apply_event(&mut guard.run, event, &driver, node.timer.now());
        outcome = driver.perform(actions);
    }
    drop(driver);
    drop(guard);
    queue.poll(node.timer.now());
    let Some(outcome) = outcome else {
        return Err(RouteRefusal::not_run(RefusalReason::NoTargets, None));
    };
    record_outcome(node, &label, &outcome, started);
    outcome.answer
}

fn apply_event(
    run: &mut SearchRun,
    event: RunEvent,
    driver: &RunDriver<'_>,
    now: MonoTime,
) -> Vec<fulmarweir_route::SearchAction> {
    let rng = &mut rand::rng();
    match event {
        RunEvent::Ended(id, outcome) => run.on_reply(id, outcome, now, rng),
        RunEvent::Wake => run.on_wake(now, rng),
        RunEvent::ViewChanged => run.on_view(Arc::clone(&driver.view().targets), now, rng),
    }
}

fn record_outcome(
    node: &NodeState,
    label: &ServiceLabel,
    outcome: &SearchOutcome,
    started: MonoTime,
) {
    let metrics = &node.metrics;
    let lost = u64::from(
        outcome
            .stats
            .hedges
            .saturating_sub(outcome.stats.hedge_wins),
    );
    let won = u64::from(outcome.stats.hedge_wins);
    for (outcome, count) in [("won", won), ("lost", lost)] {
        if count > 0 {
            let label = OutcomeLabel { outcome };
            metrics.hedges.get_or_create(&label).inc_by(count);
        }
    }
    let Ok(answer) = &outcome.answer else {
        return;
    };
    let elapsed = node.timer.now().since(started).as_secs_f64();
    metrics.latency.get_or_create(label).observe(elapsed);
    let coverage = f64::from(answer.answered) / f64::from(answer.shards.max(1));
    metrics.coverage.get_or_create(label).observe(coverage);
}
