//! Reloads the settings file on SIGHUP, and when its modification time has changed.

use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use fulmarweir_conf::RelaySettings;
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Period of the checks of the file's modification time, in milliseconds.
const CHECK_PERIOD_MS: u64 = 2_000;

/// Passes changed settings to `apply` until stopped. Invalid settings are logged and ignored.
pub(crate) async fn run_reload(
    path: PathBuf,
    log: Logger,
    stop: CancellationToken,
    apply: impl Fn(&RelaySettings) + Send + Sync,
) {
    let mut last_modified = modified_at(&path);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            warn!(log, "reload-signal-unavailable"; "fault" => %error);
            return;
        }
    };
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return,
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(Duration::from_millis(CHECK_PERIOD_MS)) => false,
        };
        let modified = modified_at(&path);
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match RelaySettings::read(&path) {
            Ok(settings) => {
                info!(log, "settings-reloaded"; "asked" => signalled,
                    "seeds" => format!("{:?}", settings.seeds));
                apply(&settings);
            }
            Err(faults) => warn!(log, "settings-not-reloaded"; "faults" => %faults),
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|meta| meta.modified())
        .ok()
}
