//! Property tests of searches over a network that loses, delays, duplicates and refuses attempts.

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arbtest::arbitrary::{Result, Unstructured};
use fulmarweir_base::{MonoTime, RunVerdict, TargetRecord};
use fulmarweir_conf::{AnswerPreference, ServiceConfig};
use fulmarweir_route::{
    AttemptKind, AttemptOutcome, AttemptSpec, RetryReason, SearchAnswer, SearchParams, SearchRun,
    ServiceState, TargetView,
};
use support::{
    EventQueue, LoopEvent, RunTrace, START, answer_to, drive_search, grid, new_state, permit,
    seeded, test_service_config,
};

const SEEDS: u64 = 200;
/// Seeds of the budget property, which runs many searches per seed.
const BUDGET_SEEDS: u64 = 40;
/// Searches per seed, enough to use up the tokens of a new budget.
const SEARCHES_PER_BUDGET: usize = 30;
/// Tokens of a new budget; also its maximum debt, which only costless retries may use.
const BURST: f64 = 24.0;

/// Fault rates of the network, in percent of the attempts.
#[derive(Clone, Copy, Debug)]
struct NetworkFaults {
    lost: u8,
    late: u8,
    duplicated: u8,
    failed: u8,
    refused: u8,
    gone: u8,
}

fn draw_percent(u: &mut Unstructured<'_>, max: u8) -> Result<u8> {
    u.int_in_range(0..=max)
}

fn draw_bool(u: &mut Unstructured<'_>, percent: u8) -> Result<bool> {
    Ok(u.int_in_range(0..=99)? < percent)
}

impl NetworkFaults {
    fn draw(u: &mut Unstructured<'_>) -> Result<Self> {
        Ok(Self {
            lost: draw_percent(u, 30)?,
            late: draw_percent(u, 30)?,
            duplicated: draw_percent(u, 30)?,
            failed: draw_percent(u, 15)?,
            refused: draw_percent(u, 15)?,
            gone: draw_percent(u, 20)?,
        })
    }

    fn answer(
        self,
        u: &mut Unstructured<'_>,
        spec: &AttemptSpec,
    ) -> Result<Vec<(Duration, AttemptOutcome)>> {
        let mut delay = Duration::from_micros(u.int_in_range(500..=20_000)?);
        if draw_bool(u, self.lost)? {
            return Ok(Vec::new());
        }
        if draw_bool(u, self.late)? {
            delay += Duration::from_millis(u.int_in_range(50..=400)?);
        }
        let outcome = self.outcome(u, spec)?;
        if draw_bool(u, self.duplicated)? {
            let second = self.outcome(u, spec)?;
            return Ok(vec![(delay, outcome), (delay * 2, second)]);
        }
        Ok(vec![(delay, outcome)])
    }

    fn outcome(self, u: &mut Unstructured<'_>, spec: &AttemptSpec) -> Result<AttemptOutcome> {
        if draw_bool(u, self.gone)? {
            return Ok(AttemptOutcome::VersionGone);
        }
        if draw_bool(u, self.refused)? {
            return Ok(AttemptOutcome::Refused {
                shedding: u.arbitrary()?,
                retry_after: None,
            });
        }
        if !draw_bool(u, self.failed)? {
            return Ok(answer_to(spec));
        }
        let failed = |verdict, retried_downstream| AttemptOutcome::Failed {
            verdict,
            retried_downstream,
        };
        let choices = [
            AttemptOutcome::BadEcho,
            AttemptOutcome::TimedOut,
            failed(RunVerdict::NotRun, false),
            failed(RunVerdict::MayHaveRun, true),
        ];
        u.choose(&choices).cloned()
    }
}

