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
    pub(crate) fn new(config: CompiledConfig) -> Self {
        Self {
            current: Mutex::new(Arc::new(config)),
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

    /// Puts `config` in force if its version is newer than the current one, and returns whether it was.
    pub(crate) fn apply(&self, config: CompiledConfig) -> bool {
        let mut current = lock(&self.current);
        if config.version <= current.version {
            return false;
        }
        *current = Arc::new(config);
        true
    }
}
