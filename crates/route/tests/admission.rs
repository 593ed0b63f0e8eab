//! Admission: limits, queue order and refusals.

mod support;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fulmarweir_base::RunVerdict;
use fulmarweir_route::{
    Admission, AdmissionParams, AdmissionPermit, AttemptOutcome, AttemptSpec, QueueEvent,
    QueueTicket, RefusalReason, RouteAction, SearchParams, SearchRun, ServiceState,
};
use support::{START, answer_to, grid, grid_view, new_state, seeded, test_service_config};

/// Limit of a new service.
const INITIAL_LIMIT: f64 = 256.0;
const SECOND: Duration = Duration::from_secs(1);

fn granted(state: &Arc<ServiceState>, params: AdmissionParams) -> AdmissionPermit {
    match state.admit(params, START) {
        Admission::Granted(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

fn queued(state: &Arc<ServiceState>, params: AdmissionParams) -> QueueTicket {
    match state.admit(params, START) {
        Admission::Queued(ticket) => ticket,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// Returns a state whose limit is used up by wide searches, with one more search queued.
fn saturated_state() -> (Arc<ServiceState>, Vec<AdmissionPermit>) {
    let state = new_state();
    let mut permits = Vec::new();
    let params = AdmissionParams::wide(58, START + SECOND);
    while let Admission::Granted(permit) = state.admit(params, START) {
        permits.push(permit);
    }
    assert_eq!(state.gauges().waiting, 1);
    (state, permits)
}

fn granted_tickets(events: &[QueueEvent]) -> Vec<QueueTicket> {
    let ticket = |event: &QueueEvent| match event {
        QueueEvent::Granted(ticket, _) => Some(*ticket),
        QueueEvent::Refused(..) => None,
    };
    events.iter().filter_map(ticket).collect()
}

#[test]
fn wide_searches_leave_room_for_lookups() {
    let (state, permits) = saturated_state();
    assert!(!permits.is_empty());
    granted(&state, AdmissionParams::keyed(START + SECOND));
}

#[test]
fn the_earliest_deadline_starts_first() {
    let (state, mut permits) = saturated_state();
    let late = queued(&state, AdmissionParams::wide(58, START + SECOND * 3));
    let early = queued(&state, AdmissionParams::wide(58, START + SECOND / 2));
    permits.pop();
    let events = state.poll_queue(START);
    assert_eq!(granted_tickets(&events), [early]);
    assert!(state.leave_queue(late));
    assert!(!state.leave_queue(late));
}

#[test]
fn a_deadline_that_has_passed_is_refused_at_once() {
    let state = new_state();
    let Admission::Refused(refusal) = state.admit(AdmissionParams::keyed(START), START) else {
        panic!("admitted after its deadline");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
}

#[test]
fn a_waiting_request_is_refused_when_its_time_is_up() {
    let (state, _permits) = saturated_state();
    let events = state.poll_queue(START + SECOND * 2);
    let [QueueEvent::Refused(_, refusal)] = &events[..] else {
        panic!("expected one refusal, got {events:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after.is_some());
    assert_eq!(state.gauges().waiting, 0);
}

#[test]
fn the_queue_is_bounded() {
    let (state, _permits) = saturated_state();
    let params = AdmissionParams::wide(58, START + SECOND);
    let reason = (0..10_000).find_map(|_| match state.admit(params, START) {
        Admission::Refused(refusal) => Some(refusal.reason),
        _ => None,
    });
    assert_eq!(reason, Some(RefusalReason::QueueFull));
}

#[test]
fn one_request_always_fits_and_slots_bound_the_rest() {
    let state = new_state();
    state.observe_view(&fulmarweir_route::TargetView::build(grid(1, 1, 1)));
    let wide = granted(&state, AdmissionParams::wide(58, START + SECOND));
    queued(&state, AdmissionParams::wide(58, START + SECOND));
    drop(wide);
    assert_eq!(state.poll_queue(START).len(), 1);
}

/// Starts a search every millisecond, ends its attempts after 40 ms, and returns the final limit.
fn limit_under_demand(outcome: impl Fn(&AttemptSpec) -> AttemptOutcome) -> f64 {
    let state = new_state();
    let service_config = Arc::new(test_service_config());
    let view = grid_view(1, 58, 3);
    let mut rng = seeded(4);
    let mut runs = VecDeque::new();
    for millis in 0..4_000 {
        let now = START + Duration::from_millis(millis);
        let params = SearchParams::default();
        if let Admission::Granted(permit) =
            state.admit(params.admission(&service_config, &view, now), now)
        {
            let (service_config, view) = (Arc::clone(&service_config), Arc::clone(&view));
            let started =
                SearchRun::start(permit, service_config, view, params, now, &mut rng).unwrap();
            runs.push_back((now, started));
        }
        while runs
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= SECOND / 25)
        {
            let (_, (mut run, actions)) = runs.pop_front().unwrap();
            for action in actions {
                if let RouteAction::Send(spec) = action {
                    run.on_reply(spec.attempt, outcome(&spec), now, &mut rng);
                }
            }
        }
        drop(state.poll_queue(now));
    }
    state.gauges().limit
}

#[test]
fn the_limit_rises_while_targets_keep_up() {
    assert!(limit_under_demand(answer_to) > INITIAL_LIMIT * 2.0);
}

#[test]
fn the_limit_falls_while_targets_shed() {
    let shed = |_: &AttemptSpec| AttemptOutcome::Refused {
        shedding: true,
        retry_after: None,
    };
    assert!(limit_under_demand(shed) < INITIAL_LIMIT / 2.0);
}

#[test]
fn services_do_not_share_a_limit() {
    let (_full, _permits) = saturated_state();
    let other = new_state();
    granted(&other, AdmissionParams::wide(58, START + SECOND));
}
