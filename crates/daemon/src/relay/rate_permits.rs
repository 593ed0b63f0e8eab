//! The permits that this VM holds for rates over all VMs, and the requests that wait for them.
//!
//! Load pattern: most requests find no permit and wait for one call to the nearest keeper. Requests
//! of a tenant over its quota are told so without a call, as long as keepers have said so.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use fulmarweir_base::{MonoTime, TimerService, lock};
use fulmarweir_permits::{
    RateCall, RateGrant, RateKey, RateLedger, RateLimit, RateState, RequestRank, SendPermit,
    WaitTimes,
};
use tokio::sync::Notify;

/// What became of a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RateOutcome {
    /// The request may run. A permit that is not used should be given back.
    Granted(SendPermit),
    /// All keepers that can be asked have refused.
    Denied {
        /// When one of them can be asked again.
        until: MonoTime,
    },
    /// No keeper can be reached, or none has replied by the deadline.
    NoKeeper,
}

/// The permits for rates over all VMs. Nobody else locks the ledger.
pub(crate) struct RatePermits {
    ledger: Mutex<RateLedger>,
    timer: TimerService,
    /// Wakes the task that asks keepers.
    wanted: Arc<Notify>,
    /// Wakes the requests that wait for a permit.
    changed: Notify,
    last_ticket: AtomicU64,
}

/// Removes a request from those that wait, also if its caller has left.
struct WaitGuard<'a> {
    permits: &'a RatePermits,
    key: &'a RateKey,
    ticket: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(&self.permits.ledger).stop_waiting(self.key, self.ticket);
    }
}

impl RatePermits {
    /// `wanted` wakes the task that asks keepers.
    pub(crate) fn new(timer: TimerService, wanted: Arc<Notify>) -> Self {
        Self {
            ledger: Mutex::default(),
            timer,
            wanted,
            changed: Notify::new(),
            last_ticket: AtomicU64::new(0),
        }
    }

    /// Takes a permit of `key` for one request, and waits for it up to `deadline` if keepers can be
    /// asked. `limit` is the rate as this VM knows it.
    pub(crate) async fn acquire(
        &self,
        key: &RateKey,
        limit: RateLimit,
        deadline: MonoTime,
    ) -> RateOutcome {
        let ticket = self.last_ticket.fetch_add(1, Relaxed) + 1;
        let rank = RequestRank {
            priority: 0,
            deadline,
            ticket,
        };
        {
            let now = self.timer.now();
            let mut ledger = lock(&self.ledger);
            ledger.set_limit(key, limit, now);
            ledger.record_demand(key, now);
            if let Some(outcome) = try_outcome(&mut ledger, key, rank, now) {
                return outcome;
            }
        }
        let _guard = WaitGuard {
            permits: self,
            key,
            ticket,
        };
        loop {
            // Listens before it looks, so that no change between the two is missed.
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let now = self.timer.now();
            {
                let mut ledger = lock(&self.ledger);
                if let Some(outcome) = try_outcome(&mut ledger, key, rank, now) {
                    return outcome;
                }
                if now >= deadline {
                    return RateOutcome::NoKeeper;
                }
                let times = WaitTimes {
                    retry_at: deadline,
                    usable_until: deadline,
                };
                ledger.wait(key, rank, times, now);
            }
            self.wanted.notify_one();
            tokio::select! {
                () = changed => {}
                () = self.timer.sleep_until(deadline) => {}
            }
        }
    }

    /// Gives a permit back whose request did not run. Another request may use it, or a keeper is
    /// credited.
    pub(crate) fn refund(&self, key: &RateKey, permit: SendPermit) {
        lock(&self.ledger).refund(key, permit);
        self.changed.notify_waiters();
    }

    /// Returns the calls that are due. `keepers` is ordered by distance.
    pub(super) fn due_calls(&self, keepers: &[SocketAddr], now: MonoTime) -> Vec<RateCall> {
        lock(&self.ledger).due_calls(keepers, now)
    }

    /// Returns the time after which calls may be due; `None` while no rate is in use.
    pub(super) fn poll_after(&self) -> Option<Duration> {
        lock(&self.ledger).poll_after()
    }

    /// Applies the reply to a call, `None` if there is none.
    pub(super) fn apply_reply(&self, call: &RateCall, grants: Option<&[RateGrant]>) {
        let now = self.timer.now();
        let mut ledger = lock(&self.ledger);
        match grants {
            Some(grants) => ledger.apply_grants(call, grants, now),
            None => ledger.record_failed_call(call, now),
        }
        drop(ledger);
        self.changed.notify_waiters();
    }

