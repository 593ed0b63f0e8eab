//! A model of all VMs and keepers of a deployment that share rates, without a network.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use fulmarweir_base::MonoTime;
use fulmarweir_permits::{
    PermitAsker, RateCall, RateGrant, RateGrantor, RateKey, RateLedger, RateLimit, RateState,
    RequestRank, WaitTimes,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time after which a call counts as failed, and a dead keeper is not listed any more.
const CALL_TIMEOUT_MS: u64 = 400;
const KEEPER_TTL_MS: u64 = 3_000;

/// A request that needs a permit.
#[derive(Clone, Debug)]
struct Request {
    key: RateKey,
    rank: RequestRank,
    is_patient: bool,
}

/// What became of requests of a key, and when.
#[derive(Debug, Default)]
pub(crate) struct KeyLog {
    pub(crate) arrived: Vec<u64>,
    pub(crate) sent: Vec<u64>,
    pub(crate) denied: Vec<u64>,
}

impl KeyLog {
    /// Returns the most requests that were sent within any `span_ms`, from `from_ms` on.
    pub(crate) fn most_sent(&self, span_ms: u64, from_ms: u64) -> usize {
        let sent: Vec<u64> = self
            .sent
            .iter()
            .copied()
            .filter(|t| *t >= from_ms)
            .collect();
        let within = |(first, at): (usize, &u64)| {
            sent[first..].partition_point(|later| *later < at + span_ms)
        };
        sent.iter()
            .enumerate()
            .map(within)
            .max()
            .unwrap_or_default()
    }
}

#[derive(Debug)]
enum Event {
    Arrival {
        vm: usize,
        request: Request,
    },
    Deadline {
        vm: usize,
        ticket: u64,
    },
    Poll {
        vm: usize,
        due_ms: u64,
    },
    Call {
        vm: usize,
        boot: u64,
        call: RateCall,
    },
    Reply {
        vm: usize,
        boot: u64,
        call: RateCall,
        grants: Option<Vec<RateGrant>>,
    },
}

struct Vm {
    ledger: RateLedger,
    centre: usize,
    boot: u64,
    is_cut_off: bool,
    waiting: Vec<Request>,
    alone_at_ms: u64,
    poll_due_ms: u64,
}

struct Keeper {
    grantor: RateGrantor,
    centre: usize,
    /// When it was lost, if it is down.
    down_at_ms: Option<u64>,
}

/// All VMs and keepers of a deployment.
pub(crate) struct Fleet {
    vms: Vec<Vm>,
    keepers: Vec<Keeper>,
    limits: HashMap<RateKey, RateLimit>,
    pub(crate) logs: HashMap<RateKey, KeyLog>,
    events: BTreeMap<(u64, u64), Event>,
    now_ms: u64,
    sequence: u64,
    /// Share of calls and of replies that are lost.
    pub(crate) loss: f64,
    /// Time for a message to a keeper in another data centre.
    pub(crate) far_ms: u64,
    /// Time for which requests of a tenant are held.
    pub(crate) hold_ms: u64,
    pub(crate) calls: u64,
    pub(crate) rng: Pcg64Mcg,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Duration::from_millis(ms)
}

fn address(keeper: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(keeper).unwrap()))
}

