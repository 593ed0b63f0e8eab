//! The writer thread, which writes and syncs queued records in groups.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::{Receiver, TryRecvError},
};

use tokio::sync::oneshot;

use crate::{
    folder::{DataFolder, LogFile},
    frame::{FRAME_TARGET_BYTES, encode_frame},
};

/// Sends whether the command is durable.
pub(crate) type DoneSender = oneshot::Sender<bool>;

/// A command for the writer thread. Commands are executed in the order in which they were sent.
pub(crate) enum LogCommand {
    Append {
        record: Vec<u8>,
        done: DoneSender,
    },
    /// Completes when all earlier commands are durable.
    Barrier {
        done: DoneSender,
    },
    /// Replaces all earlier records with `records`.
    Compact {
        records: Vec<Vec<u8>>,
        done: DoneSender,
    },
}

/// Sizes of the log file in bytes, published by the writer.
#[derive(Debug, Default)]
pub(crate) struct LogSizes {
    pub(crate) snapshot: AtomicU64,
    pub(crate) total: AtomicU64,
}

pub(crate) struct LogWriter {
    folder: DataFolder,
    log: LogFile,
    sizes: Arc<LogSizes>,
    batch: Vec<Vec<u8>>,
    batch_bytes: usize,
    waiters: Vec<DoneSender>,
    failed: bool,
}

impl LogWriter {
    pub(crate) fn new(folder: DataFolder, log: LogFile, sizes: Arc<LogSizes>) -> Self {
        let writer = Self {
            folder,
            log,
            sizes,
            batch: Vec::new(),
            batch_bytes: 0,
            waiters: Vec::new(),
            failed: false,
        };
        writer.publish_sizes();
        writer
    }

    /// Executes commands until all senders are dropped.
    pub(crate) fn run(mut self, commands: &Receiver<LogCommand>) {
        while let Ok(first) = commands.recv() {
            self.handle(first);
            loop {
                if self.batch_bytes >= FRAME_TARGET_BYTES {
                    self.flush();
                }
                match commands.try_recv() {
                    Ok(command) => self.handle(command),
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
                }
            }
            self.flush();
        }
    }

    fn handle(&mut self, command: LogCommand) {
        match command {
            LogCommand::Append { record, done } => {
                self.batch_bytes += record.len();
                self.batch.push(record);
                self.waiters.push(done);
            }
            LogCommand::Barrier { done } => self.waiters.push(done),
            LogCommand::Compact { records, done } => {
                self.flush();
                self.compact(&records);
                let _ = done.send(!self.failed);
            }
        }
    }

    /// Writes and syncs the batch, then notifies all waiters.
    fn flush(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        self.batch_bytes = 0;
        if !batch.is_empty() && !self.failed {
            self.failed = self.write_batch(&batch).is_err();
            self.publish_sizes();
        }
        for done in self.waiters.drain(..) {
            // The send fails if the caller has dropped its receipt.
            let _ = done.send(!self.failed);
        }
    }

    fn write_batch(&mut self, batch: &[Vec<u8>]) -> std::io::Result<()> {
        let frame = encode_frame(self.log.identity, self.log.next_sequence, batch);
        self.folder.ops.write(&mut self.log.file, &frame)?;
        self.folder.ops.sync(&self.log.file)?;
        self.log.next_sequence += 1;
        self.log.bytes += frame.len() as u64;
        Ok(())
    }

    fn compact(&mut self, records: &[Vec<u8>]) {
        if self.failed {
            return;
        }
        match self.folder.replace_log(&self.log, records) {
            Ok(log) => self.log = log,
            Err(_) => self.failed = true,
        }
        self.publish_sizes();
    }

    fn publish_sizes(&self) {
        self.sizes
            .snapshot
            .store(self.log.snapshot_bytes, Ordering::Relaxed);
        self.sizes.total.store(self.log.bytes, Ordering::Relaxed);
    }
}
