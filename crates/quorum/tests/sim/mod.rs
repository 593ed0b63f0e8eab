//! Simulates voters that crash and lose unsynced writes, and links that lose, duplicate and
//! reorder messages.
//!
//! A simulation runs on one thread with paused time, so its seed determines the whole run.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use fulmarweir_base::{MonoTime, TimerService, VmName};
use fulmarweir_quorum::{
    Acceptor, ClientSettings, ProposerId, QuorumClient, VoterIdentity, VoterMember, VoterRecord,
    VoterReply, VoterRequest, VoterSet,
};
use futures::FutureExt as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A voter and its disk.
pub(crate) struct SimVoter {
    pub(crate) name: VmName,
    pub(crate) identity: VoterIdentity,
    pub(crate) acceptor: Option<Acceptor>,
    disk: Vec<VoterRecord>,
    unsynced: Vec<VoterRecord>,
    incarnation: u64,
}

/// Probabilities of lost and duplicated messages, and the maximum delay of messages and syncs.
#[derive(Clone, Copy)]
pub(crate) struct SimFaults {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) delay_max_ms: u64,
}

pub(crate) const RELIABLE: SimFaults = SimFaults {
    loss: 0.0,
    duplicate: 0.0,
    delay_max_ms: 3,
};

pub(crate) const LOSSY: SimFaults = SimFaults {
    loss: 0.1,
    duplicate: 0.1,
    delay_max_ms: 40,
};

pub(crate) struct SimState {
    pub(crate) voters: BTreeMap<SocketAddr, SimVoter>,
    pub(crate) faults: SimFaults,
    /// Pairs of a client number and a voter address between which no message is delivered.
    pub(crate) blocked_links: BTreeSet<(u64, SocketAddr)>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) requests: u64,
    /// See [`ClientSettings::first_majority_after`], for clients that are created later.
    pub(crate) first_majority_after: Option<Duration>,
    first_set: VoterSet,
    retention: Duration,
}

#[derive(Clone)]
pub(crate) struct SimNet {
    state: Arc<Mutex<SimState>>,
    pub(crate) timer: TimerService,
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

pub(crate) fn vm(number: u16) -> VmName {
    format!("vm-{number}").parse().unwrap()
}

impl SimNet {
    /// Creates `vms` VMs with disks. The first `voters` of them form the initial voter set.
    pub(crate) fn new(seed: u64, vms: u16, voters: u16, retention: Duration) -> Self {
        let first = (0..voters).map(|number| (vm(number), address(number)));
        let state = SimState {
            voters: BTreeMap::new(),
            faults: RELIABLE,
            blocked_links: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: 0,
            first_majority_after: None,
            first_set: VoterSet::from_settings(first),
            retention,
        };
        let net = Self {
            state: Arc::new(Mutex::new(state)),
            timer: TimerService::new(),
        };
        for number in 0..vms {
            net.replace_disk(number);
        }
        net
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SimState> {
        self.state.lock().unwrap()
    }

    pub(crate) fn chance(&self, share: f64) -> bool {
        self.lock().rng.random_bool(share)
    }

    pub(crate) fn random_below(&self, limit: u64) -> u64 {
        self.lock().rng.random_range(0..limit)
    }

    /// Replaces the VM's disk by an empty one and restarts the VM.
    pub(crate) fn replace_disk(&self, number: u16) {
        let mut state = self.lock();
        let identity = VoterIdentity(state.rng.random::<u64>().max(1));
        let incarnation = state
            .voters
            .get(&address(number))
            .map_or(0, |v| v.incarnation + 1);
        let voter = SimVoter {
            name: vm(number),
            identity,
            acceptor: None,
            disk: Vec::new(),
            unsynced: Vec::new(),
            incarnation,
        };
        state.voters.insert(address(number), voter);
        drop(state);
        self.restart(number);
    }

    /// Replaces the VM's disk by an empty one and restarts the VM, which knows that this is no first start.
    pub(crate) fn replace_disk_later(&self, number: u16) {
        let first_set = std::mem::take(&mut self.lock().first_set);
        self.replace_disk(number);
        self.lock().first_set = first_set;
    }

    /// Crashes the VM. A random part of its unsynced records is lost.
    pub(crate) fn crash(&self, number: u16) {
        let mut state = self.lock();
        let share: f64 = state.rng.random();
        let voter = state.voters.get_mut(&address(number)).unwrap();
        voter.acceptor = None;
        voter.incarnation += 1;
        let mut unsynced = std::mem::take(&mut voter.unsynced);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small counts"
        )]
        unsynced.truncate((unsynced.len() as f64 * share) as usize);
        voter.disk.extend(unsynced);
    }