/// Returns a view in which a newer version, often with another number of shards, is being rolled
/// out.
fn rolled_out_view(
    u: &mut Unstructured<'_>,
    old: &[TargetRecord],
    version: u64,
) -> Result<TargetView> {
    let mut records: Vec<TargetRecord> = Vec::new();
    for record in old {
        if u.ratio(4_u8, 5_u8)? {
            records.push(record.clone());
        }
    }
    let shards = u.int_in_range(1..=9)?;
    for mut record in grid(version + 1, shards, 2) {
        if u.ratio(9_u8, 10_u8)? {
            record.name = format!("new-{}", record.name).parse().unwrap();
            records.push(record);
        }
    }
    Ok(TargetView::build(records))
}

fn draw_service_config(u: &mut Unstructured<'_>) -> Result<ServiceConfig> {
    let mut service_config = test_service_config();
    if u.arbitrary()? {
        service_config.prefer = AnswerPreference::Latency;
    }
    service_config.coverage_min = *u.choose(&[0.0, 0.5, 1.0])?;
    service_config.extra_load = *u.choose(&[0.0, 0.05, 0.2])?;
    Ok(service_config)
}

fn draw_params(u: &mut Unstructured<'_>) -> Result<SearchParams> {
    let key: bool = u.ratio(1_u8, 5_u8)?;
    let early: bool = u.ratio(1_u8, 5_u8)?;
    Ok(SearchParams {
        key: key.then(|| "permit-12".into()),
        deadline: early.then(|| START + Duration::from_millis(40)),
        nested: u.arbitrary()?,
        ..SearchParams::default()
    })
}

/// The state and configuration of a service, and the attempts of all searches run on them.
struct SearchCase {
    state: Arc<ServiceState>,
    service_config: Arc<ServiceConfig>,
    first_attempts: u32,
    /// Hedges, and retries of attempts that may have run or were shed.
    budgeted: u32,
    /// Retries of attempts that cost their target nothing.
    costless: u32,
}

impl SearchCase {
    fn draw(u: &mut Unstructured<'_>) -> Result<Self> {
        Ok(Self {
            state: new_state(),
            service_config: Arc::new(draw_service_config(u)?),
            first_attempts: 0,
            budgeted: 0,
            costless: 0,
        })
    }

    fn search(&mut self, u: &mut Unstructured<'_>) -> Result<(SearchParams, RunTrace)> {
        let old = grid(5, u.int_in_range(1..=9)?, u.int_in_range(1..=3)?);
        let view = Arc::new(TargetView::build(old.clone()));
        let params = draw_params(u)?;
        let mut events = EventQueue::default();
        if u.arbitrary()? {
            let at = START + Duration::from_millis(u.int_in_range(1..=100)?);
            events.push(at, LoopEvent::View(Arc::new(rolled_out_view(u, &old, 5)?)));
        }
        let faults = NetworkFaults::draw(u)?;
        let mut rng = seeded(u.arbitrary()?);
        let permit = permit(&self.state, START);
        let service_config = Arc::clone(&self.service_config);
        let run = SearchRun::start(
            permit,
            service_config,
            view,
            params.clone(),
            START,
            &mut rng,
        )
        .unwrap();
        let mut network = |spec: &AttemptSpec, _: MonoTime| faults.answer(u, spec).unwrap();
        let trace = drive_search(run, START, events, &mut network, &mut rng);
        self.count(&trace);
        Ok((params, trace))
    }

    fn count(&mut self, trace: &RunTrace) {
        for spec in &trace.sent {
            match spec.kind {
                AttemptKind::First => self.first_attempts += 1,
                AttemptKind::Retry(RetryReason::VersionGone) | AttemptKind::Restart => {}
                AttemptKind::Retry(RetryReason::Refused | RetryReason::NotSent) => {
                    self.costless += 1;
                }
                AttemptKind::Hedge | AttemptKind::Retry(_) => self.budgeted += 1,
            }
        }
    }
}

/// Runs `property` with each of the seeds from 1 to `seeds`.
fn for_seeds(seeds: u64, property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for seed in 1..=seeds {
        // arbtest reads the size of the random input in bytes from the low 32 bits of a seed.
        arbtest::arbtest(property).seed((seed << 32) | 32_768);
    }
}

