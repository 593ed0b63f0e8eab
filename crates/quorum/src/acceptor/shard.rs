//! A shard of a voter's registers.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use fulmarweir_base::MonoTime;

use crate::{
    ballot::Ballot,
    key::RegisterKey,
    message::{RegisterCopy, VoterReply},
    record::VoterRecord,
    value::{AcceptedValue, RegisterValue},
};

/// Maximum number of registers in a page.
const PAGE_REGISTERS: usize = 512;

/// Size of the values after which a page is full.
const PAGE_BYTES: usize = 256 << 10;

/// The state of one register.
#[derive(Debug)]
struct RegisterSlot {
    promised: Ballot,
    accepted: Option<AcceptedValue>,
    /// When the slot was created or last accepted a value.
    updated_at: MonoTime,
    /// Whether the removal queue holds an entry for the register.
    queued: bool,
}

/// Registers by key, and the queue of registers to check for expiry.
#[derive(Debug, Default)]
pub(crate) struct RegisterShard {
    slots: BTreeMap<RegisterKey, RegisterSlot>,
    removals: BTreeSet<(MonoTime, RegisterKey)>,
    /// Absent registers behave as if they had promised this ballot, so that a delayed request of
    /// a round before the removal of a register cannot restore an old value.
    floor: Ballot,
}

/// A page of registers to be copied to another voter.
#[derive(Debug, Default)]
pub(crate) struct RegisterPage {
    pub(crate) registers: Vec<RegisterCopy>,
    value_bytes: usize,
}

impl RegisterPage {
    const fn is_full(&self) -> bool {
        self.registers.len() >= PAGE_REGISTERS || self.value_bytes >= PAGE_BYTES
    }

    fn push(&mut self, copy: RegisterCopy) {
        self.value_bytes += copy.accepted.as_ref().map_or(0, value_bytes);
        self.registers.push(copy);
    }
}

/// Receives the durable records of a voter.
pub(crate) type RecordSink<'a> = &'a mut dyn FnMut(VoterRecord);

/// The current time and the retention, from which expiry times are computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetentionClock {
    pub(crate) now: MonoTime,
    pub(crate) retention: Duration,
}

impl RegisterShard {
    pub(crate) fn prepare(
        &mut self,
        clock: RetentionClock,
        key: &RegisterKey,
        ballot: Ballot,
        sink: RecordSink<'_>,
    ) -> VoterReply {
        let promised = self.promised(key);
        if ballot <= promised {
            return VoterReply::Conflict { promised };
        }
        sink(VoterRecord::Promise {
            key: key.clone(),
            ballot,
        });
        self.set_promise(clock, key, ballot);
        let accepted = self.accepted(key);
        VoterReply::Promised { accepted }
    }

    pub(crate) fn accept(
        &mut self,
        clock: RetentionClock,
        key: &RegisterKey,
        accepted: AcceptedValue,
        next: Option<Ballot>,
        sink: RecordSink<'_>,
    ) -> VoterReply {
        let promised = self.promised(key);
        let absent = !self.slots.contains_key(key);
        let ballot = accepted.ballot;
        if ballot < promised || (absent && ballot == promised) {
            return VoterReply::Conflict { promised };
        }
        let copy = RegisterCopy {
            key: key.clone(),
            promised: next.map_or(ballot, |next| next.max(ballot)),
            accepted: Some(accepted),
        };
        sink(VoterRecord::Register(copy.clone()));
        self.replace(clock, copy);
        VoterReply::Accepted
    }

    pub(crate) fn accepted(&self, key: &RegisterKey) -> Option<AcceptedValue> {
        self.slots.get(key).and_then(|slot| slot.accepted.clone())
    }

    /// Adopts the accepted value and the promise of `copy`, each if it is newer.
    pub(crate) fn merge(
        &mut self,
        clock: RetentionClock,
        copy: &RegisterCopy,
        sink: RecordSink<'_>,
    ) {
        let mut merged = copy.clone();
        if let Some(slot) = self.slots.get(&copy.key) {
            let own = slot.accepted.as_ref();
            let own_is_latest =
                own.map(|own| own.ballot) >= copy.accepted.as_ref().map(|c| c.ballot);
            if own_is_latest && slot.promised >= copy.promised {
                return;
            }
            merged.promised = slot.promised.max(copy.promised);
            if own_is_latest {
                merged.accepted.clone_from(&slot.accepted);
            }
        }
        sink(VoterRecord::Register(merged.clone()));
        self.replace(clock, merged);
    }

