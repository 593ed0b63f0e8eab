//! The state machine of a voter. It does no I/O: the caller passes in the time and writes the
//! durable records to the log.

mod shard;

use std::{
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use fulmarweir_base::{MonoTime, VmName, lock};

use crate::{
    acceptor::shard::{RecordSink, RegisterPage, RegisterShard, RetentionClock},
    evacuation::evacuation_set,
    key::{REGISTER_SHARDS, RegisterKey},
    member::{EpochState, VoterIdentity, VoterSet},
    message::{PageCursor, RegisterCopy, RequestBody, VoterReply, VoterRequest},
    record::VoterRecord,
    value::{AcceptedValue, RegisterValue},
};

/// Maximum number of expired registers that one request removes.
const REMOVALS_PER_REQUEST: usize = 4;

/// The registers and voter sets of one voter.
///
/// [`Acceptor::handle`] passes each durable record to a sink, in the order in which the records
/// must reach the log. A reply may be sent only once all records that were passed to the sink
/// before it are durable.
#[derive(Debug)]
pub struct Acceptor {
    name: VmName,
    identity: VoterIdentity,
    retention: Duration,
    // Locked for reading while registers are accessed, and for writing while the voter sets change.
    epoch: RwLock<EpochState>,
    shards: Vec<Mutex<RegisterShard>>,
}

impl Acceptor {
    /// Creates a voter that holds no registers and knows only the voter set of epoch 0.
    ///
    /// Registers of finished and released acts are removed `retention` after their last change.
    #[must_use]
    pub fn new(
        name: VmName,
        identity: VoterIdentity,
        first_set: VoterSet,
        retention: Duration,
    ) -> Self {
        let epoch = EpochState::settled(first_set);
        Self {
            name,
            identity,
            retention,
            epoch: RwLock::new(epoch),
            shards: (0..REGISTER_SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Returns the identity of the voter's log.
    #[must_use]
    pub const fn identity(&self) -> VoterIdentity {
        self.identity
    }

    /// Returns the voter sets that the voter knows.
    #[must_use]
    pub fn epoch_state(&self) -> EpochState {
        self.read_epoch().clone()
    }

    /// Returns the number of registers held.
    #[must_use]
    pub fn register_count(&self) -> usize {
        (0..REGISTER_SHARDS)
            .map(|shard| self.shard(shard).len())
            .sum()
    }

    /// Returns the version of the configuration that the voter accepted, or `None` if it accepted none.
    pub(crate) fn accepted_config_version(&self) -> Option<u64> {
        let key = RegisterKey::Config;
        let accepted = self.shard(key.shard()).accepted(&key);
        match accepted.as_ref().map(|accepted| &*accepted.value) {
            Some(RegisterValue::Config(state)) => state.submitted_version(),
            _ => None,
        }
    }

    /// Returns the version of the evacuations that the voter accepted, or 0 if it accepted none.
    pub(crate) fn accepted_evacuations_version(&self) -> u64 {
        let key = RegisterKey::Evacuations;
        let accepted = self.shard(key.shard()).accepted(&key);
        let value = accepted.as_ref().map(|accepted| &*accepted.value);
        evacuation_set(value).map_or(0, |set| set.version)
    }

    /// Applies a durable record after a restart.
    pub fn replay(&self, now: MonoTime, record: VoterRecord) {
        let shard = match &record {
            VoterRecord::Epoch(epoch) => {
                epoch.clone_into(&mut self.write_epoch());
                return;
            }
            VoterRecord::Floor { shard, .. } => *shard,
            VoterRecord::Promise { key, .. } | VoterRecord::Remove { key, .. } => key.shard(),
            VoterRecord::Register(copy) => copy.key.shard(),
        };
        self.shard(shard).replay(self.clock(now), record);
    }

    /// Handles a request and returns the reply.
    pub fn handle(
        &self,
        now: MonoTime,
        request: &VoterRequest,
        sink: &mut dyn FnMut(VoterRecord),
    ) -> VoterReply {
        if let RequestBody::Identify = request.body {
            let epoch = self.epoch_state();
            let identity = self.identity;
            return VoterReply::Identity { identity, epoch };
        }
        if !self.is_addressed(request) {
            let identity = self.identity;
            return VoterReply::Stranger { identity };
        }
        match &request.body {
            RequestBody::Seal { next, previous } => self.seal(next, previous.as_ref(), sink),
            RequestBody::Install { registers } => self.install(now, request.epoch, registers, sink),
            RequestBody::Complete => self.complete(request.epoch, sink),
            RequestBody::ReadPage { from } => self.read_page(request.epoch, from),
            RequestBody::Accept { key, .. }
            | RequestBody::Prepare { key, .. }
            | RequestBody::Read { key } => self.access_register(now, request, key, sink),
            // Unreachable, since `Identify` is handled above.
            RequestBody::Identify => VoterReply::Stopped,
        }
    }

    /// Calls `finish` with the records that restore the voter's state.
    ///
    /// No request is handled until `finish` returns.
    pub fn snapshot<T>(&self, finish: impl FnOnce(Vec<VoterRecord>) -> T) -> T {
        let epoch = self.write_epoch();
        let mut records = vec![VoterRecord::Epoch(epoch.clone())];
        for shard in 0..REGISTER_SHARDS {
            let sink = &mut |record| records.push(record);
            self.shard(shard).snapshot(shard, sink);
        }
        finish(records)
    }

    /// Removes registers whose retention has passed, at most `limit` per shard, and returns their
    /// number.
    ///
    /// This does nothing during a change of the voter set, while the registers are copied.
    pub fn remove_expired(
        &self,
        now: MonoTime,
        limit: usize,
        sink: &mut dyn FnMut(VoterRecord),
    ) -> usize {
        let epoch = self.read_epoch();
        if epoch.next.is_some() {
            return 0;
        }
        let clock = self.clock(now);
        (0..REGISTER_SHARDS)
            .map(|shard| self.shard(shard).remove_expired(clock, limit, sink))
            .sum()
    }

    fn is_addressed(&self, request: &VoterRequest) -> bool {
        let unknown = request.to == VoterIdentity::UNKNOWN && request.epoch == 0;
        unknown || request.to == self.identity
    }

    fn access_register(
        &self,
        now: MonoTime,
        request: &VoterRequest,
        key: &RegisterKey,
        sink: RecordSink<'_>,
    ) -> VoterReply {
        let epoch = self.read_epoch();
        if let Some(refusal) = self.refusal(&epoch, request.epoch) {
            return refusal;
        }
        let clock = self.clock(now);
        let mut shard = self.shard(key.shard());
        shard.remove_expired(clock, REMOVALS_PER_REQUEST, sink);
        match &request.body {
            RequestBody::Prepare { ballot, .. } => shard.prepare(clock, key, *ballot, sink),
            RequestBody::Accept {
                ballot,
                value,
                next,
                ..
            } => {
                let accepted = AcceptedValue {
                    ballot: *ballot,
                    value: value.clone(),
                };
                shard.accept(clock, key, accepted, *next, sink)
            }
            _ => VoterReply::ReadValue {
                accepted: shard.accepted(key),
            },
        }
    }

    /// Returns the refusal if the voter cannot serve register requests of `requested_epoch`.
    fn refusal(&self, epoch: &EpochState, requested_epoch: u64) -> Option<VoterReply> {
        if epoch.latest().epoch > requested_epoch {
            let epoch = epoch.clone();
            return Some(VoterReply::Moved { epoch });
        }
        if epoch.current.epoch != requested_epoch {
            let epoch = epoch.clone();
            return Some(VoterReply::NotWhole { epoch });
        }
        let is_member = match requested_epoch {
            0 => epoch.current.contains_name(&self.name),
            _ => epoch.current.contains(self.identity),
        };
        let identity = self.identity;
        (!is_member).then_some(VoterReply::Stranger { identity })
    }

    fn seal(
        &self,
        next: &VoterSet,
        previous: Option<&VoterSet>,
        sink: RecordSink<'_>,
    ) -> VoterReply {
        let mut epoch = self.write_epoch();
        if epoch.latest().epoch > next.epoch {
            let epoch = epoch.clone();
            return VoterReply::Moved { epoch };
        }
        let is_later = epoch.latest().epoch < next.epoch;
        let adds_previous = epoch.next.is_some() && epoch.previous.is_none() && previous.is_some();
        if is_later || adds_previous {
            epoch.next = Some(next.clone());
            epoch.previous = previous.cloned();
            sink(VoterRecord::Epoch(epoch.clone()));
        }
        let whole_for = epoch.current.epoch;
        VoterReply::Sealed { whole_for }
    }

    fn install(
        &self,
        now: MonoTime,
        requested_epoch: u64,
        registers: &[RegisterCopy],
        sink: RecordSink<'_>,
    ) -> VoterReply {
        let epoch = self.read_epoch();
        if let Some(reply) = Self::reply_unless_catching_up(&epoch, requested_epoch) {
            return reply;
        }
        let clock = self.clock(now);
        for copy in registers {
            self.shard(copy.key.shard()).merge(clock, copy, sink);
        }
        VoterReply::Installed
    }

    fn complete(&self, requested_epoch: u64, sink: RecordSink<'_>) -> VoterReply {
        let mut epoch = self.write_epoch();
        if let Some(reply) = Self::reply_unless_catching_up(&epoch, requested_epoch) {
            return reply;
        }
        if let Some(next) = epoch.next.take() {
            *epoch = EpochState::settled(next);
        }
        sink(VoterRecord::Epoch(epoch.clone()));
        VoterReply::Whole
    }

    /// Returns the reply to an install or complete request if the voter is not catching up to
    /// `requested_epoch`.
    fn reply_unless_catching_up(epoch: &EpochState, requested_epoch: u64) -> Option<VoterReply> {
        if epoch.next.is_none() && epoch.current.epoch == requested_epoch {
            return Some(VoterReply::Whole);
        }
        if epoch.latest().epoch > requested_epoch {
            let epoch = epoch.clone();
            return Some(VoterReply::Moved { epoch });
        }
        if epoch.latest().epoch < requested_epoch {
            let epoch = epoch.clone();
            return Some(VoterReply::NotWhole { epoch });
        }
        None
    }

    fn read_page(&self, requested_epoch: u64, from: &PageCursor) -> VoterReply {
        let epoch = self.read_epoch();
        let is_caught_up = epoch.current.epoch == requested_epoch;
        let is_sealed =
            epoch.current.epoch + 1 == requested_epoch && epoch.latest().epoch == requested_epoch;
        if !is_caught_up && !is_sealed {
            let epoch = epoch.clone();
            return VoterReply::NotWhole { epoch };
        }
        let (registers, next) = self.page_from(from);
        VoterReply::Page { registers, next }
    }

    /// Returns the page of registers that starts at `from`, and the start of the next page.
    ///
    /// A page may span several shards.
    fn page_from(&self, from: &PageCursor) -> (Vec<RegisterCopy>, Option<PageCursor>) {
        let mut page = RegisterPage::default();
        let mut after = from.after.as_ref();
        for number in from.shard..REGISTER_SHARDS {
            let all_fitted = self.shard(number).fill_page(after.take(), &mut page);
            if !all_fitted {
                let last = page.registers.last().map(|copy| copy.key.clone());
                let after = last.filter(|key| key.shard() == number);
                let next = PageCursor {
                    shard: number,
                    after,
                };
                return (page.registers, Some(next));
            }
        }
        (page.registers, None)
    }

    const fn clock(&self, now: MonoTime) -> RetentionClock {
        RetentionClock {
            now,
            retention: self.retention,
        }
    }

    fn shard(&self, number: u32) -> MutexGuard<'_, RegisterShard> {
        let shard = &self.shards[(number % REGISTER_SHARDS) as usize];
        lock(shard)
    }

    fn read_epoch(&self) -> std::sync::RwLockReadGuard<'_, EpochState> {
        self.epoch.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_epoch(&self) -> std::sync::RwLockWriteGuard<'_, EpochState> {
        self.epoch.write().unwrap_or_else(PoisonError::into_inner)
    }
}
