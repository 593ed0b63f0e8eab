//! Log lines about requests that end their targets.

use fulmarweir_route::QuarantineEntry;
use slog::{Logger, warn};

/// Logs that the state of a request has changed, and who has told so.
pub(super) fn log_quarantine(log: &Logger, entry: &QuarantineEntry, source: &str) {
    warn!(log, "request-quarantine"; "fingerprint" => %entry.fingerprint,
        "state" => entry.state.as_str(), "crashes" => entry.crashes, "blocks" => entry.blocks,
        "epoch" => entry.epoch, "ends_after_s" => entry.ends_after.as_secs(),
        "by_operator" => entry.by_operator, "spared" => entry.spared.len(), "source" => source);
}