    /// Applies a durable record after a restart.
    pub(crate) fn replay(&mut self, clock: RetentionClock, record: VoterRecord) {
        match record {
            VoterRecord::Promise { key, ballot } => self.set_promise(clock, &key, ballot),
            VoterRecord::Register(copy) => self.replace(clock, copy),
            VoterRecord::Remove { key, floor } => {
                self.slots.remove(&key);
                self.floor = floor;
            }
            VoterRecord::Floor { floor, .. } => self.floor = floor,
            VoterRecord::Epoch(_) => {}
        }
    }

    /// Removes at most `limit` registers whose retention has passed.
    pub(crate) fn remove_expired(
        &mut self,
        clock: RetentionClock,
        limit: usize,
        sink: RecordSink<'_>,
    ) -> usize {
        let mut removed = 0;
        for _ in 0..limit {
            let due = self
                .removals
                .first()
                .is_some_and(|(at, _)| *at <= clock.now);
            let Some((_, key)) = due.then(|| self.removals.pop_first()).flatten() else {
                break;
            };
            removed += usize::from(self.remove_if_expired(clock, key, sink));
        }
        removed
    }

    fn remove_if_expired(
        &mut self,
        clock: RetentionClock,
        key: RegisterKey,
        sink: RecordSink<'_>,
    ) -> bool {
        let Some(slot) = self.slots.get_mut(&key) else {
            return false;
        };
        let due = slot.updated_at + clock.retention;
        if due > clock.now {
            self.removals.insert((due, key));
            return false;
        }
        let expires = |accepted: &AcceptedValue| accepted.value.expires();
        if !slot.accepted.as_ref().is_none_or(expires) {
            // The register is queued again when it accepts its next value.
            slot.queued = false;
            return false;
        }
        self.floor = self.floor.max(slot.promised);
        self.slots.remove(&key);
        let floor = self.floor;
        sink(VoterRecord::Remove { key, floor });
        true
    }

    /// Adds the registers after `after` to the page and returns whether all fitted.
    pub(crate) fn fill_page(&self, after: Option<&RegisterKey>, page: &mut RegisterPage) -> bool {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let slots = self
            .slots
            .range::<RegisterKey, _>((start, Bound::Unbounded));
        for (key, slot) in slots {
            if page.is_full() {
                return false;
            }
            page.push(register_copy(key, slot));
        }
        true
    }

    /// Passes the records that restore the shard to `sink`.
    pub(crate) fn snapshot(&self, shard: u32, sink: RecordSink<'_>) {
        let floor = self.floor;
        sink(VoterRecord::Floor { shard, floor });
        for (key, slot) in &self.slots {
            sink(VoterRecord::Register(register_copy(key, slot)));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    fn promised(&self, key: &RegisterKey) -> Ballot {
        self.slots.get(key).map_or(self.floor, |slot| slot.promised)
    }

    fn set_promise(&mut self, clock: RetentionClock, key: &RegisterKey, ballot: Ballot) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.promised = slot.promised.max(ballot);
            return;
        }
        let copy = RegisterCopy {
            key: key.clone(),
            promised: ballot,
            accepted: None,
        };
        self.replace(clock, copy);
    }

    fn replace(&mut self, clock: RetentionClock, copy: RegisterCopy) {
        let queued = self.slots.get(&copy.key).is_some_and(|slot| slot.queued);
        let is_act = matches!(copy.key, RegisterKey::Act(_));
        if is_act && !queued {
            let due = clock.now + clock.retention;
            self.removals.insert((due, copy.key.clone()));
        }
        let slot = RegisterSlot {
            promised: copy.promised,
            accepted: copy.accepted,
            updated_at: clock.now,
            queued: is_act,
        };
        self.slots.insert(copy.key, slot);
    }
}

fn register_copy(key: &RegisterKey, slot: &RegisterSlot) -> RegisterCopy {
    RegisterCopy {
        key: key.clone(),
        promised: slot.promised,
        accepted: slot.accepted.clone(),
    }
}

/// Returns the approximate size of a value, which limits the size of a page.
fn value_bytes(accepted: &AcceptedValue) -> usize {
    const FIXED_BYTES: usize = 64;
    let value: &Arc<RegisterValue> = &accepted.value;
    FIXED_BYTES
        + match &**value {
            RegisterValue::Act(crate::act::ActState::Finished { outcome, .. }) => {
                outcome.body.len()
            }
            RegisterValue::Config(state) => state.text.len() + FIXED_BYTES * state.outcomes.len(),
            RegisterValue::Act(_) | RegisterValue::Evacuations(_) | RegisterValue::Voters(_) => 0,
        }
}
