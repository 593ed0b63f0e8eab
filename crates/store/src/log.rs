//! The handle to the durable log, which sends commands to the writer thread.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Sender, channel},
    },
    thread::{self, JoinHandle},
};

use error_stack::{Report, ResultExt as _};
use tokio::sync::oneshot;

use crate::{
    error::{Result, StoreError},
    file::FileOps,
    folder::DataFolder,
    frame::RECORD_MAX_BYTES,
    writer::{LogCommand, LogSizes, LogWriter},
};

/// The durable log of a data folder that this process has locked.
///
/// Commands take effect in the order of the calls. After a failed write or
/// sync, all later commands fail. Dropping the store waits for the writer
/// thread.
#[derive(Debug)]
pub struct LogStore {
    commands: Option<Sender<LogCommand>>,
    writer: Option<JoinHandle<()>>,
    sizes: Arc<LogSizes>,
    identity: u64,
}

/// A receipt to wait on until a command is durable.
#[derive(Debug)]
#[must_use = "the command may not be durable until its receipt has been waited for"]
pub struct DurabilityReceipt {
    done: Option<oneshot::Receiver<bool>>,
}

impl DurabilityReceipt {
    /// Waits until the command is durable.
    ///
    /// # Errors
    /// [`StoreError::Stopped`] if the command may not be durable.
    pub async fn wait(self) -> Result<()> {
        let durable = match self.done {
            Some(done) => done.await.unwrap_or(false),
            None => false,
        };
        check_durable(durable)
    }

    /// Blocks the thread until the command is durable. Must not be called in asynchronous code.
    ///
    /// # Errors
    /// [`StoreError::Stopped`] if the command may not be durable.
    pub fn wait_blocking(self) -> Result<()> {
        let durable = match self.done {
            Some(done) => done.blocking_recv().unwrap_or(false),
            None => false,
        };
        check_durable(durable)
    }
}

fn check_durable(durable: bool) -> Result<()> {
    if durable {
        return Ok(());
    }
    Err(Report::new(StoreError::Stopped))
}

impl LogStore {
    /// Locks `folder`, passes every durable record to `replay` in order and starts the writer.
    ///
    /// If the folder has no log, one is created with the identity `new_identity`.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has locked the folder, [`StoreError::Damaged`] if
    /// a durable record is unreadable, [`StoreError::Io`] if a file operation fails.
    pub fn open(
        folder: &Path,
        ops: FileOps,
        new_identity: u64,
        mut replay: impl FnMut(&[u8]),
    ) -> Result<Self> {
        let folder = DataFolder::lock(folder, ops)?;
        let log = folder.recover(new_identity, &mut replay)?;
        let identity = log.identity;
        let sizes = Arc::new(LogSizes::default());
        let writer = LogWriter::new(folder, log, Arc::clone(&sizes));
        let (commands, receiver) = channel();
        let writer = thread::Builder::new()
            .name("store-writer".to_owned())
            .spawn(move || writer.run(&receiver))
            .change_context(StoreError::Io)?;
        Ok(Self {
            commands: Some(commands),
            writer: Some(writer),
            sizes,
            identity,
        })
    }

    /// Returns the identity that the log was created with. A log that replaces a lost one has
    /// another identity.
    #[must_use]
    pub const fn identity(&self) -> u64 {
        self.identity
    }

    /// Appends a record. A record longer than [`RECORD_MAX_BYTES`] is not appended.
    pub fn append(&self, record: Vec<u8>) -> DurabilityReceipt {
        if record.len() > RECORD_MAX_BYTES {
            return DurabilityReceipt { done: None };
        }
        self.send(|done| LogCommand::Append { record, done })
    }

    /// Returns a receipt for the durability of all earlier commands.
    pub fn barrier(&self) -> DurabilityReceipt {
        self.send(|done| LogCommand::Barrier { done })
    }

    /// Replaces all earlier records with `records`.
    pub fn compact(&self, records: Vec<Vec<u8>>) -> DurabilityReceipt {
        self.send(|done| LogCommand::Compact { records, done })
    }

    /// Returns the size of the log file in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.sizes.total.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that the last compaction wrote.
    #[must_use]
    pub fn snapshot_bytes(&self) -> u64 {
        self.sizes.snapshot.load(Ordering::Relaxed)
    }

    /// Executes the commands sent so far, stops the writer thread and unlocks the folder.
    pub fn close(&mut self) {
        self.commands = None;
        if let Some(writer) = self.writer.take() {
            // If the writer panicked, the receipts of its pending commands report an error.
            let _ = writer.join();
        }
    }

    fn send(&self, command: impl FnOnce(oneshot::Sender<bool>) -> LogCommand) -> DurabilityReceipt {
        let (sender, receiver) = oneshot::channel();
        let command = command(sender);
        let sent = self
            .commands
            .as_ref()
            .is_some_and(|commands| commands.send(command).is_ok());
        DurabilityReceipt {
            done: sent.then_some(receiver),
        }
    }
}

impl Drop for LogStore {
    fn drop(&mut self) {
        self.close();
    }
}
