//! This VM's share of one target.

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
    queue::{SlotPermit, SlotQueue},
    request::{RequestKind, Result, TargetAnswer, TargetError, TargetFault, TargetRequest},
    slots::ConnectionSlots,
};

const CONNECT_TIMEOUT_MS: u64 = 1000;
const CANCEL_TIMEOUT_MS: u64 = 50;
/// Time that a cancelled request may still take before its connection is closed.
const LINGER_MS: u64 = 500;
/// Pause between attempts at a connection while the whole share is in use.
const CONNECTION_WAIT_MS: u64 = 2;

/// What this VM may use of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkShare {
    /// Connections, those for cancellation included.
    pub connections: u32,
    /// Requests that the target is given at once.
    pub concurrency: u32,
}

impl LinkShare {
    /// Connections that may carry requests; one is kept for cancellation when there are two or more.
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

/// What a link holds at present.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolUsage {
    /// Open connections.
    pub connections: u32,
    /// Requests that the target was given and has not answered.
    pub running: usize,
}

/// Sends attempts to one target within a share.
///
/// Cloning shares the link.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    address: SocketAddr,
    timer: TimerService,
    tasks: TaskTracker,
    queue: Arc<SlotQueue>,
    slots: Arc<ConnectionSlots>,
    share: Mutex<LinkShare>,
    idle: Mutex<Vec<TargetConnection>>,
}

impl ConnectionPool {
    /// A link to the target at `address`; its tasks are joined through `tasks`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        share: LinkShare,
        timer: TimerService,
        tasks: TaskTracker,
    ) -> Self {
        let shared = PoolShared {
            address,
            timer,
            tasks,
            queue: Arc::new(SlotQueue::new(share.request_limit())),
            slots: Arc::default(),
            share: Mutex::new(share),
            idle: Mutex::default(),
        };
        shared.slots.set_limit(share.connections);
        let link = Self {
            shared: Arc::new(shared),
        };
        link.warm_up();
        link
    }

    /// The address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// What the link holds at present.
    #[must_use]
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            connections: self.shared.slots.held(),
            running: self.shared.queue.running(),
        }
    }

    /// Changes the share. Requests in flight finish; connections beyond the share close as they fall idle.
    pub fn set_share(&self, share: LinkShare) {
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

    /// Sends one attempt and waits for its answer, at most until its deadline.
    ///
    /// Dropping the returned future cancels the attempt at the target.
    ///
    /// # Errors
    ///
    /// A [`TargetError`] whose verdict tells whether the target may have run the attempt.
    pub async fn send(&self, request: TargetRequest) -> Result<TargetAnswer> {
        let shared = &self.shared;
        let acquired = tokio::select! {
            acquired = shared.queue.acquire(request.deadline) => acquired?,
            () = shared.timer.sleep_until(request.deadline) => {
                return Err(TargetError::not_run(TargetFault::QueueTimeout));
            }
        };
        let (reply, receiver) = oneshot::channel();
        let stop = CancellationToken::new();
        let _guard: DropGuard = stop.clone().drop_guard();
        let run = Arc::clone(shared).run_attempt(request, acquired, stop, reply);
        shared.tasks.spawn(run);
        receiver
            .await
            .unwrap_or(Err(TargetError::may_have_run(TargetFault::Broken)))
    }

    /// Opens connections ahead of need, one after another to spare the target.
    fn warm_up(&self) {
        let shared = Arc::clone(&self.shared);
        let wanted = lock(&shared.share).request_limit();
        self.shared.tasks.spawn(async move {
            while (shared.slots.held() as usize) < wanted {
                let Some(connection) = shared.open_connection().await else {
                    return;
                };
                shared.give_back(connection);
            }
        });
    }
}