fn shards_of_hits(answer: &SearchAnswer) -> BTreeSet<u32> {
    let shard = |id: &str| id.split('/').nth(1).unwrap().parse().unwrap();
    answer.hits.iter().map(|hit| shard(&hit.id)).collect()
}

fn finishes_by_its_deadline(u: &mut Unstructured<'_>) -> Result<()> {
    // `drive_search` panics if a run finishes twice or never.
    let (params, trace) = SearchCase::draw(u)?.search(u)?;
    let service_deadline = START + test_service_config().deadline;
    let deadline = params
        .deadline
        .unwrap_or(service_deadline)
        .min(service_deadline);
    assert!(trace.finished_at <= deadline);
    Ok(())
}

#[test]
fn every_search_finishes_once_and_by_its_deadline() {
    for_seeds(SEEDS, finishes_by_its_deadline);
}

fn answer_is_one_snapshot(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = SearchCase::draw(u)?;
    let (_, trace) = case.search(u)?;
    let Ok(answer) = trace.outcome.answer else {
        return Ok(());
    };
    let prefix = format!("{}/", answer.version);
    assert!(answer.hits.iter().all(|hit| hit.id.starts_with(&prefix)));
    let ids: BTreeSet<&str> = answer.hits.iter().map(|hit| &*hit.id).collect();
    assert_eq!(ids.len(), answer.hits.len());
    let included = shards_of_hits(&answer);
    let missing: BTreeSet<u32> = answer.missing.iter().copied().collect();
    assert_eq!(included.len(), answer.answered as usize);
    assert!(included.is_disjoint(&missing));
    assert_eq!(included.len() + missing.len(), answer.shards as usize);
    let coverage = f64::from(answer.answered) / f64::from(answer.shards);
    assert!(coverage >= case.service_config.coverage_min && answer.answered > 0);
    Ok(())
}

#[test]
fn every_answer_is_one_snapshot_with_true_coverage() {
    for_seeds(SEEDS, answer_is_one_snapshot);
}

fn extra_attempts_stay_within_budget(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = SearchCase::draw(u)?;
    for _ in 0..SEARCHES_PER_BUDGET {
        case.search(u)?;
        let earned = f64::from(case.first_attempts) * case.service_config.extra_load;
        assert!(f64::from(case.budgeted) <= BURST + earned);
        assert!(f64::from(case.budgeted + case.costless) <= 2.0 * BURST + earned);
    }
    Ok(())
}

#[test]
fn hedges_and_retries_stay_within_the_budget() {
    for_seeds(BUDGET_SEEDS, extra_attempts_stay_within_budget);
}

fn leaves_no_attempt_counted(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = SearchCase::draw(u)?;
    let (_, trace) = case.search(u)?;
    assert_eq!(case.state.gauges().in_flight, 0);
    for spec in &trace.sent {
        let gauges = case.state.target_gauges(&spec.target.name).unwrap();
        assert_eq!(gauges.in_flight, 0);
    }
    Ok(())
}

#[test]
fn a_finished_search_leaves_no_attempt_counted() {
    for_seeds(SEEDS, leaves_no_attempt_counted);
}

fn not_run_leaves_no_attempt_in_flight(u: &mut Unstructured<'_>) -> Result<()> {
    let (_, trace) = SearchCase::draw(u)?.search(u)?;
    let Err(refusal) = trace.outcome.answer else {
        return Ok(());
    };
    if refusal.verdict == RunVerdict::NotRun {
        // Every attempt was confirmed as not run, so none was left to cancel.
        assert!(trace.cancelled.is_empty());
    }
    Ok(())
}

#[test]
fn a_refusal_as_not_run_leaves_no_attempt_in_flight() {
    for_seeds(SEEDS, not_run_leaves_no_attempt_in_flight);
}
