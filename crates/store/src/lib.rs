//! A durable log of records in a data folder.
//!
//! A process appends opaque records and is notified when each of them is
//! durable. A writer thread does all file I/O with group commit: it writes all
//! queued records as one frame with a checksum and syncs the file once.
//! Compaction replaces all earlier records with those that the caller still
//! needs. When the folder is opened, a torn frame at the end of the log is cut
//! off. Damage anywhere before it is an error.
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
pub use log::{DurabilityReceipt, LogStore};