impl PoolShared {
    async fn run_attempt(
        self: Arc<Self>,
        request: TargetRequest,
        permit: SlotPermit,
        stop: CancellationToken,
        reply: oneshot::Sender<Result<TargetAnswer>>,
    ) {
        let connection = tokio::select! {
            connection = self.take_connection() => connection,
            () = self.timer.sleep_until(request.deadline) => None,
            () = stop.cancelled() => None,
        };
        let Some(mut connection) = connection else {
            let _ = reply.send(Err(TargetError::not_run(TargetFault::Connect)));
            return;
        };
        let mut exchange = Box::pin(run_exchange(&mut connection, &request, self.timer.now()));
        let early = tokio::select! {
            result = &mut exchange => Some(result),
            () = self.timer.sleep_until(request.deadline) => None,
            () = stop.cancelled() => None,
        };
        if let Some(result) = early {
            drop(exchange);
            self.finish_attempt(connection, &result);
            drop(permit);
            let _ = reply.send(result);
            return;
        }
        let fault = if stop.is_cancelled() {
            TargetFault::Cancelled
        } else {
            TargetFault::Timeout
        };
        self.abandon_attempt(&request, fault, reply).await;
        // The slot at the target is free only once it has answered or lost the connection.
        if let Ok(result) = timeout(Duration::from_millis(LINGER_MS), exchange).await {
            self.finish_attempt(connection, &result);
        }
        drop(permit);
    }

    /// Tells the target to stop, and the waiting caller what is known.
    async fn abandon_attempt(
        &self,
        request: &TargetRequest,
        fault: TargetFault,
        reply: oneshot::Sender<Result<TargetAnswer>>,
    ) {
        let undecided = TargetError::may_have_run(fault);
        if request.kind == RequestKind::Search {
            let _ = reply.send(Err(undecided));
            self.cancel(&request.attempt).await;
            return;
        }
        let error = if self.cancel(&request.attempt).await {
            TargetError::not_run(fault)
        } else {
            undecided
        };
        let _ = reply.send(Err(error));
    }

    async fn cancel(&self, attempt: &str) -> bool {
        let patience = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let cancelling = async {
            let idle = lock(&self.idle).pop().filter(TargetConnection::is_reusable);
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open_within(0).await?,
            };
            let not_run = cancel_attempt(&mut connection, attempt).await;
            self.give_back(connection);
            Some(not_run)
        };
        matches!(timeout(patience, cancelling).await, Ok(Some(true)))
    }

    /// Keeps the connection of a clean exchange and closes any other.
    fn finish_attempt(&self, connection: TargetConnection, result: &Result<TargetAnswer>) {
        let clean = match result {
            Ok(_) => true,
            Err(error) => matches!(error.fault, TargetFault::Shed | TargetFault::VersionGone),
        };
        if clean {
            self.give_back(connection);
        }
    }

    fn give_back(&self, connection: TargetConnection) {
        if !connection.sender.is_closed() && !self.slots.is_over_limit() {
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

    /// An idle connection, or a new one; waits while the whole share is in use.
    async fn take_connection(&self) -> Option<TargetConnection> {
        loop {
            while let Some(connection) = pop_idle(&self.idle) {
                if connection.is_reusable() {
                    return Some(connection);
                }
            }
            let reserve = lock(&self.share).cancel_reserve();
            if let Some(slot) = self.slots.take(reserve) {
                return self.connect(slot).await;
            }
            sleep(Duration::from_millis(CONNECTION_WAIT_MS)).await;
        }
    }

    async fn open_connection(&self) -> Option<TargetConnection> {
        let reserve = lock(&self.share).cancel_reserve();
        self.open_within(reserve).await
    }

    async fn open_within(&self, reserve: u32) -> Option<TargetConnection> {
        let slot = self.slots.take(reserve)?;
        self.connect(slot).await
    }

    async fn connect(&self, slot: crate::slots::ConnectionSlot) -> Option<TargetConnection> {
        let patience = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let opening = TargetConnection::open(self.address, slot, &self.tasks);
        timeout(patience, opening).await.ok().flatten()
    }
}

fn pop_idle(idle: &Mutex<Vec<TargetConnection>>) -> Option<TargetConnection> {
    lock(idle).pop()
}