    /// Grants permits to this VM for the time `passed`, if it reaches no keeper.
    pub(super) fn grant_alone(&self, vms: u32, passed: Duration, now: MonoTime) {
        lock(&self.ledger).grant_alone(vms, passed, rand::random, now);
    }
}

/// Returns the outcome for a request, unless it should wait.
fn try_outcome(
    ledger: &mut RateLedger,
    key: &RateKey,
    rank: RequestRank,
    now: MonoTime,
) -> Option<RateOutcome> {
    if ledger.has_permit(key, rank, now) {
        return ledger.take(key, rank, now).map(RateOutcome::Granted);
    }
    match ledger.state(key, now) {
        RateState::Pending => None,
        RateState::Denied { until } => Some(RateOutcome::Denied { until }),
        RateState::Unreachable => Some(RateOutcome::NoKeeper),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEEPER: SocketAddr =
        SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
    const LIMIT: RateLimit = RateLimit {
        version: 1,
        per_second: 5.0,
        burst: 5.0,
    };
    /// Time for which the tests wait for an outcome that must not come.
    const PAUSE: Duration = Duration::from_millis(50);

    fn permits() -> RatePermits {
        RatePermits::new(TimerService::new(), Arc::default())
    }

    fn key() -> RateKey {
        RateKey::Tenant("club".into())
    }

    /// Runs two requests, grants `granted` permits to the first call, and returns the outcomes.
    async fn acquire_two(permits: &RatePermits, granted: u32) -> (RateOutcome, RateOutcome) {
        let key = key();
        permits.due_calls(&[KEEPER], permits.timer.now());
        let deadline = permits.timer.now() + Duration::from_secs(20);
        let grant = async {
            permits.wanted.notified().await;
            tokio::time::sleep(PAUSE).await;
            let calls = permits.due_calls(&[KEEPER], permits.timer.now());
            assert_eq!((calls.len(), calls[0].asks[0].wanted), (1, 2));
            let grant = RateGrant {
                granted,
                ask_again_after: Duration::from_secs(9),
            };
            permits.apply_reply(&calls[0], Some(&[grant]));
        };
        let (first, second, ()) = tokio::join!(
            permits.acquire(&key, LIMIT, deadline),
            permits.acquire(&key, LIMIT, deadline),
            grant,
        );
        (first, second)
    }

    /// Guards against a request that misses the permit which it waits for.
    #[tokio::test]
    async fn requests_that_wait_get_what_a_keeper_grants() {
        let permits = permits();
        let (first, second) = acquire_two(&permits, 2).await;
        assert!(matches!(first, RateOutcome::Granted(_)), "{first:?}");
        assert!(matches!(second, RateOutcome::Granted(_)), "{second:?}");
    }

    /// Guards against a request that is held, or asked for again, after all keepers have refused.
    #[tokio::test]
    async fn a_request_that_all_keepers_refuse_is_denied_until_one_can_be_asked() {
        let permits = permits();
        let (first, second) = acquire_two(&permits, 1).await;
        assert!(matches!(first, RateOutcome::Granted(_)), "{first:?}");
        let RateOutcome::Denied { until } = second else {
            panic!("{second:?}");
        };
        assert!(until > permits.timer.now() + Duration::from_secs(5));
        let third = permits.acquire(&key(), LIMIT, until).await;
        assert_eq!(third, RateOutcome::Denied { until });
    }

    /// Guards against permits that are lost when their request does not run.
    #[tokio::test]
    async fn a_permit_that_is_given_back_is_used_by_another_request() {
        let permits = permits();
        let (first, _) = acquire_two(&permits, 1).await;
        let RateOutcome::Granted(permit) = first else {
            panic!("{first:?}");
        };
        permits.refund(&key(), permit);
        let next = permits.acquire(&key(), LIMIT, MonoTime::ZERO).await;
        assert_eq!(next, RateOutcome::Granted(permit));
    }

    /// Guards against requests that wait although no keeper is known, or none replies.
    #[tokio::test]
    async fn without_a_keeper_nothing_is_granted() {
        let permits = permits();
        let deadline = permits.timer.now() + Duration::from_secs(20);
        let outcome = permits.acquire(&key(), LIMIT, deadline).await;
        assert_eq!(outcome, RateOutcome::NoKeeper);
        permits.due_calls(&[KEEPER], permits.timer.now());
        let deadline = permits.timer.now() + PAUSE;
        let outcome = permits.acquire(&key(), LIMIT, deadline).await;
        assert_eq!(outcome, RateOutcome::NoKeeper);
        assert!(permits.timer.now() >= deadline);
    }
}
