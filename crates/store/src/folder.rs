//! The data folder: its lock, its log files and their recovery.
//!
//! Each compaction writes a log file of the next generation.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{BufReader, Read as _, Seek as _, SeekFrom},
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt as _};

use crate::{
    error::{Result, StoreError},
    file::FileOps,
    frame::{FRAME_TARGET_BYTES, FileHeader, FrameRead, encode_frame, is_torn_write, read_frame},
};

const LOCK_FILE_NAME: &str = "lock";
const LOG_PREFIX: &str = "log-";
const TEMPORARY_LOG_NAME: &str = "log.tmp";

/// A locked data folder.
#[derive(Debug)]
pub(crate) struct DataFolder {
    path: PathBuf,
    pub(crate) ops: FileOps,
    // Holds the file lock, which is released on drop or when the process ends.
    _lock: File,
}

/// The open log file, positioned at its end.
#[derive(Debug)]
pub(crate) struct LogFile {
    pub(crate) file: File,
    pub(crate) identity: u64,
    pub(crate) generation: u64,
    pub(crate) next_sequence: u64,
    pub(crate) snapshot_bytes: u64,
    pub(crate) bytes: u64,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it.
    pub(crate) fn lock(path: &Path, ops: FileOps) -> Result<Self> {
        fs::create_dir_all(path).change_context(StoreError::Io)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE_NAME))
            .change_context(StoreError::Io)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Report::new(StoreError::Locked)),
            Err(TryLockError::Error(e)) => return Err(e).change_context(StoreError::Io),
        }
        Ok(Self {
            path: path.to_owned(),
            ops,
            _lock: lock,
        })
    }

    /// Opens the newest log, passes its records to `replay` and removes older logs. If the folder
    /// has no log, creates one with `new_identity`.
    pub(crate) fn recover(
        &self,
        new_identity: u64,
        replay: &mut dyn FnMut(&[u8]),
    ) -> Result<LogFile> {
        let generations = self.generations().change_context(StoreError::Io)?;
        let Some(newest) = generations.last().copied() else {
            return self
                .write_generation(1, new_identity, &[])
                .change_context(StoreError::Io);
        };
        let log = self.read_log(newest, replay)?;
        for old in &generations[..generations.len() - 1] {
            let path = self.log_path(*old);
            self.ops.remove(&path).change_context(StoreError::Io)?;
        }
        Ok(log)
    }

    /// Writes `records` to a log of the next generation and removes the `old` log.
    pub(crate) fn replace_log(
        &self,
        old: &LogFile,
        records: &[Vec<u8>],
    ) -> std::io::Result<LogFile> {
        let log = self.write_generation(old.generation + 1, old.identity, records)?;
        self.ops.remove(&self.log_path(old.generation))?;
        Ok(log)
    }

    fn write_generation(
        &self,
        generation: u64,
        identity: u64,
        records: &[Vec<u8>],
    ) -> std::io::Result<LogFile> {
        let frames = split_frames(records);
        let header = FileHeader {
            identity,
            snapshot_frames: frames.len() as u64,
        };
        let temporary_path = self.path.join(TEMPORARY_LOG_NAME);
        let mut file = self.ops.create(&temporary_path)?;
        let mut bytes = 0;
        let encoded_header = header.encode();
        bytes += encoded_header.len() as u64;
        self.ops.write(&mut file, &encoded_header)?;
        for (sequence, records) in (0..).zip(&frames) {
            let frame = encode_frame(identity, sequence, records);
            bytes += frame.len() as u64;
            self.ops.write(&mut file, &frame)?;
        }
        self.ops.sync(&file)?;
        self.ops
            .rename(&temporary_path, &self.log_path(generation))?;
        self.ops.sync_folder(&self.path)?;
        Ok(LogFile {
            file,
            identity,
            generation,
            next_sequence: header.snapshot_frames,
            snapshot_bytes: bytes,
            bytes,
        })
    }

    fn read_log(&self, generation: u64, replay: &mut dyn FnMut(&[u8])) -> Result<LogFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.log_path(generation))
            .change_context(StoreError::Io)?;
        let mut reader = BufReader::new(file);
        let header = FileHeader::read(&mut reader)
            .change_context(StoreError::Io)?
            .ok_or_else(|| Report::new(StoreError::Damaged { offset: 0 }))?;
        let mut bytes = header.encode().len() as u64;
        let mut snapshot_bytes = bytes;
        let mut sequence = 0;
        loop {
            let read = read_frame(&mut reader, header.identity, sequence)
                .change_context(StoreError::Io)?;
            match read {
                FrameRead::Frame {
                    records,
                    bytes: frame_bytes,
                } => {
                    for record in &records {
                        replay(record);
                    }
                    bytes += frame_bytes;
                    sequence += 1;
                    if sequence <= header.snapshot_frames {
                        snapshot_bytes = bytes;
                    }
                }
                FrameRead::EndOfFile if sequence >= header.snapshot_frames => break,
                FrameRead::Invalid if sequence >= header.snapshot_frames => {
                    self.truncate_torn_frame(&mut reader, header.identity, bytes)?;
                    break;
                }
                FrameRead::EndOfFile | FrameRead::Invalid => {
                    return Err(Report::new(StoreError::Damaged { offset: bytes }));
                }
            }
        }
        let mut file = reader.into_inner();
        // A torn frame was cut off, or a writer has failed between a write and its sync.
        self.ops.sync(&file).change_context(StoreError::Io)?;
        file.seek(SeekFrom::Start(bytes))
            .change_context(StoreError::Io)?;
        Ok(LogFile {
            file,
            identity: header.identity,
            generation,
            next_sequence: sequence,
            snapshot_bytes,
            bytes,
        })
    }

    fn truncate_torn_frame(
        &self,
        reader: &mut BufReader<File>,
        identity: u64,
        offset: u64,
    ) -> Result<()> {
        reader
            .seek(SeekFrom::Start(offset))
            .change_context(StoreError::Io)?;
        let mut rest = Vec::new();
        reader
            .read_to_end(&mut rest)
            .change_context(StoreError::Io)?;
        if !is_torn_write(&rest, identity) {
            return Err(Report::new(StoreError::Damaged { offset }));
        }
        self.ops
            .truncate(reader.get_ref(), offset)
            .change_context(StoreError::Io)
    }

    fn log_path(&self, generation: u64) -> PathBuf {
        self.path.join(format!("{LOG_PREFIX}{generation:020}"))
    }

    fn generations(&self) -> std::io::Result<Vec<u64>> {
        let mut generations = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX));
            generations.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        generations.sort_unstable();
        Ok(generations)
    }
}

fn split_frames(records: &[Vec<u8>]) -> Vec<&[Vec<u8>]> {
    let mut frames = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (index, record) in records.iter().enumerate() {
        size += record.len();
        if size >= FRAME_TARGET_BYTES {
            frames.push(&records[start..=index]);
            start = index + 1;
            size = 0;
        }
    }
    if start < records.len() {
        frames.push(&records[start..]);
    }
    frames
}
