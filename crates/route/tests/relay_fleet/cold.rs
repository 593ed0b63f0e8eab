//! Cold targets of the model, and keepers that grant permits for them.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fulmarweir_permits::{RateCall, RateGrant, RateGrantor};
use fulmarweir_route::{PermitAsker, WarmUpReport};

use super::{CALL_TIMEOUT_MS, Event, FAR_DELAY_MS, Fleet, NEAR_DELAY_MS, at, keeper_address};

/// Time within which all VMs hear of a change.
const NEWS_SPAN_MS: u64 = 100;
/// Period in which VMs look whether calls are due.
const POLL_MS: u64 = 10;

/// An event of cold targets.
#[derive(Debug)]
pub(super) enum ColdEvent {
    /// A VM looks whether calls are due.
    Poll(usize),
    /// A call of a VM arrives at a keeper.
    Call(usize, RateCall),
    /// The reply arrives at the VM, or the call has failed.
    Reply(usize, RateCall, Option<Vec<RateGrant>>),
    /// A VM hears of a target.
    News(usize, WarmUpReport),
}

/// The keepers that grant permits for cold targets.
#[derive(Default)]
pub(crate) struct ColdModel {
    keepers: Vec<RateGrantor>,
    /// VMs with lower numbers reach no keeper.
    pub(crate) cut_off: usize,
}

impl Fleet {
    /// Adds keepers, and a rate for cold targets of the first shard.
    pub(crate) fn with_cold_rate(mut self, keepers: usize, per_second: f64) -> Self {
        self.cold
            .keepers
            .extend((0..keepers).map(|_| RateGrantor::new(at(0))));
        for vm in 0..self.vms.len() {
            let rates = HashMap::from([("s0".into(), per_second)]);
            self.vms[vm].selector.set_cold_rates(1, rates);
            let first_ms = 1 + vm as u64 % POLL_MS;
            self.schedule(first_ms, Event::Cold(ColdEvent::Poll(vm)));
        }
        self
    }

    /// Has all VMs that reach a keeper hear that a target is cold.
    pub(crate) fn tell_cold(&mut self, target: &str, sequence: u64, cold_for: Duration) {
        for vm in self.cold.cut_off..self.vms.len() {
            let report = WarmUpReport {
                target: target.into(),
                born_ms: 1,
                sequence: Some(sequence),
                cold_for,
            };
            let heard_ms = self.now_ms + (vm as u64 * 37) % NEWS_SPAN_MS;
            self.schedule(heard_ms, Event::Cold(ColdEvent::News(vm, report)));
        }
    }

    /// Cuts the VMs with numbers below `count` off from all keepers.
    pub(crate) fn cut_off_keepers(&mut self, count: usize) {
        self.cold.cut_off = count;
        for vm in &mut self.vms[..count] {
            vm.selector.set_keepers_lost(true);
        }
    }

    pub(super) fn handle_cold(&mut self, event: ColdEvent) {
        let now = at(self.now_ms);
        match event {
            ColdEvent::Poll(vm) => {
                self.schedule(self.now_ms + POLL_MS, Event::Cold(ColdEvent::Poll(vm)));
                // Numbers that differ between VMs and times, without a random number.
                let number = self.next_id().wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
                #[expect(clippy::cast_precision_loss, reason = "32 bits")]
                let random = number as f64 / 2_f64.powi(32);
                let passed = Duration::from_millis(POLL_MS);
                let selector = &mut self.vms[vm].selector;
                selector.grant_cold_alone(passed, || random, now);
                self.ask_cold(vm);
            }
            ColdEvent::Call(vm, call) => self.answer_cold(vm, call),
            ColdEvent::Reply(vm, call, grants) => {
                let selector = &mut self.vms[vm].selector;
                selector.apply_cold_reply(&call, grants.as_deref(), now);
                self.ask_cold(vm);
            }
            ColdEvent::News(vm, report) => {
                self.vms[vm].selector.record_warm_up(&report, now);
            }
        }
    }

    pub(super) fn ask_cold(&mut self, vm: usize) {
        let count = self.cold.keepers.len();
        let order = (0..count).map(|step| (vm + step) % count);
        let addresses: Vec<SocketAddr> = order.map(keeper_address).collect();
        let now = at(self.now_ms);
        let calls = self.vms[vm].selector.due_cold_calls(&addresses, now);
        for call in calls {
            let due_ms = self.now_ms + cold_delay_ms(&call, vm, count);
            self.schedule(due_ms, Event::Cold(ColdEvent::Call(vm, call)));
        }
    }

    fn answer_cold(&mut self, vm: usize, call: RateCall) {
        if vm < self.cold.cut_off {
            let due_ms = self.now_ms + CALL_TIMEOUT_MS;
            return self.schedule(due_ms, Event::Cold(ColdEvent::Reply(vm, call, None)));
        }
        let (now, count) = (at(self.now_ms), self.cold.keepers.len());
        // Spreads VMs evenly without a random number.
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let spread = (self.next_id % 17) as f64 / 17.0;
        let asker = PermitAsker {
            vm: keeper_address(100 + vm),
            spread,
        };
        let keeper = &mut self.cold.keepers[usize::from(call.keeper.port())];
        let asks = call.asks.iter();
        let grants = asks.map(|ask| keeper.ask(asker, ask, Some(count), now));
        let grants: Vec<RateGrant> = grants.collect();
        let due_ms = self.now_ms + cold_delay_ms(&call, vm, count);
        self.schedule(
            due_ms,
            Event::Cold(ColdEvent::Reply(vm, call, Some(grants))),
        );
    }

    pub(super) const fn has_cold_keepers(&self) -> bool {
        !self.cold.keepers.is_empty()
    }
}

fn cold_delay_ms(call: &RateCall, vm: usize, keepers: usize) -> u64 {
    if usize::from(call.keeper.port()) == vm % keepers {
        NEAR_DELAY_MS
    } else {
        FAR_DELAY_MS
    }
}
