//! Admission: limits, queue order, refusals.

mod support;

use std::{sync::Arc, time::Duration};

use fulmarweir_base::{MonoTime, RunVerdict};
use fulmarweir_route::{
    Admission, AdmissionAsk, AdmissionPermit, QueueEvent, QueueTicket, RefusalReason, ServiceState,
};
use support::{START, grid, new_state};

const SECOND: Duration = Duration::from_secs(1);

fn granted(state: &Arc<ServiceState>, ask: AdmissionAsk) -> AdmissionPermit {
    match state.admit(ask, START) {
        Admission::Granted(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

fn queued(state: &Arc<ServiceState>, ask: AdmissionAsk) -> QueueTicket {
    match state.admit(ask, START) {
        Admission::Queued(ticket) => ticket,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// A state whose wide searches fill all there is.
fn full_state() -> (Arc<ServiceState>, Vec<AdmissionPermit>) {
    let state = new_state();
    let mut permits = Vec::new();
    let ask = AdmissionAsk::wide(58, START + SECOND);
    while let Admission::Granted(permit) = state.admit(ask, START) {
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
    let (state, permits) = full_state();
    assert!(!permits.is_empty());
    granted(&state, AdmissionAsk::keyed(START + SECOND));
}

#[test]
fn the_earliest_deadline_starts_first() {
    let (state, mut permits) = full_state();
    let late = queued(&state, AdmissionAsk::wide(58, START + SECOND * 3));
    let early = queued(&state, AdmissionAsk::wide(58, START + SECOND / 2));
    permits.pop();
    let events = state.poll_queue(START);
    assert_eq!(granted_tickets(&events), [early]);
    assert!(state.leave_queue(late));
    assert!(!state.leave_queue(late));
}

#[test]
fn a_deadline_that_has_passed_is_refused_at_once() {
    let state = new_state();
    let Admission::Refused(refusal) = state.admit(AdmissionAsk::keyed(START), START) else {
        panic!("admitted after its deadline");
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
}

#[test]
fn a_waiting_request_is_refused_when_its_time_is_up() {
    let (state, _permits) = full_state();
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
    let (state, _permits) = full_state();
    let ask = AdmissionAsk::wide(58, START + SECOND);
    let reason = (0..10_000).find_map(|_| match state.admit(ask, START) {
        Admission::Refused(refusal) => Some(refusal.reason),
        _ => None,
    });
    assert_eq!(reason, Some(RefusalReason::QueueFull));
}

#[test]
fn one_request_always_fits_and_slots_bound_the_rest() {
    let state = new_state();
    state.observe_view(&fulmarweir_route::TargetView::build(grid(1, 1, 1)));
    let wide = granted(&state, AdmissionAsk::wide(58, START + SECOND));
    queued(&state, AdmissionAsk::wide(58, START + SECOND));
    drop(wide);
    assert_eq!(state.poll_queue(START).len(), 1);
}

#[test]
fn services_do_not_share_a_limit() {
    let (_full, _permits) = full_state();
    let other = new_state();
    granted(&other, AdmissionAsk::wide(58, START + SECOND));
    assert_eq!(START, MonoTime::from_millis(1_000));
}
