//! Acts: at most one attempt may have run.

mod support;

use std::{sync::Arc, time::Duration};

use arbtest::arbitrary::{Result, Unstructured};
use bytes::Bytes;
use fulmarweir_base::{MonoTime, RunVerdict, shard_for_key};
use fulmarweir_route::{
    ActAction, ActOutcome, ActParams, ActRun, AttemptId, AttemptOutcome, AttemptSpec,
    RefusalReason, RouteAction, ServiceState, TargetView,
};
use support::{
    START, grid, grid_view, holding, new_state, permit, seeded, target, test_service_config,
};

const SEEDS: u64 = 400;
const REPLY_DELAY: Duration = Duration::from_millis(7);

fn params() -> ActParams {
    ActParams {
        key: "permit-12".into(),
        deadline: None,
        repeated: false,
        arrived: None,
    }
}

fn done() -> AttemptOutcome {
    AttemptOutcome::Done {
        body: Bytes::from_static(b"{}"),
        load: None,
    }
}

fn refused() -> AttemptOutcome {
    AttemptOutcome::Refused {
        shedding: false,
        retry_after: None,
    }
}

/// The actions of an act so far.
#[derive(Default)]
struct ActTrace {
    sent: Vec<AttemptSpec>,
    outcome: Option<ActOutcome>,
}

impl ActTrace {
    fn record(&mut self, actions: Vec<ActAction>) {
        for action in actions {
            assert!(self.outcome.is_none(), "an action after Finish");
            match action {
                RouteAction::Send(spec) => self.sent.push(spec),
                RouteAction::Finish(outcome) => self.outcome = Some(outcome),
                RouteAction::Cancel(_) | RouteAction::Wake(_) => {}
            }
        }
    }

    fn last(&self) -> AttemptId {
        self.sent.last().unwrap().attempt
    }

    fn refusal(&self) -> (RefusalReason, RunVerdict) {
        let outcome = self.outcome.as_ref().unwrap();
        let refusal = outcome.reply.as_ref().unwrap_err();
        (refusal.reason, refusal.verdict)
    }
}

fn start(state: &Arc<ServiceState>, view: &Arc<TargetView>) -> (ActRun, ActTrace) {
    let permit = permit(state, START);
    let service_config = Arc::new(test_service_config());
    let view = Arc::clone(view);
    let mut rng = seeded(1);
    let (run, actions) =
        ActRun::start(permit, service_config, view, &params(), START, &mut rng).unwrap();
    let mut trace = ActTrace::default();
    trace.record(actions);
    (run, trace)
}

fn reply(run: &mut ActRun, trace: &mut ActTrace, outcome: AttemptOutcome) {
    let now = START + REPLY_DELAY;
    let actions = run.on_reply(trace.last(), outcome, now, &mut seeded(2));
    trace.record(actions);
}

#[test]
fn goes_to_one_holder_of_the_key_in_the_newest_complete_version() {
    let mut records = grid(5, 4, 2);
    records.push(target("partial", vec![holding(6, 0, 2)]));
    let view = Arc::new(TargetView::build(records));
    let (mut run, mut trace) = start(&new_state(), &view);
    let spec = &trace.sent[0];
    assert_eq!((spec.version, spec.of), (5, 4));
    assert_eq!(spec.shard, shard_for_key("permit-12", 4));
    reply(&mut run, &mut trace, done());
    let reply = trace.outcome.unwrap().reply.unwrap();
    assert_eq!((reply.version, &*reply.body), (5, &b"{}"[..]));
    assert_eq!(trace.sent.len(), 1);
}

#[test]
fn not_run_goes_to_another_holder() {
    let (mut run, mut trace) = start(&new_state(), &grid_view(5, 4, 2));
    reply(&mut run, &mut trace, refused());
    assert_eq!(trace.sent.len(), 2);
    assert_ne!(trace.sent[0].target.name, trace.sent[1].target.name);
    reply(&mut run, &mut trace, refused());
    let expected = (RefusalReason::TargetsRefused, RunVerdict::NotRun);
    assert_eq!(trace.refusal(), expected);
}

#[test]
fn may_have_run_ends_the_act() {
    let failed = AttemptOutcome::Failed {
        verdict: RunVerdict::MayHaveRun,
        retried_downstream: false,
    };
    for outcome in [failed, AttemptOutcome::BadEcho, AttemptOutcome::TimedOut] {
        let (mut run, mut trace) = start(&new_state(), &grid_view(5, 4, 3));
        reply(&mut run, &mut trace, outcome);
        let expected = (RefusalReason::Undecided, RunVerdict::MayHaveRun);
        assert_eq!(trace.refusal(), expected);
        assert_eq!(trace.sent.len(), 1);
        assert!(
            trace
                .outcome
                .unwrap()
                .reply
                .unwrap_err()
                .retry_after
                .is_none()
        );
    }
}

