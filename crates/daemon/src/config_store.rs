//! Stores the last configuration in force on disk for the next start.

use std::path::Path;

use error_stack::ResultExt;
use fulmarweir_conf::CompiledConfig;
use fulmarweir_store::{FileOps, LogStore};
use fulmarweir_wire::{decode_message, encode_message};
use slog::{Logger, warn};

use crate::{
    error::{DaemonError, Result},
    peer_message::ConfigCopy,
};

const CONFIG_FOLDER: &str = "config";
/// Log size above which the log is compacted to the last configuration, in bytes.
const COMPACT_ABOVE_BYTES: u64 = 4 * 1024 * 1024;

/// Stores the configuration on a VM with a data folder, and does nothing on a VM without one.
pub(crate) struct ConfigStore {
    store: Option<LogStore>,
    log: Logger,
}

impl ConfigStore {
    /// Opens the store and reads the last stored configuration. A new store gets `new_identity`.
    pub(crate) fn open(
        data_folder: Option<&Path>,
        new_identity: u64,
        log: Logger,
    ) -> Result<(Self, CompiledConfig)> {
        let Some(folder) = data_folder else {
            let config_store = Self { store: None, log };
            return Ok((config_store, CompiledConfig::empty()));
        };
        let mut last = None;
        let replay = |record: &[u8]| {
            if let Ok(copy) = decode_message::<ConfigCopy>(record) {
                last = Some(copy);
            }
        };
        let folder = folder.join(CONFIG_FOLDER);
        let store = LogStore::open(&folder, FileOps::default(), new_identity, replay)
            .change_context(DaemonError::Storage)?;
        let config = match last {
            Some(copy) => CompiledConfig::compile(copy.version, &copy.text)
                .change_context(DaemonError::Config)?,
            None => CompiledConfig::empty(),
        };
        let store = Some(store);
        Ok((Self { store, log }, config))
    }

    /// Writes `config` in the background.
    ///
    /// No caller waits for the write: if it is lost, this VM learns the version from peers or
    /// voters at the next start.
    pub(crate) fn save(&self, config: &CompiledConfig) {
        let Some(store) = &self.store else {
            return;
        };
        let copy = ConfigCopy {
            version: config.version,
            text: config.text.clone(),
        };
        let Ok(record) = encode_message(&copy) else {
            warn!(self.log, "config-not-saved"; "version" => config.version);
            return;
        };
        let receipt = if store.log_bytes() > COMPACT_ABOVE_BYTES {
            store.compact(vec![record])
        } else {
            store.append(record)
        };
        drop(receipt);
    }
}