impl Fleet {
    /// Returns VMs and keepers spread over `centres` data centres.
    pub(crate) fn new(vms: usize, keepers: usize, centres: usize, seed: u64) -> Self {
        let vm = |number| Vm {
            ledger: RateLedger::default(),
            centre: number % centres,
            boot: 0,
            is_cut_off: false,
            waiting: Vec::new(),
            alone_at_ms: 0,
            poll_due_ms: 0,
        };
        let keeper = |number| Keeper {
            grantor: RateGrantor::new(at(0)),
            centre: number % centres,
            down_at_ms: None,
        };
        let mut fleet = Self {
            vms: (0..vms).map(vm).collect(),
            keepers: (0..keepers).map(keeper).collect(),
            limits: HashMap::new(),
            logs: HashMap::new(),
            events: BTreeMap::new(),
            now_ms: 0,
            sequence: 0,
            loss: 0.0,
            far_ms: 10,
            hold_ms: 60,
            calls: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for vm in 0..vms {
            fleet.push(0, Event::Poll { vm, due_ms: 0 });
        }
        fleet
    }

    pub(crate) fn set_limit(&mut self, key: &RateKey, limit: RateLimit) {
        self.limits.insert(key.clone(), limit);
    }

    /// Has a VM get a request; one that is patient waits until its deadline when it is denied.
    pub(crate) fn request(&mut self, at_ms: u64, vm: usize, key: &RateKey, wait_ms: Option<u64>) {
        let rank = RequestRank {
            priority: 0,
            deadline: at(at_ms + wait_ms.unwrap_or(self.hold_ms)),
            ticket: self.sequence + 1,
        };
        let request = Request {
            key: key.clone(),
            rank,
            is_patient: wait_ms.is_some(),
        };
        self.push(at_ms, Event::Arrival { vm, request });
    }

    pub(crate) fn cut_off(&mut self, vm: usize, is_cut_off: bool) {
        self.vms[vm].is_cut_off = is_cut_off;
    }

    pub(crate) fn restart(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.boot += 1;
        state.ledger = RateLedger::default();
        state.waiting.clear();
        state.poll_due_ms = self.now_ms;
        let due_ms = self.now_ms;
        self.push(due_ms, Event::Poll { vm, due_ms });
    }

    pub(crate) fn kill_keeper(&mut self, keeper: usize) {
        self.keepers[keeper].down_at_ms = Some(self.now_ms);
    }

    pub(crate) fn start_keeper(&mut self, keeper: usize) {
        if self.keepers[keeper].down_at_ms.take().is_some() {
            self.keepers[keeper].grantor = RateGrantor::new(at(self.now_ms));
        }
    }

    /// Runs all events before `until_ms`.
    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 >= until_ms {
                break;
            }
            let ((now_ms, _), event) = entry.remove_entry();
            self.now_ms = now_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { vm, request } => self.arrive(vm, request),
            Event::Deadline { vm, ticket } => {
                let now_ms = self.now_ms;
                let waiting = &mut self.vms[vm].waiting;
                if let Some(index) = waiting.iter().position(|r| r.rank.ticket == ticket) {
                    let request = waiting.remove(index);
                    self.vms[vm].ledger.stop_waiting(&request.key, ticket);
                    self.log(&request.key).denied.push(now_ms);
                }
            }
            Event::Poll { vm, due_ms } if self.vms[vm].poll_due_ms == due_ms => {
                self.serve_waiting(vm);
                self.poll(vm);
            }
            Event::Call { vm, boot, call } => self.answer(vm, boot, call),
            Event::Reply {
                vm,
                boot,
                call,
                grants,
            } if self.vms[vm].boot == boot => {
                let ledger = &mut self.vms[vm].ledger;
                match grants {
                    Some(grants) => ledger.apply_grants(&call, &grants, at(self.now_ms)),
                    None => ledger.record_failed_call(&call, at(self.now_ms)),
                }
                self.serve_waiting(vm);
                self.poll(vm);
            }
            Event::Poll { .. } | Event::Reply { .. } => {}
        }
    }

    fn log(&mut self, key: &RateKey) -> &mut KeyLog {
        self.logs.entry(key.clone()).or_default()
    }

    fn arrive(&mut self, vm: usize, request: Request) {
        let (now_ms, now) = (self.now_ms, at(self.now_ms));
        let limit = self.limits[&request.key];
        self.log(&request.key).arrived.push(now_ms);
        let deadline = request.rank.deadline;
        let ticket = request.rank.ticket;
        let ledger = &mut self.vms[vm].ledger;
        ledger.set_limit(&request.key, limit, now);
        ledger.record_demand(&request.key, now);
        self.vms[vm].waiting.push(request);
        let deadline_ms = u64::try_from(deadline.since(MonoTime::ZERO).as_millis()).unwrap();
        self.push(deadline_ms, Event::Deadline { vm, ticket });
        self.serve_waiting(vm);
        self.poll(vm);
    }

    /// Sends the requests of a VM that find a permit, and denies those that cannot expect one.
    fn serve_waiting(&mut self, vm: usize) {
        let (now_ms, now) = (self.now_ms, at(self.now_ms));
        let mut waiting = std::mem::take(&mut self.vms[vm].waiting);
        waiting.sort_by_key(|request| request.rank);
        for request in waiting {
            let state = &mut self.vms[vm];
            if state.ledger.take(&request.key, request.rank, now).is_some() {
                self.log(&request.key).sent.push(now_ms);
                continue;
            }
            let expected = state.ledger.state(&request.key, now);
            if !request.is_patient && expected != RateState::Pending {
                self.log(&request.key).denied.push(now_ms);
                continue;
            }
            let times = WaitTimes {
                retry_at: request.rank.deadline,
                usable_until: request.rank.deadline,
            };
            let ledger = &mut state.ledger;
            ledger.wait(&request.key, request.rank, times, now);
            state.waiting.push(request);
        }
    }

    fn poll(&mut self, vm: usize) {
        let (now_ms, now) = (self.now_ms, at(self.now_ms));
        let keepers = self.listed_keepers(vm);
        let vms = u32::try_from(self.vms.len()).unwrap();
        let state = &mut self.vms[vm];
        let passed = (now_ms - state.alone_at_ms).min(100);
        let rng = &mut self.rng;
        let passed = Duration::from_millis(passed);
        state.ledger.grant_alone(vms, passed, || rng.random(), now);
        state.alone_at_ms = now_ms;
        let boot = state.boot;
        let calls = state.ledger.due_calls(&keepers, now);
        let after = state.ledger.poll_after();
        let after = after.unwrap_or(Duration::from_millis(100)).as_millis();
        let due_ms = now_ms + u64::try_from(after).unwrap();
        state.poll_due_ms = due_ms;
        self.push(due_ms, Event::Poll { vm, due_ms });
        for call in calls {
            self.calls += 1;
            let delay_ms = self.delay_to(vm, &call);
            self.push(now_ms + delay_ms, Event::Call { vm, boot, call });
        }
    }

    /// Returns the keepers that a VM knows to be live, ordered by distance.
    fn listed_keepers(&self, vm: usize) -> Vec<SocketAddr> {
        let mut listed: Vec<usize> = (0..self.keepers.len()).collect();
        listed.retain(|number| {
            let down_at_ms = self.keepers[*number].down_at_ms;
            down_at_ms.is_none_or(|down_at_ms| self.now_ms < down_at_ms + KEEPER_TTL_MS)
        });
        let centre = self.vms[vm].centre;
        listed.sort_by_key(|number| (self.keepers[*number].centre != centre, *number));
        listed.into_iter().map(address).collect()
    }

    fn delay_to(&self, vm: usize, call: &RateCall) -> u64 {
        let keeper = usize::from(call.keeper.port());
        let is_near = self.keepers[keeper].centre == self.vms[vm].centre;
        if is_near { 1 } else { self.far_ms }
    }

    /// Has a keeper answer a call, unless the call or the reply is lost.
    fn answer(&mut self, vm: usize, boot: u64, call: RateCall) {
        let now_ms = self.now_ms;
        let delay_ms = self.delay_to(vm, &call);
        let spread: f64 = self.rng.random();
        let is_lost = self.rng.random_bool(self.loss);
        let is_reply_lost = self.rng.random_bool(self.loss);
        let grantors = Some(self.keepers.len());
        let keeper = &mut self.keepers[usize::from(call.keeper.port())];
        let failed_ms = (now_ms + CALL_TIMEOUT_MS).saturating_sub(delay_ms);
        if is_lost || keeper.down_at_ms.is_some() || self.vms[vm].is_cut_off {
            let grants = None;
            return self.push(
                failed_ms,
                Event::Reply {
                    vm,
                    boot,
                    call,
                    grants,
                },
            );
        }
        let vm_address = SocketAddr::from(([10, 0, 1, 0], u16::try_from(vm).unwrap()));
        let asker = PermitAsker {
            vm: vm_address,
            spread,
        };
        let asks = call.asks.iter();
        let grants = asks.map(|ask| keeper.grantor.ask(asker, ask, grantors, at(now_ms)));
        let grants: Vec<RateGrant> = grants.collect();
        let (reply_ms, grants) = if is_reply_lost {
            (failed_ms, None)
        } else {
            (now_ms + delay_ms, Some(grants))
        };
        self.push(
            reply_ms,
            Event::Reply {
                vm,
                boot,
                call,
                grants,
            },
        );
    }
}
