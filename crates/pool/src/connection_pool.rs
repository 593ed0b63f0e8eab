//! A connection pool to one target, bounded by this VM's share of the target.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarweir_base::{TimerService, lock};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::TaskTracker,
};

use crate::{
    cancel::cancel_attempt,
    connection::TargetConnection,
    exchange::run_exchange,
    queue::{RequestPermit, RequestQueue},
    request::{RequestKind, Result, TargetAnswer, TargetError, TargetFault, TargetRequest},
    slots::ConnectionSlots,
};

const CONNECT_TIMEOUT_MS: u64 = 1000;
const CANCEL_TIMEOUT_MS: u64 = 50;
/// Time that an abandoned request may still take before its connection is closed, in milliseconds.
const LINGER_MS: u64 = 500;
/// Interval at which a request looks for a free connection while all are in use, in milliseconds.
const CONNECTION_POLL_INTERVAL_MS: u64 = 2;

/// The connections and concurrent requests of one target that this VM may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetShare {
    /// Largest number of connections, including the one reserved for cancellation.
    pub connections: u32,
    /// Largest number of requests in flight.
    pub concurrency: u32,
}

impl TargetShare {
    /// Returns how many connections may carry requests; one is reserved for cancellation when the
    /// share has two or more.
    #[must_use]
    pub const fn request_connections(self) -> u32 {
        if self.connections > 1 {
            self.connections - 1
        } else {
            self.connections
        }
    }

    const fn cancel_reserve(self) -> u32 {
        self.connections - self.request_connections()
    }

    fn request_limit(self) -> usize {
        self.concurrency.min(self.request_connections()) as usize
    }
}

/// The connections and requests in flight of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolUsage {
    /// Open connections.
    pub connections: u32,
    /// Requests sent to the target that it has not answered.
    pub running: usize,
}

/// Sends attempts to one target within this VM's share of it.
///
/// Clones share the same connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    address: SocketAddr,
    timer: TimerService,
    tasks: TaskTracker,
    queue: Arc<RequestQueue>,
    slots: Arc<ConnectionSlots>,
    share: Mutex<TargetShare>,
    idle: Mutex<Vec<TargetConnection>>,
}

impl ConnectionPool {
    /// Creates a pool for the target at `address` and spawns its tasks on `tasks`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        share: TargetShare,
        timer: TimerService,
        tasks: TaskTracker,
    ) -> Self {
        let shared = PoolShared {
            address,
            timer,
            tasks,
            queue: Arc::new(RequestQueue::new(share.request_limit())),
            slots: Arc::default(),
            share: Mutex::new(share),
            idle: Mutex::default(),
        };
        shared.slots.set_limit(share.connections);
        let pool = Self {
            shared: Arc::new(shared),
        };
        pool.warm_up();
        pool
    }

    /// Returns the address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the current number of connections and requests in flight.
    #[must_use]
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            connections: self.shared.slots.held(),
            running: self.shared.queue.running(),
        }
    }

    /// Changes the share. Requests in flight finish; connections beyond the share close once idle.
    pub fn set_share(&self, share: TargetShare) {
        {
            let mut current = lock(&self.shared.share);
            if *current == share {
                return;
            }
            *current = share;
        }
        self.shared.slots.set_limit(share.connections);
        self.shared.queue.set_limit(share.request_limit());
        if share.connections == 0 {
            lock(&self.shared.idle).clear();
        }
        self.shared.trim_idle();
        self.warm_up();
    }

    /// Sends one attempt and returns its answer, or an error once its deadline has passed.
    ///
    /// Dropping the returned future cancels the attempt at the target.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetError`] whose verdict says whether the target may have run the attempt.
    pub async fn send(&self, request: TargetRequest) -> Result<TargetAnswer> {
        let shared = &self.shared;
        let permit = tokio::select! {
            permit = shared.queue.acquire(request.deadline) => permit?,
            () = shared.timer.sleep_until(request.deadline) => {
                return Err(TargetError::not_run(TargetFault::QueueTimeout));
            }
        };
        let (sender, receiver) = oneshot::channel();
        let stop = CancellationToken::new();
        let _guard: DropGuard = stop.clone().drop_guard();
        let run = Arc::clone(shared).run_attempt(request, permit, stop, sender);
        shared.tasks.spawn(run);
        receiver
            .await
            .unwrap_or(Err(TargetError::may_have_run(TargetFault::Broken)))
    }

    /// Opens connections ahead of requests, one after another to limit the load on the target.
    fn warm_up(&self) {
        let shared = Arc::clone(&self.shared);
        let warm_count = lock(&shared.share).request_limit();
        self.shared.tasks.spawn(async move {
            while (shared.slots.held() as usize) < warm_count {
                let Some(connection) = shared.open_for_requests().await else {
                    return;
                };
                shared.return_connection(connection);
            }
        });
    }
}

