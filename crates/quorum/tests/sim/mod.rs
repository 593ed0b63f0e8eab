//! Voters with disks that crash, behind links that lose, repeat and reorder messages.
//!
//! Everything runs on one thread in paused time, so a seed decides the whole run.

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

/// One voter and its disk.
pub(crate) struct SimVoter {
    pub(crate) name: VmName,
    pub(crate) identity: VoterIdentity,
    pub(crate) acceptor: Option<Acceptor>,
    disk: Vec<VoterRecord>,
    unsynced: Vec<VoterRecord>,
    incarnation: u64,
}

/// How bad the links and disks are.
#[derive(Clone, Copy)]
pub(crate) struct SimFaults {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    pub(crate) delay_max_ms: u64,
}

pub(crate) const CALM: SimFaults = SimFaults {
    loss: 0.0,
    repeat: 0.0,
    delay_max_ms: 3,
};

pub(crate) const STORMY: SimFaults = SimFaults {
    loss: 0.1,
    repeat: 0.1,
    delay_max_ms: 40,
};

pub(crate) struct SimState {
    pub(crate) voters: BTreeMap<SocketAddr, SimVoter>,
    pub(crate) faults: SimFaults,
    /// Client numbers and addresses between which nothing passes.
    pub(crate) cuts: BTreeSet<(u64, SocketAddr)>,
    pub(crate) generator: Pcg64Mcg,
    pub(crate) requests: u64,
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
    /// `vms` machines with disks, the first `voters` of which are the first voters.
    pub(crate) fn new(seed: u64, vms: u16, voters: u16, retention: Duration) -> Self {
        let first = (0..voters).map(|number| (vm(number), address(number)));
        let state = SimState {
            voters: BTreeMap::new(),
            faults: CALM,
            cuts: BTreeSet::new(),
            generator: Pcg64Mcg::seed_from_u64(seed),
            requests: 0,
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
        self.lock().generator.random_bool(share)
    }

    pub(crate) fn below(&self, limit: u64) -> u64 {
        self.lock().generator.random_range(0..limit)
    }

    /// Starts the VM with an empty disk.
    pub(crate) fn replace_disk(&self, number: u16) {
        let mut state = self.lock();
        let identity = VoterIdentity(state.generator.random::<u64>().max(1));
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

    /// Stops the VM; a random part of what was not synced is lost.
    pub(crate) fn crash(&self, number: u16) {
        let mut state = self.lock();
        let share: f64 = state.generator.random();
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

    pub(crate) fn with_acceptor<T>(&self, number: u16, look: impl FnOnce(&Acceptor) -> T) -> T {
        look(
            self.lock().voters[&address(number)]
                .acceptor
                .as_ref()
                .unwrap(),
        )
    }

    /// A new proposer, which `number` names for cuts.
    pub(crate) fn client(&self, number: u64) -> Arc<QuorumClient> {
        let settings = {
            let mut state = self.lock();
            let mut settings = ClientSettings::new(state.first_set.clone());
            settings.proposer = ProposerId(state.generator.random());
            settings.seed = state.generator.random();
            settings
        };
        let net = self.clone();
        let transport = Arc::new(move |member: VoterMember, request| {
            let net = net.clone();
            async move { net.carry(number, member.address, request).await }.boxed()
        });
        Arc::new(QuorumClient::new(settings, transport, self.timer.clone()))
    }

    async fn carry(&self, from: u64, to: SocketAddr, request: VoterRequest) -> Option<VoterReply> {
        self.lock().requests += 1;
        if self.drops(from, to) {
            return None;
        }
        self.delay().await;
        let repeat = self.lock().faults.repeat;
        if self.chance(repeat) {
            let (net, request) = (self.clone(), request.clone());
            tokio::spawn(async move {
                net.delay().await;
                net.delay().await;
                net.deliver(to, &request).await
            });
        }
        let reply = self.deliver(to, &request).await?;
        self.delay().await;
        (!self.drops(from, to)).then_some(reply)
    }

    fn drops(&self, from: u64, to: SocketAddr) -> bool {
        let mut state = self.lock();
        let loss = state.faults.loss;
        state.generator.random_bool(loss) || state.cuts.contains(&(from, to))
    }

    async fn delay(&self) {
        let limit = self.lock().faults.delay_max_ms * 1000;
        let micros = self.below(limit + 1);
        tokio::time::sleep(Duration::from_micros(micros)).await;
    }

    /// Handles the request and syncs the disk before the answer leaves.
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

/// Runs `test` for each seed: a fixed few, or as many as `FULMARWEIR_SEEDS` says.
pub(crate) fn for_seeds<F: Future<Output = ()>>(fixed: u64, test: impl Fn(u64) -> F) {
    let count = std::env::var("FULMARWEIR_SEEDS");
    let count = count
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(fixed);
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
