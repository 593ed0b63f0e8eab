//! Searches over a few shards and replicas.

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fulmarweir_base::{RunVerdict, shard_for_key};
use fulmarweir_conf::{AnswerPreference, ServiceConfig};
use fulmarweir_route::{
    AttemptKind, AttemptOutcome, AttemptSpec, RefusalReason, SearchParams, SearchRun, TargetView,
};
use support::{
    EventQueue, LoopEvent, RunTrace, START, answer_to, drive_search, grid, grid_view, holding,
    new_state, permit, search, seeded, target, test_service_config,
};

const REPLY_DELAY: Duration = Duration::from_millis(5);

#[test]
fn whole_answer_is_merged_by_score() {
    let state = new_state();
    let view = grid_view(7, 3, 2);
    let mut network = |spec: &_, _| vec![(REPLY_DELAY, answer_to(spec))];
    let trace = search(
        &state,
        test_service_config(),
        &view,
        SearchParams::default(),
        &mut network,
        &mut seeded(1),
    );
    let answer = trace.outcome.answer.unwrap();
    assert!(answer.is_whole());
    assert_eq!((answer.version, answer.shards, answer.answered), (7, 3, 3));
    let ids: Vec<&str> = answer.hits.iter().map(|hit| &*hit.id).collect();
    assert_eq!(ids, ["7/2", "7/1", "7/0", "7/0/b", "7/1/b", "7/2/b"]);
    assert_eq!(trace.finished_at, START + REPLY_DELAY);
    assert_eq!(state.gauges().in_flight, 0);
}

#[test]
fn lookup_by_key_asks_one_shard() {
    let view = grid_view(7, 5, 2);
    let params = SearchParams {
        key: Some("permit-12".into()),
        ..SearchParams::default()
    };
    let mut network = |spec: &_, _| vec![(REPLY_DELAY, answer_to(spec))];
    let trace = search(
        &new_state(),
        test_service_config(),
        &view,
        params,
        &mut network,
        &mut seeded(1),
    );
    assert_eq!(trace.sent.len(), 1);
    assert_eq!(trace.sent[0].shard, shard_for_key("permit-12", 5));
    assert_eq!(trace.outcome.answer.unwrap().shards, 1);
}

#[test]
fn newest_complete_version_is_pinned() {
    let mut records = grid(41, 3, 1);
    records.push(target("new", vec![holding(42, 0, 3), holding(42, 1, 3)]));
    let view = TargetView::build(records);
    assert_eq!(view.newest_complete().unwrap().version, 41);
    assert_eq!(view.pin(0).unwrap().version, 41);
    assert_eq!(view.pin(42).unwrap().version, 42);
    assert!(view.pin(43).is_none());
}

#[test]
fn without_a_complete_version_the_most_covered_is_pinned() {
    let records = vec![
        target("a", vec![holding(1, 0, 4), holding(1, 1, 4)]),
        target("b", vec![holding(2, 0, 2), holding(3, 0, 4)]),
    ];
    let view = TargetView::build(records);
    assert_eq!(view.pin(0).unwrap().version, 2);
}

#[test]
fn hostile_holdings_are_ignored() {
    let records = vec![target(
        "a",
        vec![
            holding(1, 3, 3),
            holding(1, 0, 0),
            holding(9, 0, u32::MAX),
            holding(2, 0, 1),
        ],
    )];
    let view = TargetView::build(records);
    let versions: Vec<u64> = view.versions().iter().map(|one| one.version).collect();
    assert_eq!(versions, [2]);
}

