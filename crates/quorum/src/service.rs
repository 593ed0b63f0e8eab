//! The voter of one VM: its state, kept in its data folder.

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
use fulmarweir_store::{AppendReceipt, FileOps, LogStore};
use slog::{Logger, error, info};

use crate::{
    acceptor::Acceptor,
    error::{QuorumError, Result},
    member::{EpochState, VoterIdentity, VoterSet},
    message::{VoterReply, VoterRequest},
    record::VoterRecord,
};

/// How long registers of finished acts are kept by default, in seconds.
pub const ACT_RETENTION_SECS: u64 = 24 * 60 * 60;

/// A log is compacted once it exceeds this size and twice its last compaction.
const COMPACT_MIN_BYTES: u64 = 8 << 20;

/// What a voter is started with.
#[derive(Clone, Debug)]
pub struct VoterSettings {
    /// Name of the VM.
    pub name: VmName,
    /// Folder of its log.
    pub folder: PathBuf,
    /// The voter set of epoch 0.
    pub first_set: VoterSet,
    /// How long registers of finished and released acts are kept after their last change.
    pub act_retention: Duration,
    /// File operations.
    pub ops: FileOps,
}

impl VoterSettings {
    /// Settings with the default retention.
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
    /// Opens the data folder and restores the voter. Reads the whole log: call it at start.
    ///
    /// # Errors
    /// [`QuorumError::Log`] when the folder is in use, damaged or unusable. A damaged log cannot
    /// be repaired: move it away, and the voter comes back as a new one.
    pub fn open(settings: VoterSettings, timer: TimerService, logger: Logger) -> Result<Arc<Self>> {
        let mut records = Vec::new();
        let mut readable = true;
        let store = LogStore::open(&settings.folder, settings.ops, random_identity(), |bytes| {
            match VoterRecord::decode(bytes) {
                Some(record) => records.push(record),
                None => readable = false,
            }
        })
        .change_context(QuorumError::Log)?;
        if !readable {
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
            // A later start may be told of other first voters, or of none.
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

    /// Identity of the voter's log.
    #[must_use]
    pub const fn identity(&self) -> VoterIdentity {
        self.acceptor.identity()
    }

    /// The voter sets that the voter knows.
    #[must_use]
    pub fn epoch_state(&self) -> EpochState {
        self.acceptor.epoch_state()
    }

    /// Number of registers held.
    #[must_use]
    pub fn register_count(&self) -> usize {
        self.acceptor.register_count()
    }

    /// Version of the configuration that this voter has accepted; it may not be chosen.
    #[must_use]
    pub fn accepted_config_version(&self) -> u64 {
        self.acceptor.accepted_config_version()
    }

    /// Size of the log in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.store.log_bytes()
    }

    /// Whether a failed write has ended the voter's part until a restart.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Answers a request once everything that the answer rests on is durable.
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
        // Commands become durable in order, so the last receipt covers those before it.
        let receipt = last.unwrap_or_else(|| self.store.barrier());
        if !self.is_durable(receipt).await {
            return VoterReply::Stopped;
        }
        self.compact_if_grown().await;
        reply
    }

    async fn is_durable(&self, receipt: AppendReceipt) -> bool {
        let durable = receipt.wait().await;
        if durable.is_err() && !self.stopped.swap(true, Ordering::Relaxed) {
            error!(self.logger, "voter-stopped"; "reason" => "write failed");
        }
        durable.is_ok()
    }

    async fn compact_if_grown(&self) {
        let threshold = COMPACT_MIN_BYTES.max(2 * self.store.base_bytes());
        if self.store.log_bytes() < threshold || self.compacting.swap(true, Ordering::Relaxed) {
            return;
        }
        let receipt = self.acceptor.snapshot(|records| {
            let records = records.iter().map(VoterRecord::encode).collect();
            self.store.compact(records)
        });
        let _ = self.is_durable(receipt).await;
        self.compacting.store(false, Ordering::Relaxed);
    }
}

fn random_identity() -> u64 {
    // Zero stands for an unknown identity.
    rand::random::<u64>().max(1)
}