#[test]
fn the_deadline_with_an_attempt_in_flight_may_have_run() {
    let state = new_state();
    let (mut run, mut trace) = start(&state, &grid_view(5, 4, 3));
    trace.record(run.on_wake(START + test_service_config().deadline));
    let expected = (RefusalReason::Deadline, RunVerdict::MayHaveRun);
    assert_eq!(trace.refusal(), expected);
    drop(run);
    assert_eq!(state.gauges().in_flight, 0);
}

#[test]
fn a_cancelled_attempt_ends_the_act_as_not_run() {
    let (mut run, mut trace) = start(&new_state(), &grid_view(5, 4, 3));
    let may_have_run = false;
    let outcome = AttemptOutcome::Cancelled { may_have_run };
    reply(&mut run, &mut trace, outcome);
    let expected = (RefusalReason::Deadline, RunVerdict::NotRun);
    assert_eq!(trace.refusal(), expected);
    assert_eq!(trace.sent.len(), 1);
}

#[test]
fn an_incomplete_view_refuses_as_not_run() {
    let view = Arc::new(TargetView::build(vec![target("a", vec![holding(1, 0, 2)])]));
    let permit = permit(&new_state(), START);
    let service_config = Arc::new(test_service_config());
    let refusal = ActRun::start(
        permit,
        service_config,
        view,
        &params(),
        START,
        &mut seeded(1),
    )
    .unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoTargets);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
}

fn draw_outcome(u: &mut Unstructured<'_>) -> Result<AttemptOutcome> {
    let failed = |verdict| AttemptOutcome::Failed {
        verdict,
        retried_downstream: false,
    };
    let choices = [
        done(),
        refused(),
        refused(),
        AttemptOutcome::VersionGone,
        AttemptOutcome::BadEcho,
        AttemptOutcome::TimedOut,
        failed(RunVerdict::NotRun),
        failed(RunVerdict::MayHaveRun),
        failed(RunVerdict::Ran),
        AttemptOutcome::Cancelled {
            may_have_run: false,
        },
    ];
    u.choose(&choices).cloned()
}

fn may_run_at_most_once(u: &mut Unstructured<'_>) -> Result<()> {
    let (mut run, mut trace) = start(&new_state(), &grid_view(5, 2, 3));
    let mut rng = seeded(u.arbitrary()?);
    let mut reported: Vec<RunVerdict> = Vec::new();
    let mut now = START;
    for _ in 0..u.int_in_range(1..=8)? {
        now = now + Duration::from_millis(u.int_in_range(1..=90)?);
        let in_flight = reported.len() < trace.sent.len();
        if in_flight && u.ratio(2_u8, 3_u8)? {
            let outcome = draw_outcome(u)?;
            reported.push(outcome.verdict());
            trace.record(run.on_reply(trace.last(), outcome, now, &mut rng));
        } else if u.arbitrary()? {
            // A duplicate reply to the first attempt.
            if !reported.is_empty() {
                let id = trace.sent[0].attempt;
                trace.record(run.on_reply(id, done(), now, &mut rng));
            }
        } else {
            trace.record(run.on_wake(now));
        }
        assert_at_most_one_may_have_run(&trace, &reported, now);
    }
    trace.record(run.on_wake(START + test_service_config().deadline));
    assert!(trace.outcome.is_some());
    Ok(())
}

fn assert_at_most_one_may_have_run(trace: &ActTrace, reported: &[RunVerdict], now: MonoTime) {
    let unknown = trace.sent.len().saturating_sub(reported.len());
    let not_run = RunVerdict::NotRun;
    let may_have_run = reported.iter().filter(|one| **one != not_run).count() + unknown;
    assert!(may_have_run <= 1, "{may_have_run} attempts at {now:?}");
    let refusal = trace
        .outcome
        .as_ref()
        .and_then(|one| one.reply.as_ref().err());
    if refusal.is_some_and(|one| one.verdict == not_run) {
        assert_eq!(may_have_run, 0);
    }
}

#[test]
fn at_most_one_attempt_of_an_act_may_have_run() {
    for seed in 1..=SEEDS {
        // arbtest reads the size of the random input in bytes from the low 32 bits of a seed.
        arbtest::arbtest(may_run_at_most_once).seed((seed << 32) | 4_096);
    }
}