    pub(crate) fn restart(&self, number: u16) {
        let now = self.timer.now();
        let mut state = self.lock();
        let (first_set, retention) = (state.first_set.clone(), state.retention);
        let voter = state.voters.get_mut(&address(number)).unwrap();
        let acceptor = Acceptor::new(voter.name.clone(), voter.identity, first_set, retention);
        for record in &voter.disk {
            acceptor.replay(now, record.clone());
        }
        voter.acceptor = Some(acceptor);
    }

    pub(crate) fn is_up(&self, number: u16) -> bool {
        self.lock().voters[&address(number)].acceptor.is_some()
    }

    pub(crate) fn member(&self, number: u16) -> VoterMember {
        let identity = self.lock().voters[&address(number)].identity;
        VoterMember {
            name: vm(number),
            identity,
            address: address(number),
        }
    }

    pub(crate) fn with_acceptor<T>(&self, number: u16, inspect: impl FnOnce(&Acceptor) -> T) -> T {
        inspect(
            self.lock().voters[&address(number)]
                .acceptor
                .as_ref()
                .unwrap(),
        )
    }

    /// Creates a client with a new proposer. `number` identifies it in the blocked links.
    pub(crate) fn client(&self, number: u64) -> Arc<QuorumClient> {
        let settings = {
            let mut state = self.lock();
            let mut settings = ClientSettings::new(state.first_set.clone());
            settings.first_majority_after = state.first_majority_after;
            settings.proposer = ProposerId(state.rng.random());
            settings.seed = state.rng.random();
            settings
        };
        let net = self.clone();
        let transport = Arc::new(move |member: VoterMember, request| {
            let net = net.clone();
            async move { net.transmit(number, member.address, request).await }.boxed()
        });
        Arc::new(QuorumClient::new(settings, transport, self.timer.clone()))
    }

    async fn transmit(
        &self,
        from: u64,
        to: SocketAddr,
        request: VoterRequest,
    ) -> Option<VoterReply> {
        self.lock().requests += 1;
        if self.is_dropped(from, to) {
            return None;
        }
        self.delay().await;
        let duplicate = self.lock().faults.duplicate;
        if self.chance(duplicate) {
            let (net, request) = (self.clone(), request.clone());
            tokio::spawn(async move {
                net.delay().await;
                net.delay().await;
                net.deliver(to, &request).await
            });
        }
        let reply = self.deliver(to, &request).await?;
        self.delay().await;
        (!self.is_dropped(from, to)).then_some(reply)
    }

    fn is_dropped(&self, from: u64, to: SocketAddr) -> bool {
        let mut state = self.lock();
        let loss = state.faults.loss;
        state.rng.random_bool(loss) || state.blocked_links.contains(&(from, to))
    }

    async fn delay(&self) {
        let limit = self.lock().faults.delay_max_ms * 1000;
        let micros = self.random_below(limit + 1);
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }

    /// Handles the request and syncs the disk before it returns the reply.
    ///
    /// No reply is returned if the VM crashes or is down.
    async fn deliver(&self, to: SocketAddr, request: &VoterRequest) -> Option<VoterReply> {
        let now: MonoTime = self.timer.now();
        let (reply, end, incarnation) = {
            let mut state = self.lock();
            let voter = state.voters.get_mut(&to)?;
            let unsynced = &mut voter.unsynced;
            let acceptor = voter.acceptor.as_ref()?;
            let reply = acceptor.handle(now, request, &mut |record| unsynced.push(record));
            (
                reply,
                voter.disk.len() + voter.unsynced.len(),
                voter.incarnation,
            )
        };
        self.delay().await;
        let mut state = self.lock();
        let voter = state.voters.get_mut(&to)?;
        if voter.incarnation != incarnation {
            return None;
        }
        let count = end.saturating_sub(voter.disk.len());
        let synced: Vec<_> = voter.unsynced.drain(..count).collect();
        voter.disk.extend(synced);
        Some(reply)
    }
}

/// Runs `test` for `default_count` seeds, or for as many as `FULMARWEIR_SEEDS` says, starting with
/// `FULMARWEIR_FIRST_SEED`.
pub(crate) fn for_seeds<F: Future<Output = ()>>(default_count: u64, test: impl Fn(u64) -> F) {
    let count = std::env::var("FULMARWEIR_SEEDS");
    let count = count
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(default_count);
    let first = std::env::var("FULMARWEIR_FIRST_SEED");
    let first = first.ok().and_then(|first| first.parse().ok()).unwrap_or(1);
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let run = std::panic::AssertUnwindSafe(|| runtime.block_on(test(seed)));
        if let Err(panic) = std::panic::catch_unwind(run) {
            eprintln!("failed with seed {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}
