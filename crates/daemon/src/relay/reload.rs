//! Reading the settings file again after a signal or a silent change.

use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use fulmarweir_conf::RelaySettings;
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Time between two looks at the file, in milliseconds.
const LOOK_PERIOD_MS: u64 = 2_000;

/// Passes changed settings to `apply` until stopped. Faulty ones are logged and left out.
pub(crate) async fn run_reload(
    path: PathBuf,
    log: Logger,
    stop: CancellationToken,
    apply: impl Fn(&RelaySettings) + Send + Sync,
) {
    let mut seen = changed_at(&path);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            warn!(log, "reload-signal-unavailable"; "fault" => %error);
            return;
        }
    };
    loop {
        let asked = tokio::select! {
            () = stop.cancelled() => return,
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(Duration::from_millis(LOOK_PERIOD_MS)) => false,
        };
        let now = changed_at(&path);
        if !asked && now == seen {
            continue;
        }
        seen = now;
        match RelaySettings::read(&path) {
            Ok(settings) => {
                info!(log, "settings-reloaded"; "asked" => asked,
                    "seeds" => format!("{:?}", settings.seeds));
                apply(&settings);
            }
            Err(faults) => warn!(log, "settings-not-reloaded"; "faults" => %faults),
        }
    }
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|meta| meta.modified())
        .ok()
}
