//! File operations, each of which a test can make fail.

use std::{
    fmt, fs,
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Arc,
};

/// A file operation that is about to happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileStep {
    /// Creates a file.
    Create,
    /// Removes a file that is no longer needed.
    Remove,
    /// Renames a file within the folder.
    Rename,
    /// Syncs a file.
    SyncFile,
    /// Syncs the folder, which makes a rename durable.
    SyncFolder,
    /// Cuts a file short.
    Truncate,
    /// Writes at the end of a file.
    Write {
        /// Length of the data.
        bytes: usize,
    },
}

/// How a file operation fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepFault {
    /// Nothing is done.
    Fail,
    /// Only the first bytes of a write reach the file.
    Torn {
        /// Bytes that do.
        bytes: usize,
    },
}

/// Decides before each operation whether it fails.
pub type FaultHook = Arc<dyn Fn(FileStep) -> Option<StepFault> + Send + Sync>;

/// The file operations of a store.
#[derive(Clone, Default)]
pub struct FileOps {
    hook: Option<FaultHook>,
}

impl fmt::Debug for FileOps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FileOps")
            .field("hooked", &self.hook.is_some())
            .finish()
    }
}

impl FileOps {
    /// Operations that ask `hook` first.
    #[must_use]
    pub fn with_faults(hook: FaultHook) -> Self {
        Self { hook: Some(hook) }
    }

    fn fault(&self, step: FileStep) -> Option<StepFault> {
        self.hook.as_ref().and_then(|hook| hook(step))
    }

    fn check(&self, step: FileStep) -> io::Result<()> {
        match self.fault(step) {
            None => Ok(()),
            Some(_) => Err(injected()),
        }
    }

    pub(crate) fn create(&self, path: &Path) -> io::Result<File> {
        self.check(FileStep::Create)?;
        File::create(path)
    }

    pub(crate) fn write(&self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let step = FileStep::Write { bytes: data.len() };
        match self.fault(step) {
            None => file.write_all(data),
            Some(StepFault::Fail) => Err(injected()),
            Some(StepFault::Torn { bytes }) => {
                file.write_all(&data[..bytes.min(data.len())])?;
                Err(injected())
            }
        }
    }

    pub(crate) fn sync(&self, file: &File) -> io::Result<()> {
        self.check(FileStep::SyncFile)?;
        file.sync_data()
    }

    pub(crate) fn truncate(&self, file: &File, bytes: u64) -> io::Result<()> {
        self.check(FileStep::Truncate)?;
        file.set_len(bytes)
    }

    pub(crate) fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check(FileStep::Rename)?;
        fs::rename(from, to)
    }

    pub(crate) fn remove(&self, path: &Path) -> io::Result<()> {
        self.check(FileStep::Remove)?;
        fs::remove_file(path)
    }

    pub(crate) fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.check(FileStep::SyncFolder)?;
        File::open(folder)?.sync_all()
    }
}

fn injected() -> io::Error {
    io::Error::other("injected fault")
}
