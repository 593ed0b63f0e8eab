//! The file operations of a store, with fault injection for tests.

use std::{
    fmt, fs,
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Arc,
};

/// A file operation, as passed to a [`FaultHook`] before it is executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileOperation {
    /// Create a file.
    Create,
    /// Remove a file.
    Remove,
    /// Rename a file within the folder.
    Rename,
    /// Sync the data of a file.
    SyncFile,
    /// Sync the folder, which makes a rename durable.
    SyncFolder,
    /// Truncate a file.
    Truncate,
    /// Append data to a file.
    Write {
        /// Length of the data.
        bytes: usize,
    },
}

/// The way in which a file operation fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedFault {
    /// The operation fails without any effect.
    Fail,
    /// A torn write: only a prefix of the data is written.
    Torn {
        /// Length of the prefix.
        bytes: usize,
    },
}

/// Called before each file operation. Returns a fault if the operation must fail.
pub type FaultHook = Arc<dyn Fn(FileOperation) -> Option<InjectedFault> + Send + Sync>;

/// Executes the file operations of a store.
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
    /// Creates file operations that fail when `hook` returns a fault.
    #[must_use]
    pub fn with_faults(hook: FaultHook) -> Self {
        Self { hook: Some(hook) }
    }

    fn fault(&self, operation: FileOperation) -> Option<InjectedFault> {
        self.hook.as_ref().and_then(|hook| hook(operation))
    }

    fn fail_if_injected(&self, operation: FileOperation) -> io::Result<()> {
        match self.fault(operation) {
            None => Ok(()),
            Some(_) => Err(injected_error()),
        }
    }

    pub(crate) fn create(&self, path: &Path) -> io::Result<File> {
        self.fail_if_injected(FileOperation::Create)?;
        File::create(path)
    }

    pub(crate) fn write(&self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let operation = FileOperation::Write { bytes: data.len() };
        match self.fault(operation) {
            None => file.write_all(data),
            Some(InjectedFault::Fail) => Err(injected_error()),
            Some(InjectedFault::Torn { bytes }) => {
                file.write_all(&data[..bytes.min(data.len())])?;
                Err(injected_error())
            }
        }
    }

    pub(crate) fn sync(&self, file: &File) -> io::Result<()> {
        self.fail_if_injected(FileOperation::SyncFile)?;
        file.sync_data()
    }

    pub(crate) fn truncate(&self, file: &File, bytes: u64) -> io::Result<()> {
        self.fail_if_injected(FileOperation::Truncate)?;
        file.set_len(bytes)
    }

    pub(crate) fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fail_if_injected(FileOperation::Rename)?;
        fs::rename(from, to)
    }

    pub(crate) fn remove(&self, path: &Path) -> io::Result<()> {
        self.fail_if_injected(FileOperation::Remove)?;
        fs::remove_file(path)
    }

    pub(crate) fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.fail_if_injected(FileOperation::SyncFolder)?;
        File::open(folder)?.sync_all()
    }
}

fn injected_error() -> io::Error {
    io::Error::other("injected fault")
}