#[test]
fn refusals_before_any_attempt_are_not_run() {
    let state = new_state();
    let service_config = Arc::new(test_service_config());
    let refuse = |view: Arc<TargetView>, params| {
        let permit = permit(&state, START);
        SearchRun::start(
            permit,
            Arc::clone(&service_config),
            view,
            params,
            START,
            &mut seeded(1),
        )
        .unwrap_err()
    };
    let none = refuse(Arc::default(), SearchParams::default());
    assert_eq!(none.reason, RefusalReason::NoTargets);
    let params = SearchParams {
        min_version: 8,
        ..SearchParams::default()
    };
    let old = refuse(grid_view(7, 1, 1), params);
    assert_eq!(old.reason, RefusalReason::MinVersion);
    let params = SearchParams {
        deadline: Some(START),
        ..SearchParams::default()
    };
    let late = refuse(grid_view(7, 1, 1), params);
    assert_eq!(late.reason, RefusalReason::TooLate);
    assert!([none, old, late].map(|one| one.verdict) == [RunVerdict::NotRun; 3]);
}

#[test]
fn latency_preference_answers_at_the_soft_deadline() {
    let mut service_config = test_service_config();
    service_config.prefer = AnswerPreference::Latency;
    service_config.extra_load = 0.0;
    let view = grid_view(7, 4, 1);
    let mut network = |spec: &AttemptSpec, _| {
        if spec.shard == 2 {
            return Vec::new();
        }
        vec![(REPLY_DELAY, answer_to(spec))]
    };
    let trace = search(
        &new_state(),
        service_config,
        &view,
        SearchParams::default(),
        &mut network,
        &mut seeded(1),
    );
    assert_eq!(trace.finished_at, START + Duration::from_millis(150));
    let answer = trace.outcome.answer.unwrap();
    assert_eq!((answer.answered, answer.missing), (3, vec![2]));
    assert_eq!(trace.cancelled.len(), 1);
}

#[test]
fn coverage_preference_waits_until_the_deadline() {
    let view = grid_view(7, 4, 1);
    let mut service_config = test_service_config();
    service_config.coverage_min = 1.0;
    let mut network = |spec: &AttemptSpec, _| {
        if spec.shard == 2 {
            return Vec::new();
        }
        vec![(REPLY_DELAY, answer_to(spec))]
    };
    let trace = search(
        &new_state(),
        service_config,
        &view,
        SearchParams::default(),
        &mut network,
        &mut seeded(1),
    );
    assert_eq!(trace.finished_at, START + Duration::from_millis(300));
    let refusal = trace.outcome.answer.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::LowCoverage);
    assert_eq!(refusal.verdict, RunVerdict::Ran);
}

#[test]
fn a_silent_target_is_hedged_and_the_loser_cancelled() {
    let view = grid_view(7, 2, 2);
    let mut first = true;
    let mut network = |spec: &_, _| {
        if std::mem::take(&mut first) {
            return Vec::new();
        }
        vec![(REPLY_DELAY, answer_to(spec))]
    };
    let trace = search(
        &new_state(),
        test_service_config(),
        &view,
        SearchParams::default(),
        &mut network,
        &mut seeded(1),
    );
    assert!(trace.outcome.answer.unwrap().is_whole());
    assert_eq!(
        (trace.outcome.stats.hedges, trace.outcome.stats.hedge_wins),
        (1, 1)
    );
    assert_eq!(trace.cancelled.len(), 1);
}

/// Searches version 1 on two shards, of which the second replies `VersionGone` after 10 ms.
/// Version 2 on three shards appears in the view after `view_delay`.
fn search_during_rollout(service_config: ServiceConfig, view_delay: Duration) -> RunTrace {
    let old = grid_view(1, 2, 2);
    let mut both = grid(1, 2, 2);
    both.extend((0..3).map(|shard| target(&format!("n{shard}"), vec![holding(2, shard, 3)])));
    let rolled_out = Arc::new(TargetView::build(both));
    let mut network = |spec: &AttemptSpec, _| {
        if spec.version == 1 && spec.shard == 1 {
            return vec![(REPLY_DELAY * 2, AttemptOutcome::VersionGone)];
        }
        vec![(REPLY_DELAY, answer_to(spec))]
    };
    let mut events = EventQueue::default();
    events.push(START + view_delay, LoopEvent::View(rolled_out));
    let mut rng = seeded(3);
    let permit = permit(&new_state(), START);
    let params = SearchParams::default();
    let run = SearchRun::start(
        permit,
        Arc::new(service_config),
        old,
        params,
        START,
        &mut rng,
    )
    .unwrap();
    drive_search(run, START, events, &mut network, &mut rng)
}

