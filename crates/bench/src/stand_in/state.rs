//! State shared by all tasks of one stand-in target.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_base::{ShardHolding, TargetRecord, TargetState, lock};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{sync::Notify, time::Instant};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    call::TargetCall,
    counters::{AttemptLog, RunLog, StandInCounters},
    settings::{ReplyFault, ReportMode, StandInBehaviour, StandInSettings},
    slots::SlotLimiter,
};

/// Shared state; each part has its own lock.
#[derive(Debug)]
pub(crate) struct TargetShared {
    pub(crate) settings: StandInSettings,
    pub(crate) address: SocketAddr,
    pub(crate) limiter: SlotLimiter,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
    /// Wakes the announcer to send the next announcement immediately.
    pub(crate) announce_now: Notify,
    started: Instant,
    behaviour: Mutex<StandInBehaviour>,
    holdings: Mutex<Vec<ShardHolding>>,
    lifecycle: Mutex<LifecycleState>,
    counters: Mutex<StandInCounters>,
    runs: Mutex<RunLog>,
    attempts: Mutex<AttemptLog>,
    cancels: Mutex<HashMap<String, CancellationToken>>,
    last_call: Mutex<Option<AnsweredCall>>,
    rng: Mutex<Pcg64Mcg>,
}

#[derive(Debug)]
struct LifecycleState {
    /// State set with [`TargetShared::set_state`]; `None` derives the state from the cold start.
    forced_state: Option<TargetState>,
    drained_at: Option<Instant>,
}

/// Service time and fault drawn for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDraw {
    pub(crate) service_time: Duration,
    pub(crate) fault: Option<ReplyFault>,
}

/// Headers and body of the call that a reply answers.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredCall {
    pub(crate) call: TargetCall,
    pub(crate) body: Bytes,
}

impl TargetShared {
    pub(crate) fn new(settings: StandInSettings, address: SocketAddr) -> Self {
        let lifecycle = LifecycleState {
            forced_state: None,
            drained_at: None,
        };
        Self {
            address,
            limiter: SlotLimiter::new(settings.slots, settings.queue),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            announce_now: Notify::new(),
            started: Instant::now(),
            behaviour: Mutex::new(settings.behaviour.clone()),
            holdings: Mutex::new(settings.holdings.clone()),
            lifecycle: Mutex::new(lifecycle),
            counters: Mutex::default(),
            runs: Mutex::default(),
            attempts: Mutex::default(),
            cancels: Mutex::default(),
            last_call: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            settings,
        }
    }

    pub(crate) fn state(&self) -> TargetState {
        if let Some(state) = lock(&self.lifecycle).forced_state {
            return state;
        }
        match self.settings.cold_start {
            Some(cold) if self.started.elapsed() < cold.startup => TargetState::Starting,
            _ => TargetState::Serving,
        }
    }

    pub(crate) fn set_state(&self, state: TargetState) {
        let mut lifecycle = lock(&self.lifecycle);
        if state == TargetState::Draining && lifecycle.drained_at.is_none() {
            lifecycle.drained_at = Some(Instant::now());
        }
        lifecycle.forced_state = Some(state);
        drop(lifecycle);
        self.announce_now.notify_one();
    }

    pub(crate) fn time_since_drain(&self) -> Option<Duration> {
        lock(&self.lifecycle).drained_at.map(|at| at.elapsed())
    }

    pub(crate) fn record(&self) -> TargetRecord {
        TargetRecord {
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            address: self.address,
            incarnation: self.settings.incarnation,
            state: self.state(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            versions: lock(&self.holdings).clone(),
        }
    }

    pub(crate) fn holds(&self, holding: ShardHolding) -> bool {
        lock(&self.holdings).contains(&holding)
    }

    pub(crate) fn change_holdings(&self, change: impl FnOnce(&mut Vec<ShardHolding>)) {
        change(&mut lock(&self.holdings));
        self.announce_now.notify_one();
    }

    pub(crate) fn set_behaviour(&self, behaviour: StandInBehaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    pub(crate) fn report_mode(&self) -> ReportMode {
        lock(&self.behaviour).report_mode
    }

    pub(crate) fn draw(&self) -> RequestDraw {
        let behaviour = lock(&self.behaviour);
        let mut rng = lock(&self.rng);
        let service_time = behaviour.service_time.sample(&mut *rng);
        RequestDraw {
            service_time: service_time.mul_f64(behaviour.slowdown * self.warm_up_factor()),
            fault: behaviour.draw_fault(&mut *rng),
        }
    }

    fn warm_up_factor(&self) -> f64 {
        match self.settings.cold_start {
            Some(cold) if self.started.elapsed() < cold.startup + cold.warm_up => cold.slowdown,
            _ => 1.0,
        }
    }

    pub(crate) fn update_counters(&self, change: impl FnOnce(&mut StandInCounters)) {
        change(&mut lock(&self.counters));
    }

    pub(crate) fn counters(&self) -> StandInCounters {
        let mut counters = lock(&self.counters).clone();
        counters.running_max = self.limiter.running_max();
        counters
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, RunLog> {
        lock(&self.runs)
    }

    pub(crate) fn attempts(&self) -> MutexGuard<'_, AttemptLog> {
        lock(&self.attempts)
    }

    /// Registers an attempt, which can be cancelled until the guard is dropped.
    pub(crate) fn register_attempt(&self, attempt: &str) -> CancelGuard<'_> {
        let token = CancellationToken::new();
        lock(&self.cancels).insert(attempt.to_owned(), token.clone());
        CancelGuard {
            shared: self,
            attempt: attempt.to_owned(),
            token,
        }
    }

    pub(crate) fn signal_cancel(&self, attempt: &str) {
        if let Some(token) = lock(&self.cancels).get(attempt) {
            token.cancel();
        }
    }

    /// Stores `call` and returns the previous call, for crossed replies.
    pub(crate) fn replace_last_call(&self, call: AnsweredCall) -> Option<AnsweredCall> {
        lock(&self.last_call).replace(call)
    }
}

/// Registration of a cancellable attempt, removed on drop.
#[derive(Debug)]
pub(crate) struct CancelGuard<'a> {
    shared: &'a TargetShared,
    attempt: String,
    pub(crate) token: CancellationToken,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.cancels).remove(&self.attempt);
    }
}
