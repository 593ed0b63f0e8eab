//! The durable log of one data folder.
//!
//! A process appends opaque records and is told when each is durable. One
//! writer thread does all file work: it gathers the records that wait, writes
//! them as one checksummed frame and syncs the file once for all of them.
//! Compaction replaces everything appended so far by the records that the
//! caller still needs. A torn last frame is cut off when the folder is opened
//! again; damage anywhere before it is an error.
//!
//! ```
//! use fulmarweir_store::{FileOps, LogStore};
//!
//! let folder = std::env::temp_dir().join(format!("store-doc-{}", std::process::id()));
//! let mut store = LogStore::open(&folder, FileOps::default(), 7, |_record| {}).unwrap();
//! store.append(b"promise".to_vec()).wait_blocking().unwrap();
//! store.close();
//!
//! let mut seen = Vec::new();
//! let store = LogStore::open(&folder, FileOps::default(), 8, |record| seen.push(record.to_vec())).unwrap();
//! assert_eq!(store.identity(), 7);
//! drop(store);
//! assert_eq!(seen, [b"promise".to_vec()]);
//! std::fs::remove_dir_all(&folder).unwrap();
//! ```

mod error;
mod file;
mod folder;
mod frame;
mod log;
mod writer;

pub use error::{Result, StoreError};
pub use file::{FaultHook, FileOperation, FileOps, InjectedFault};
pub use frame::RECORD_MAX_BYTES;
pub use log::{AppendReceipt, LogStore};