impl PoolShared {
    async fn run_attempt(
        self: Arc<Self>,
        request: TargetRequest,
        permit: RequestPermit,
        stop: CancellationToken,
        sender: oneshot::Sender<Result<TargetAnswer>>,
    ) {
        let connection = tokio::select! {
            connection = self.acquire_connection() => connection,
            () = self.timer.sleep_until(request.deadline) => None,
            () = stop.cancelled() => None,
        };
        let Some(mut connection) = connection else {
            let _ = sender.send(Err(TargetError::not_run(TargetFault::Connect)));
            return;
        };
        let mut exchange = Box::pin(run_exchange(&mut connection, &request, self.timer.now()));
        let finished = tokio::select! {
            result = &mut exchange => Some(result),
            () = self.timer.sleep_until(request.deadline) => None,
            () = stop.cancelled() => None,
        };
        if let Some(result) = finished {
            drop(exchange);
            self.finish_attempt(connection, &result);
            drop(permit);
            let _ = sender.send(result);
            return;
        }
        let fault = if stop.is_cancelled() {
            TargetFault::Cancelled
        } else {
            TargetFault::Timeout
        };
        self.abandon_attempt(&request, fault, sender).await;
        // The request occupies its slot at the target until the reply or the end of its connection.
        if let Ok(result) = timeout(Duration::from_millis(LINGER_MS), exchange).await {
            self.finish_attempt(connection, &result);
        }
        drop(permit);
    }

    /// Cancels the attempt at the target and reports the error to the caller.
    ///
    /// The caller of a search gets the error at once; that of an act waits for the target's
    /// reply to the cancellation, which may prove that the act has not run.
    async fn abandon_attempt(
        &self,
        request: &TargetRequest,
        fault: TargetFault,
        sender: oneshot::Sender<Result<TargetAnswer>>,
    ) {
        let unconfirmed = TargetError::may_have_run(fault);
        if request.kind == RequestKind::Search {
            let _ = sender.send(Err(unconfirmed));
            self.cancel(&request.attempt).await;
            return;
        }
        let error = if self.cancel_for_proof(&request.attempt).await {
            TargetError::not_run(fault)
        } else {
            unconfirmed
        };
        let _ = sender.send(Err(error));
    }

    /// Cancels an attempt, whatever the target replies.
    async fn cancel(&self, attempt: &str) {
        let cancellation = async {
            let idle = lock(&self.idle).pop().filter(TargetConnection::is_reusable);
            let mut connection = match idle {
                Some(connection) => connection,
                // May take the connection slot that is reserved for cancellation.
                None => self.try_open(0).await?,
            };
            cancel_attempt(&mut connection, attempt).await;
            self.return_connection(connection);
            Some(())
        };
        // After the time limit, the end of the attempt's connection tells the target.
        let _ = timeout(Duration::from_millis(CANCEL_TIMEOUT_MS), cancellation).await;
    }

    /// Cancels an attempt and returns whether the target confirms that it has not run and will not run.
    ///
    /// The reply names no attempt, so it counts only on a connection that has carried nothing else.
    async fn cancel_for_proof(&self, attempt: &str) -> bool {
        let cancellation = async {
            let mut connection = self.try_open(0).await?;
            Some(cancel_attempt(&mut connection, attempt).await)
        };
        let time_limit = Duration::from_millis(CANCEL_TIMEOUT_MS);
        matches!(timeout(time_limit, cancellation).await, Ok(Some(true)))
    }

    /// Returns the connection to the pool after an answer or a refusal with the verdict not-run,
    /// and closes it after any other result.
    fn finish_attempt(&self, connection: TargetConnection, result: &Result<TargetAnswer>) {
        let keeps_connection = match result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, TargetFault::Shed | TargetFault::VersionGone),
        };
        if keeps_connection {
            self.return_connection(connection);
        }
    }

    fn return_connection(&self, connection: TargetConnection) {
        if !connection.is_closed() && !self.slots.is_over_limit() {
            lock(&self.idle).push(connection);
        }
    }

    fn trim_idle(&self) {
        let excess = self
            .slots
            .held()
            .saturating_sub(lock(&self.share).connections);
        let mut idle = lock(&self.idle);
        let kept = idle.len().saturating_sub(excess as usize);
        idle.truncate(kept);
    }

    /// Returns an idle connection or opens a new one; waits while all connections are in use.
    async fn acquire_connection(&self) -> Option<TargetConnection> {
        loop {
            while let Some(connection) = pop_idle(&self.idle) {
                if connection.is_reusable() {
                    return Some(connection);
                }
            }
            let reserve = lock(&self.share).cancel_reserve();
            if let Some(slot) = self.slots.try_acquire(reserve) {
                return self.connect(slot).await;
            }
            sleep(Duration::from_millis(CONNECTION_POLL_INTERVAL_MS)).await;
        }
    }

    async fn open_for_requests(&self) -> Option<TargetConnection> {
        let reserve = lock(&self.share).cancel_reserve();
        self.try_open(reserve).await
    }

    async fn try_open(&self, reserve: u32) -> Option<TargetConnection> {
        let slot = self.slots.try_acquire(reserve)?;
        self.connect(slot).await
    }

    async fn connect(&self, slot: crate::slots::ConnectionSlot) -> Option<TargetConnection> {
        let time_limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let opening = TargetConnection::open(self.address, slot, &self.tasks);
        timeout(time_limit, opening).await.ok().flatten()
    }
}

fn pop_idle(idle: &Mutex<Vec<TargetConnection>>) -> Option<TargetConnection> {
    lock(idle).pop()
}