fn assert_restarted_on_the_newer_version(trace: RunTrace) {
    let answer = trace.outcome.answer.unwrap();
    assert_eq!((answer.version, answer.answered), (2, 3));
    assert!(answer.hits.iter().all(|hit| hit.id.starts_with("2/")));
    let restarted: BTreeSet<u32> = trace
        .sent
        .iter()
        .filter(|spec| spec.kind == AttemptKind::Restart)
        .map(|spec| spec.shard)
        .collect();
    assert_eq!(restarted, BTreeSet::from([0, 1, 2]));
}

#[test]
fn a_version_gone_everywhere_restarts_the_whole_search() {
    let trace = search_during_rollout(test_service_config(), REPLY_DELAY);
    assert_restarted_on_the_newer_version(trace);
}

#[test]
fn coverage_preference_waits_for_a_view_of_the_newer_version() {
    let trace = search_during_rollout(test_service_config(), REPLY_DELAY * 10);
    assert_restarted_on_the_newer_version(trace);
}

#[test]
fn latency_preference_answers_what_is_left_of_a_version() {
    let mut service_config = test_service_config();
    service_config.prefer = AnswerPreference::Latency;
    let trace = search_during_rollout(service_config, REPLY_DELAY * 10);
    let answer = trace.outcome.answer.unwrap();
    assert_eq!((answer.version, answer.missing), (1, vec![1]));
    assert!(trace.finished_at < START + REPLY_DELAY * 10);
}

#[test]
fn a_nested_search_retries_only_attempts_that_have_not_run() {
    let answered_shards = |nested, verdict| {
        let params = SearchParams {
            nested,
            ..SearchParams::default()
        };
        let mut first = true;
        let mut network = |spec: &AttemptSpec, _| {
            if std::mem::take(&mut first) {
                let retried_downstream = false;
                let outcome = AttemptOutcome::Failed {
                    verdict,
                    retried_downstream,
                };
                return vec![(REPLY_DELAY, outcome)];
            }
            vec![(REPLY_DELAY, answer_to(spec))]
        };
        let view = grid_view(7, 2, 2);
        let state = new_state();
        let mut rng = seeded(1);
        let trace = search(
            &state,
            test_service_config(),
            &view,
            params,
            &mut network,
            &mut rng,
        );
        trace.outcome.answer.unwrap().answered
    };
    assert_eq!(answered_shards(true, RunVerdict::NotRun), 2);
    assert_eq!(answered_shards(true, RunVerdict::MayHaveRun), 1);
    assert_eq!(answered_shards(false, RunVerdict::MayHaveRun), 2);
}

#[test]
fn a_dropped_search_leaves_nothing_counted() {
    let state = new_state();
    let view = grid_view(7, 4, 1);
    let service_config = Arc::new(test_service_config());
    let mut rng = seeded(1);
    let params = SearchParams::default();
    let permit = permit(&state, START);
    let run = SearchRun::start(permit, service_config, view, params, START, &mut rng).unwrap();
    drop(run);
    assert_eq!(state.gauges().in_flight, 0);
    let name = "0-0".parse().unwrap();
    assert_eq!(state.target_gauges(&name).unwrap().in_flight, 0);
}

#[test]
fn an_abandoned_search_cancels_its_attempts() {
    let view = grid_view(7, 4, 1);
    let service_config = Arc::new(test_service_config());
    let mut rng = seeded(1);
    let params = SearchParams::default();
    let permit = permit(&new_state(), START);
    let (mut run, _) =
        SearchRun::start(permit, service_config, view, params, START, &mut rng).unwrap();
    assert_eq!(run.abandon(START + REPLY_DELAY).len(), 4);
    assert!(run.on_wake(START + REPLY_DELAY * 2, &mut rng).is_empty());
}
