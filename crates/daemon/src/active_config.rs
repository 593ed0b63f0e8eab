//! The configuration in force on this VM.

use std::sync::{Arc, Mutex};

use fulmarweir_base::{ServiceName, lock};
use fulmarweir_conf::{CompiledConfig, ServiceConfig};

/// Holds the newest configuration version that this VM has seen. It is never replaced by an older
/// version.
pub(crate) struct ActiveConfig {
    current: Mutex<Arc<CompiledConfig>>,
}

impl ActiveConfig {
    pub(crate) fn new(version: CompiledConfig) -> Self {
        Self {
            current: Mutex::new(Arc::new(version)),
        }
    }

    /// Returns the version in force.
    pub(crate) fn current(&self) -> Arc<CompiledConfig> {
        Arc::clone(&lock(&self.current))
    }

    /// Returns the configuration of a service in the version in force.
    pub(crate) fn service_config(&self, service: &ServiceName) -> Option<Arc<ServiceConfig>> {
        lock(&self.current).services.get(service).cloned()
    }

    /// Puts `version` in force if it is newer than the current version, and returns whether it was.
    pub(crate) fn apply(&self, version: CompiledConfig) -> bool {
        let mut current = lock(&self.current);
        if version.version <= current.version {
            return false;
        }
        *current = Arc::new(version);
        true
    }
}
