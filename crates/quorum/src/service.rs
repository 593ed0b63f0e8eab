//! The voter of one VM, which keeps its state in the data folder.

use std::{
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use error_stack::{Report, ResultExt as _};
use fulmarweir_base::{TimerService, VmName};
use fulmarweir_store::{DurabilityReceipt, FileOps, LogStore};
use slog::{Logger, error, info};

use crate::{
    acceptor::Acceptor,
    error::{QuorumError, Result},
    member::{EpochState, VoterIdentity, VoterSet},
    message::{VoterReply, VoterRequest},
    record::VoterRecord,
};

/// Default time that registers of finished and released acts are kept, in seconds.
pub const ACT_RETENTION_SECS: u64 = 24 * 60 * 60;

/// Minimum size at which the log is compacted. It must also have grown to twice its size after the
/// last compaction.
const COMPACT_MIN_BYTES: u64 = 8 << 20;

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct VoterSettings {
    /// Name of the voter's VM.
    pub name: VmName,
    /// Folder of the voter's log.
    pub folder: PathBuf,
    /// The voter set of epoch 0.
    pub first_set: VoterSet,
    /// Time that registers of finished and released acts are kept after their last change.
    pub act_retention: Duration,
    /// File operations of the log.
    pub ops: FileOps,
}

impl VoterSettings {
    /// Creates settings with the default retention.
    #[must_use]
    pub fn new(name: VmName, folder: &Path, first_set: VoterSet) -> Self {
        Self {
            name,
            folder: folder.to_owned(),
            first_set,
            act_retention: Duration::from_secs(ACT_RETENTION_SECS),
            ops: FileOps::default(),
        }
    }
}

/// The voter of this process.
#[derive(Debug)]
pub struct VoterService {
    acceptor: Acceptor,
    store: LogStore,
    timer: TimerService,
    stopped: AtomicBool,
    compacting: AtomicBool,
    logger: Logger,
}

impl VoterService {
    /// Opens the data folder and restores the voter.
    ///
    /// This blocks while it reads the whole log, so it should be called at startup.
    ///
    /// # Errors
    /// [`QuorumError::Log`] when the folder is in use, damaged or unusable. A damaged log cannot
    /// be repaired. If it is moved away, the voter restarts with a new identity.
    pub fn open(settings: VoterSettings, timer: TimerService, logger: Logger) -> Result<Arc<Self>> {
        let mut records = Vec::new();
        let mut decodable = true;
        let store = LogStore::open(&settings.folder, settings.ops, random_identity(), |bytes| {
            match VoterRecord::decode(bytes) {
                Some(record) => records.push(record),
                None => decodable = false,
            }
        })
        .change_context(QuorumError::Log)?;
        if !decodable {
            return Err(Report::new(QuorumError::Log).attach("a record has an unknown format"));
        }
        let identity = VoterIdentity(store.identity());
        let acceptor = Acceptor::new(
            settings.name,
            identity,
            settings.first_set,
            settings.act_retention,
        );
        let now = timer.now();
        let is_new = records.is_empty();
        for record in records {
            acceptor.replay(now, record);
        }
        if is_new {
            // The settings of a later start may name other initial voters or none, so the set
            // must be in the log.
            let first = VoterRecord::Epoch(acceptor.epoch_state());
            let receipt = store.append(first.encode());
            futures::executor::block_on(receipt.wait()).change_context(QuorumError::Log)?;
        }
        info!(logger, "voter-opened"; "identity" => %identity,
            "epoch" => acceptor.epoch_state().current.epoch, "registers" => acceptor.register_count());
        Ok(Arc::new(Self {
            acceptor,
            store,
            timer,
            stopped: AtomicBool::new(false),
            compacting: AtomicBool::new(false),
            logger,
        }))
    }

    /// Returns the identity of the voter's log.
    #[must_use]
    pub const fn identity(&self) -> VoterIdentity {
        self.acceptor.identity()
    }

    /// Returns the voter sets that the voter knows.
    #[must_use]
    pub fn epoch_state(&self) -> EpochState {
        self.acceptor.epoch_state()
    }

    /// Returns the number of registers held.
    #[must_use]
    pub fn register_count(&self) -> usize {
        self.acceptor.register_count()
    }

    /// Returns the version of the configuration that this voter accepted, or `None` if it accepted none.
    ///
    /// That version is not necessarily accepted by a quorum.
    #[must_use]
    pub fn accepted_config_version(&self) -> Option<u64> {
        self.acceptor.accepted_config_version()
    }

    /// Returns the version of the evacuations that this voter accepted, or 0 if it accepted none.
    ///
    /// That version is not necessarily accepted by a quorum.
    #[must_use]
    pub fn accepted_evacuations_version(&self) -> u64 {
        self.acceptor.accepted_evacuations_version()
    }

    /// Returns the size of the log in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.store.log_bytes()
    }

    /// Whether the voter has stopped after a failed write. It stays stopped until a restart.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Handles a request and replies once all records that the reply depends on are durable.
    pub async fn handle(&self, request: VoterRequest) -> VoterReply {
        if self.is_stopped() {
            return VoterReply::Stopped;
        }
        let mut last = None;
        let reply = self
            .acceptor
            .handle(self.timer.now(), &request, &mut |record| {
                last = Some(self.store.append(record.encode()));
            });
        // Records become durable in the order of their appends, so the last receipt covers all.
        let receipt = last.unwrap_or_else(|| self.store.barrier());
        if !self.wait_until_durable(receipt).await {
            return VoterReply::Stopped;
        }
        self.compact_if_grown().await;
        reply
    }

    /// Waits for the write and returns whether it is durable. If it is not, the voter stops.
    async fn wait_until_durable(&self, receipt: DurabilityReceipt) -> bool {
        let durable = receipt.wait().await;
        if durable.is_err() && !self.stopped.swap(true, Ordering::Relaxed) {
            error!(self.logger, "voter-stopped"; "reason" => "write failed");
        }
        durable.is_ok()
    }

    async fn compact_if_grown(&self) {
        let threshold = COMPACT_MIN_BYTES.max(2 * self.store.snapshot_bytes());
        if self.store.log_bytes() < threshold || self.compacting.swap(true, Ordering::Relaxed) {
            return;
        }
        let receipt = self.acceptor.snapshot(|records| {
            let records = records.iter().map(VoterRecord::encode).collect();
            self.store.compact(records)
        });
        let _ = self.wait_until_durable(receipt).await;
        self.compacting.store(false, Ordering::Relaxed);
    }
}

fn random_identity() -> u64 {
    // Zero is `VoterIdentity::UNKNOWN`.
    rand::random::<u64>().max(1)
}
